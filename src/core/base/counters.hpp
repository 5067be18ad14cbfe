/// @file
/// @brief Counters of a node, exported on the metrics page.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hawthornrelay::core::base
{

/// @brief The counters; end is their number.
enum class counter : std::size_t
{
    queries,
    queries_refused,
    answers_complete,
    answers_partial,
    sub_queries,
    sub_queries_ok,
    hedges,
    hedges_denied,
    retries,
    restarts,
    replies_dropped,
    work_sent,
    work_moved,
    work_refused,
    work_shed,
    crashes,
    quarantined,
    keyed_done,
    keyed_not_run,
    keyed_unknown,
    platform_calls,
    platform_failures,
    peer_messages,
    config_deltas,
    log_lines,
    end
};

/// @brief The values of one node's counters, which never decrease.
class counters
{
  public:
    /// @brief Increments a counter.
    /// @param which the counter
    /// @param amount the increment
    void add(counter which, std::uint64_t amount = 1)
    {
        this->values[static_cast<std::size_t>(which)] += amount;
    }

    /// @brief Reads a counter.
    /// @param which the counter
    /// @return its value since the node started
    [[nodiscard]] std::uint64_t get(counter which) const
    {
        return this->values[static_cast<std::size_t>(which)];
    }

  private:
    std::array<std::uint64_t, static_cast<std::size_t>(counter::end)> values{};
};

/// @brief The name of a counter on the metrics page.
/// @param which the counter
/// @return its name, without the common prefix
constexpr std::string_view name_of(counter which)
{
    constexpr std::array<std::string_view,
                         static_cast<std::size_t>(counter::end)>
        names{"queries",          "queries_refused",
              "answers_complete", "answers_partial",
              "sub_queries",      "sub_queries_ok",
              "hedges",           "hedges_denied",
              "retries",          "restarts",
              "replies_dropped",  "work_sent",
              "work_moved",       "work_refused",
              "work_shed",        "crashes",
              "quarantined",      "keyed_done",
              "keyed_not_run",    "keyed_unknown",
              "platform_calls",   "platform_failures",
              "peer_messages",    "config_deltas",
              "log_lines"};
    return names[static_cast<std::size_t>(which)];
}

} // namespace hawthornrelay::core::base
