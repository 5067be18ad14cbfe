/// @file
/// @brief Checks of a fleet's invariants, and query traffic to run them under.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <support/fleet.hpp>

namespace hawthornrelay::tests::support
{

/// @brief Checks a fleet's invariants every 10 ms and collects violations:
///        shares with two holders and configurations that go back.
class checks
{
  public:
    explicit checks(fleet& all) : all(all)
    {
        this->run();
    }

    std::vector<std::string> broken; ///< the first five violations

    /// Highest number of requests in flight at one target.
    std::size_t most_in_flight = 0;

    /// Crashes of targets by overload.
    [[nodiscard]] std::uint32_t falls() const
    {
        std::uint32_t sum = 0;
        for (const auto& [address, model] : this->all.targets)
        {
            sum += model.falls;
        }
        return sum;
    }

  private:
    void run()
    {
        this->check_holders();
        this->check_revisions();
        this->check_in_flight();
        this->all.loop.after(std::chrono::milliseconds(10),
                             [this]
                             {
                                 this->run();
                             });
    }

    void check_holders()
    {
        std::map<core::base::share_id, std::string> holders;
        for (std::size_t i = 0; i < this->all.shape.nodes; ++i)
        {
            if (!this->all.is_running(i) || !this->all.node(i).is_ready())
            {
                continue;
            }
            const auto& shares = this->all.node(i).share_state();
            for (const auto& [id, share] : shares.all())
            {
                if (!shares.is_held(id))
                {
                    continue;
                }
                const auto [other, is_first] =
                    holders.emplace(id, this->all.name(i));
                if (!is_first)
                {
                    this->record_violation(core::base::to_string(id) +
                                           " held by " + other->second +
                                           " and " + this->all.name(i));
                }
            }
        }
    }

    void check_revisions()
    {
        for (std::size_t i = 0; i < this->all.shape.nodes; ++i)
        {
            if (!this->all.is_running(i))
            {
                this->revisions.erase(i);
                continue;
            }
            const auto now =
                this->all.node(i).control_state().store().current();
            if (now < this->revisions[i])
            {
                this->record_violation(this->all.name(i) +
                                       " went back to an older revision");
            }
            this->revisions[i] = now;
        }
    }

    void check_in_flight()
    {
        for (const auto& [address, requests] : this->all.open_requests)
        {
            this->most_in_flight =
                std::max(this->most_in_flight, requests.size());
        }
    }

    void record_violation(const std::string& what)
    {
        constexpr std::size_t max_reports = 5;
        if (this->broken.size() < max_reports)
        {
            const auto at = this->all.loop.now().time_since_epoch();
            this->broken.push_back(std::to_string(at.count()) + " us: " + what);
        }
    }

    fleet& all;
    std::map<std::size_t, std::uint64_t> revisions;
};

/// @brief A Poisson stream of queries to random running nodes.
class traffic
{
  public:
    traffic(fleet& all, double load) : all(all), load(load)
    {
    }

    struct record
    {
        time_point at; ///< of the send
        duration latency{};
        result_code code = result_code::ok;
        std::size_t answered = 0;
        bool one_version = true; ///< all answers are from `version`
        core::base::index_version version = 0;
    };

    std::vector<record> records;
    std::uint64_t sent = 0;
    bool skips_unready = true; ///< sends only to nodes that are ready

    void start()
    {
        this->running = true;
        this->send_and_schedule();
    }

    void stop()
    {
        this->running = false;
    }

    /// Fraction of complete answers among the queries sent in a period.
    [[nodiscard]] double complete_share(time_point from, time_point to) const
    {
        std::size_t asked = 0;
        std::size_t complete = 0;
        for (const auto& item : this->records)
        {
            if (item.at >= from && item.at < to)
            {
                ++asked;
                complete += item.answered == this->all.shape.services ? 1 : 0;
            }
        }
        return asked == 0
                   ? 0
                   : static_cast<double>(complete) / static_cast<double>(asked);
    }

    duration deadline = std::chrono::milliseconds(1000);

  private:
    void send_and_schedule()
    {
        if (!this->running)
        {
            return;
        }
        this->send();
        const double rate = query_rate_for(this->all.shape, this->load);
        std::exponential_distribution<double> gap(rate);
        this->all.loop.after(
            duration(static_cast<duration::rep>(gap(this->random) * 1e6)),
            [this]
            {
                this->send_and_schedule();
            });
    }

    static double query_rate_for(const fleet_shape& shape, double load)
    {
        const double mean_ms = shape.work_ms * (1 + 9 * shape.straggler_share);
        return 1000.0 / mean_ms * static_cast<double>(shape.replicas) *
               shape.target.slots * load;
    }

    void send()
    {
        const auto node_count = this->all.shape.nodes;
        const auto start = this->random() % node_count;
        for (std::size_t k = 0; k < node_count; ++k)
        {
            const auto i = (start + k) % node_count;
            if (this->all.is_running(i) &&
                (!this->skips_unready || this->all.node(i).is_ready()))
            {
                this->send_to(i);
                return;
            }
        }
    }

    void send_to(std::size_t i)
    {
        const auto at = this->all.loop.now();
        this->all.query(i,
                        "q" + std::to_string(++this->sent),
                        this->deadline,
                        [this, at](const core::query::query_answer& answer)
                        {
                            this->record_answer(at, answer);
                        });
    }

    void record_answer(time_point at, const core::query::query_answer& answer)
    {
        record item{at,
                    this->all.loop.now() - at,
                    answer.code,
                    answer.answered,
                    true,
                    answer.version};
        const auto prefix = "v" + std::to_string(answer.version) + ":";
        for (const auto& shard : answer.shards)
        {
            const bool is_wrong = shard.code == result_code::ok &&
                                  !shard.body.starts_with(prefix);
            item.one_version = item.one_version && !is_wrong;
        }
        this->records.push_back(item);
    }

    fleet& all;
    double load;
    bool running = false;
    std::mt19937_64 random{99};
};

} // namespace hawthornrelay::tests::support
