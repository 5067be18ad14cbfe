/// @file
/// @brief Seeded load generation and the figures of a run.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <support/fleet.hpp>
#include <support/naive.hpp>

namespace hawthornrelay::tests::support
{

/// @brief The figures of one run.
struct run_figures
{
    std::vector<duration> latencies; ///< of complete answers, sorted
    std::uint64_t queries = 0;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::uint64_t requested = 0; ///< sub-queries
    std::uint64_t answered = 0;  ///< sub-queries
    double extra_load = 0;       ///< extra sends per sub-query
    double hedge_load = 0;       ///< hedges per sub-query
    double seconds = 0;

    [[nodiscard]] double quantile_ms(double fraction) const
    {
        if (this->latencies.empty())
        {
            return 0;
        }
        const auto rank = static_cast<std::size_t>(
            fraction * static_cast<double>(this->latencies.size() - 1));
        return static_cast<double>(this->latencies[rank].count()) / 1000;
    }

    [[nodiscard]] double coverage() const
    {
        return this->requested == 0 ? 0
                                    : static_cast<double>(this->answered) /
                                          static_cast<double>(this->requested);
    }

    /// Complete answers per second.
    [[nodiscard]] double goodput() const
    {
        return static_cast<double>(this->complete) / this->seconds;
    }
};

/// @brief The queries of a run.
struct workload
{
    double load = 0.5; ///< fraction of the targets' slots
    std::size_t queries = 4000;
    duration deadline = std::chrono::milliseconds(1000);
};

/// @brief Queries per second that keep the given fraction of the slots busy.
inline double query_rate(const fleet_shape& shape, double load)
{
    const double mean_ms = shape.work_ms * (1 + 9 * shape.straggler_share);
    const double per_second = 1000.0 / mean_ms *
                              static_cast<double>(shape.replicas) *
                              shape.target.slots;
    return per_second * load;
}

/// @brief Starts a query at an entry node and later passes on its record and
///        whether it was refused.
using query_starter =
    std::function<void(std::size_t, std::function<void(query_record, bool)>)>;

/// @brief Sends a Poisson stream of queries and runs until all have ended.
inline run_figures run_load(event_loop& loop,
                            const fleet_shape& shape,
                            const workload& offered,
                            const query_starter& start)
{
    std::mt19937_64 random(shape.seed * 7919 + 17);
    std::exponential_distribution<double> gap(query_rate(shape, offered.load));
    auto figures = std::make_shared<run_figures>();
    const auto started_at = loop.now();
    auto send_time = started_at;
    for (std::size_t i = 0; i < offered.queries; ++i)
    {
        send_time += duration(static_cast<duration::rep>(gap(random) * 1e6));
        const auto entry = random() % shape.nodes;
        loop.at(send_time,
                [&start, figures, entry]
                {
                    start(entry,
                          [figures](query_record record, bool refused)
                          {
                              ++figures->queries;
                              figures->requested += record.asked;
                              figures->answered += record.answered;
                              figures->refused += refused ? 1 : 0;
                              if (!refused && record.answered == record.asked)
                              {
                                  ++figures->complete;
                                  figures->latencies.push_back(record.latency);
                              }
                          });
                });
    }
    loop.run_until(send_time + offered.deadline + std::chrono::seconds(1));
    figures->seconds =
        std::chrono::duration<double>(send_time - started_at).count();
    std::sort(figures->latencies.begin(), figures->latencies.end());
    return *figures;
}

/// @brief Starts a fleet and warms up its targets with a load of 30 %.
inline void warm_up(fleet& cluster)
{
    cluster.start_all();
    cluster.loop.run_for(std::chrono::seconds(10));
    const workload light{0.3, 600, std::chrono::milliseconds(1000)};
    run_load(cluster.loop,
             cluster.shape,
             light,
             [&](std::size_t entry, const auto& done)
             {
                 cluster.query(entry,
                               "warm",
                               light.deadline,
                               [done](const core::query::query_answer&)
                               {
                                   done({}, false);
                               });
             });
}

/// @brief Runs a workload through the nodes of a fleet.
inline run_figures run_fleet(fleet& cluster, const workload& offered)
{
    const auto count = [&](core::base::counter which)
    {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < cluster.shape.nodes; ++i)
        {
            sum += cluster.is_running(i)
                       ? cluster.node(i).counter_state().get(which)
                       : 0;
        }
        return static_cast<double>(sum);
    };
    using core::base::counter;
    const auto hedges = count(counter::hedges);
    const auto first = count(counter::sub_queries);
    const auto sent = count(counter::work_sent);
    std::uint64_t last_number = 0;
    auto figures = run_load(
        cluster.loop,
        cluster.shape,
        offered,
        [&](std::size_t entry, const auto& done)
        {
            while (!cluster.is_running(entry))
            {
                entry = (entry + 1) % cluster.shape.nodes;
            }
            const auto started_at = cluster.loop.now();
            cluster.query(entry,
                          "q" + std::to_string(++last_number),
                          offered.deadline,
                          [&cluster, started_at, done](
                              const core::query::query_answer& answer)
                          {
                              query_record record{cluster.loop.now() -
                                                      started_at,
                                                  cluster.shape.services,
                                                  answer.answered};
                              done(record, answer.code != result_code::ok);
                          });
        });
    const auto parts = count(counter::sub_queries) - first;
    figures.hedge_load = (count(counter::hedges) - hedges) / parts;
    figures.extra_load = (count(counter::work_sent) - sent - parts) / parts;
    return figures;
}

/// @brief Runs a workload through a naive version.
inline run_figures
run_naive(const fleet_shape& shape, naive_rules rules, const workload& offered)
{
    event_loop loop;
    std::mt19937_64 random(shape.seed);
    const double lognormal_mean =
        std::exp(shape.work_sigma * shape.work_sigma / 2);
    naive_tier tier(
        loop,
        rules,
        shape.nodes,
        shape.services,
        shape.replicas,
        shape.target,
        shape.target_delay,
        [&]
        {
            std::lognormal_distribution<double> work(0.0, shape.work_sigma);
            std::uniform_real_distribution<double> uniform;
            double ms = shape.work_ms * work(random) / lognormal_mean;
            if (uniform(random) < shape.straggler_share)
            {
                ms *= 10;
            }
            return duration(static_cast<duration::rep>(ms * 1000));
        });
    auto figures = run_load(loop,
                            shape,
                            offered,
                            [&](std::size_t entry, const auto& done)
                            {
                                tier.query(entry,
                                           shape.services,
                                           offered.deadline,
                                           [done](query_record record)
                                           {
                                               done(record, false);
                                           });
                            });
    figures.extra_load = static_cast<double>(tier.extra_sends) /
                         static_cast<double>(tier.first_sends);
    figures.hedge_load = figures.extra_load;
    return figures;
}

} // namespace hawthornrelay::tests::support
