/// @file
/// @brief Counters and histograms of a relay process.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Counters of a relay process.
enum class relay_counter : std::size_t
{
    requests,
    answers_ok,
    answers_partial,
    answers_late,
    answers_failed,
    refusals,
    callers_gone,
    sends,
    hedges,
    resends,
    extras_withheld,
    sheds,
    broken_sends,
    not_sent,
    abandoned_sends,
    other_replica,
    connections_opened,
    probes,
    store_calls,
    store_failures,
    directory_answers,
    handler_failures,
    unknown_credentials,
    target_version_sends,
    rollouts_completed,
    rollouts_rolled_back,
    overload_refusals,
    slow_start_deferrals,
    quota_refusals,
    quota_asks,
    quota_messages,
    unreadable_items,
    cold_deferrals,
    end
};

/// @brief Names on the metrics page, in the order of relay_counter.
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(relay_counter::end)>
    relay_counter_names{"requests",
                        "answers_ok",
                        "answers_partial",
                        "answers_late",
                        "answers_failed",
                        "refusals",
                        "callers_gone",
                        "sends",
                        "hedges",
                        "resends",
                        "extras_withheld",
                        "sheds",
                        "broken_sends",
                        "not_sent",
                        "abandoned_sends",
                        "other_replica",
                        "connections_opened",
                        "probes",
                        "store_calls",
                        "store_failures",
                        "directory_answers",
                        "handler_failures",
                        "unknown_credentials",
                        "target_version_sends",
                        "rollouts_completed",
                        "rollouts_rolled_back",
                        "overload_refusals",
                        "slow_start_deferrals",
                        "quota_refusals",
                        "quota_asks",
                        "quota_messages",
                        "unreadable_items",
                        "cold_deferrals"};

/// @brief A latency histogram with fixed bounds.
class latency_histogram
{
  public:
    /// Upper bucket bounds in milliseconds; the last bucket is unbounded.
    static constexpr std::array<unsigned, 12> bounds_ms{
        2, 5, 10, 20, 40, 60, 80, 100, 150, 250, 500, 1000};

    /// @brief Adds a latency to its bucket and to the sum.
    void add(base::duration latency)
    {
        const auto ms = std::chrono::duration<double, std::milli>(latency);
        std::size_t bucket = 0;
        while (bucket < bounds_ms.size() && ms.count() > bounds_ms[bucket])
        {
            ++bucket;
        }
        ++this->buckets[bucket];
        this->sum += latency;
    }

    std::array<std::uint64_t, bounds_ms.size() + 1> buckets{};
    base::duration sum{};
};

/// @brief The monotonic counters and latency histograms of one process.
struct relay_counters
{
    /// @brief Increments a counter.
    void add(relay_counter which, std::uint64_t amount = 1)
    {
        this->values[static_cast<std::size_t>(which)] += amount;
    }

    std::array<std::uint64_t, static_cast<std::size_t>(relay_counter::end)>
        values{};
    latency_histogram answers;
    latency_histogram parts;
};

} // namespace hawthornrelay::core::relay
