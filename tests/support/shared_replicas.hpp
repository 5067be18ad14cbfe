/// @file
/// @brief Replicas with slots and a queue, shared by the nodes of a fleet.
#pragma once

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <support/relay_fleet.hpp>
#include <support/relay_patterns.hpp>

namespace hawthornrelay::tests::support
{

/// @brief The replicas of service `book` in front of several nodes, under a
///        random load of requests that are sent once, so that only the choice
///        of replicas matters.
class shared_replicas
{
  public:
    struct machine
    {
        double work = 1;     ///< reported, and multiplies the time
        double slowness = 1; ///< not reported, multiplies the time as well
        std::size_t slots = 2;
        std::size_t served = 0;
        std::size_t most_at_once = 0; ///< running and waiting
        struct job
        {
            time_point begin;
            time_point end;
        };
        std::vector<job> jobs;
        std::vector<time_point> free_at{};
    };

    shared_replicas(std::size_t node_count,
                    std::size_t machine_count,
                    bool reports_work)
        : fleet(node_count,
                [this](std::size_t node,
                       const relay::replica& replica,
                       const std::string&)
                {
                    return this->serve(replica.record.id,
                                       this->fleet.nodes[node]->loop.now());
                }),
          reports_work(reports_work)
    {
        for (const auto& node : this->fleet.nodes)
        {
            const auto now = node->loop.now();
            node->engine.registry.remove("book-a", false, now);
            node->engine.registry.remove("book-b", false, now);
            for (std::size_t i = 0; i < machine_count; ++i)
            {
                this->machines[id_of(i)];
                node->add_replica("book", id_of(i), "here");
            }
            auto* loop = &node->loop;
            node->replicas.load_of = [this, loop](const std::string& id)
            {
                return this->load(id, loop->now());
            };
            node->replicas.health = [this, loop](const relay::replica& target)
            {
                hawthornrelay::ports::health_report report{
                    true, true, std::nullopt};
                report.load = this->load(target.record.id, loop->now());
                return report;
            };
        }
    }

    static std::string id_of(std::size_t index)
    {
        return "book-" + std::to_string(index);
    }

    machine& at(std::size_t index)
    {
        return this->machines.at(id_of(index));
    }

    /// Starts requests at random nodes for a time.
    void run(double per_second, duration length)
    {
        const auto end = this->fleet.now() + length;
        std::poisson_distribution<int> arrivals(per_second / 1000);
        std::uniform_int_distribution<std::size_t> node(
            0, this->fleet.nodes.size() - 1);
        while (this->fleet.now() < end)
        {
            for (int left = arrivals(this->random); left > 0; --left)
            {
                this->fleet.nodes[node(this->random)]->start(
                    "q" + std::to_string(this->sent++), "/b/x", 1500ms);
            }
            this->fleet.run_for(1ms);
            if (this->on_step)
            {
                this->on_step();
            }
        }
    }

    /// Latencies of answered requests in ms, in order.
    [[nodiscard]] std::vector<double> latencies() const
    {
        std::vector<double> result;
        for (const auto& node : this->fleet.nodes)
        {
            for (const auto& [id, answer] : node->answers)
            {
                if (answer.code == result_code::ok)
                {
                    result.push_back(std::chrono::duration<double, std::milli>(
                                         node->latencies.at(id))
                                         .count());
                }
            }
        }
        std::sort(result.begin(), result.end());
        return result;
    }

    [[nodiscard]] double latency_quantile(double fraction) const
    {
        const auto all = this->latencies();
        return all.at(static_cast<std::size_t>(
            fraction * static_cast<double>(all.size() - 1)));
    }

    relay_fleet fleet;
    std::map<std::string, machine> machines;
    std::function<void()> on_step;
    std::mt19937 random{5};
    std::size_t sent = 0;
    duration service_time = 10ms;
    bool reports_work;

  private:
    scripted_reply serve(const std::string& id, time_point now)
    {
        auto& target = this->machines[id];
        std::erase_if(target.jobs,
                      [now](const machine::job& item)
                      {
                          return item.end <= now;
                      });
        target.free_at.resize(target.slots);
        const auto slot =
            std::min_element(target.free_at.begin(), target.free_at.end());
        const auto begin = std::max(now, *slot);
        const auto time = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(this->service_time) * target.work *
            target.slowness);
        *slot = begin + time;
        target.jobs.push_back({begin, *slot});
        target.most_at_once = std::max(target.most_at_once, target.jobs.size());
        ++target.served;
        scripted_reply reply;
        reply.after = *slot - now;
        return reply;
    }

    [[nodiscard]] std::optional<relay::replica_load> load(const std::string& id,
                                                          time_point now) const
    {
        const auto& target = this->machines.at(id);
        relay::replica_load result;
        result.slots = static_cast<double>(target.slots);
        for (const auto& item : target.jobs)
        {
            result.running += item.begin <= now && now < item.end ? 1 : 0;
            result.waiting += now < item.begin ? 1 : 0;
        }
        if (this->reports_work)
        {
            result.work_factor = target.work;
        }
        return result;
    }
};

} // namespace hawthornrelay::tests::support
