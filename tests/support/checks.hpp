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
class invariant_checks
{
  public:
    explicit invariant_checks(fleet& cluster) : cluster(cluster)
    {
        this->run();
    }

    std::vector<std::string> violations; ///< the first five violations

    /// Highest number of requests in flight at one target.
    std::size_t max_in_flight = 0;

    /// Crashes of targets by overload.
    [[nodiscard]] std::uint32_t overload_crashes() const
    {
        std::uint32_t sum = 0;
        for (const auto& [address, model] : this->cluster.targets)
        {
            sum += model.overload_crashes;
        }
        return sum;
    }

  private:
    void run()
    {
        this->check_holders();
        this->check_revisions();
        this->check_in_flight();
        this->cluster.loop.after(std::chrono::milliseconds(10),
                                 [this]
                                 {
                                     this->run();
                                 });
    }

    void check_holders()
    {
        std::map<core::base::share_id, std::string> holders;
        for (std::size_t i = 0; i < this->cluster.shape.nodes; ++i)
        {
            if (!this->cluster.is_running(i) ||
                !this->cluster.node(i).is_ready())
            {
                continue;
            }
            const auto& shares = this->cluster.node(i).share_state();
            for (const auto& [id, share] : shares.all())
            {
                if (!shares.is_held(id))
                {
                    continue;
                }
                const auto [other, is_first] =
                    holders.emplace(id, this->cluster.name(i));
                if (!is_first)
                {
                    this->record_violation(core::base::to_string(id) +
                                           " held by " + other->second +
                                           " and " + this->cluster.name(i));
                }
            }
        }
    }

    void check_revisions()
    {
        for (std::size_t i = 0; i < this->cluster.shape.nodes; ++i)
        {
            if (!this->cluster.is_running(i))
            {
                this->revisions.erase(i);
                continue;
            }
            const auto now =
                this->cluster.node(i).control_state().store().current();
            if (now < this->revisions[i])
            {
                this->record_violation(this->cluster.name(i) +
                                       " went back to an older revision");
            }
            this->revisions[i] = now;
        }
    }

    void check_in_flight()
    {
        for (const auto& [address, requests] : this->cluster.open_requests)
        {
            this->max_in_flight =
                std::max(this->max_in_flight, requests.size());
        }
    }

    void record_violation(const std::string& what)
    {
        constexpr std::size_t max_reports = 5;
        if (this->violations.size() < max_reports)
        {
            const auto at = this->cluster.loop.now().time_since_epoch();
            this->violations.push_back(std::to_string(at.count()) +
                                       " us: " + what);
        }
    }

    fleet& cluster;
    std::map<std::size_t, std::uint64_t> revisions;
};

/// @brief A Poisson stream of queries to random running nodes.
class traffic
{
  public:
    traffic(fleet& cluster, double load) : cluster(cluster), load(load)
    {
    }

    struct record
    {
        time_point sent_at;
        duration latency{};
        result_code code = result_code::ok;
        std::size_t answered = 0;
        bool has_one_version = true; ///< all answers are from `version`
        core::base::index_version version = 0;
    };

    std::vector<record> records;
    std::uint64_t sent = 0;
    bool skips_unready_nodes = true; ///< sends only to nodes that are ready

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
    [[nodiscard]] double complete_fraction(time_point from, time_point to) const
    {
        std::size_t asked = 0;
        std::size_t complete = 0;
        for (const auto& item : this->records)
        {
            if (item.sent_at >= from && item.sent_at < to)
            {
                ++asked;
                complete +=
                    item.answered == this->cluster.shape.services ? 1 : 0;
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
        const double rate = query_rate_for(this->cluster.shape, this->load);
        std::exponential_distribution<double> gap(rate);
        this->cluster.loop.after(
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
        const auto node_count = this->cluster.shape.nodes;
        const auto start = this->random() % node_count;
        for (std::size_t k = 0; k < node_count; ++k)
        {
            const auto i = (start + k) % node_count;
            if (this->cluster.is_running(i) &&
                (!this->skips_unready_nodes ||
                 this->cluster.node(i).is_ready()))
            {
                this->send_to(i);
                return;
            }
        }
    }

    void send_to(std::size_t i)
    {
        const auto at = this->cluster.loop.now();
        this->cluster.query(i,
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
                    this->cluster.loop.now() - at,
                    answer.code,
                    answer.answered,
                    true,
                    answer.version};
        const auto prefix = "v" + std::to_string(answer.version) + ":";
        for (const auto& shard : answer.shards)
        {
            const bool is_wrong = shard.code == result_code::ok &&
                                  !shard.body.starts_with(prefix);
            item.has_one_version = item.has_one_version && !is_wrong;
        }
        this->records.push_back(item);
    }

    fleet& cluster;
    double load;
    bool running = false;
    std::mt19937_64 random{99};
};

} // namespace hawthornrelay::tests::support
