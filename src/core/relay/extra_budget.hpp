/// @file
/// @brief Bounds the sends beyond the first of each request, per service.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The bound over all nodes, and how much of it this node may use.
struct extra_budget_settings
{
    double ratio = 0.2; ///< extra sends for each request; site setting
    double slack = 0;   ///< extra sends besides, over all nodes; site setting
    base::duration window = std::chrono::seconds(10); ///< site setting
    /// Part of the bound left unused, since a send arrives after its decision
    /// and a window may begin anywhere between the two.
    double safety = 0.92;
};

/// @brief A sliding-window account of one node's extra sends.
///
/// The bound of a window is ratio x requests + slack over all nodes. Each node
/// keeps to ratio x its own requests + its part of the slack, so that the sum
/// over all nodes holds without any message between them. Only entries have a
/// part of the slack. A send counts from
/// its decision until a window after the moment when it can no longer arrive.
class extra_budget
{
  public:
    /// @brief Sets the bound.
    /// @param settings the bound over all nodes
    /// @param started when this process began
    /// @param knows_history true if no earlier process of this node can have
    ///        used slack within the last window
    extra_budget(extra_budget_settings settings,
                 base::time_point started,
                 bool knows_history);

    /// @brief Sets who divides the slack. A node that begins to take part gets
    ///        its part only after a window: the one that it replaces may have
    ///        used it.
    /// @param count nodes that divide it; at least 1
    /// @param takes_part whether this node is one of them
    /// @param now the current time
    void set_division(unsigned count, bool takes_part, base::time_point now);

    /// @brief Changes the bound for later sends.
    void set_bound(double ratio, double slack, base::duration window);

    /// @brief Counts a caller's request for a service.
    void on_request(const std::string& service, base::time_point now);

    /// @brief Takes one extra send if the bound allows.
    /// @param service the service
    /// @param now the current time
    /// @param part the part of the bound that this use may fill, 0 to 1
    /// @return true if the send may go
    bool try_take(const std::string& service,
                  base::time_point now,
                  double part = 1.0);

    /// @brief Tells that an extra send has arrived, or never will.
    void on_settled(const std::string& service, base::time_point now);

    /// @brief Extra sends that are still allowed now.
    /// @param service the service
    /// @param now the current time
    /// @param part the part of the bound to consider, 0 to 1
    [[nodiscard]] double
    left(const std::string& service, base::time_point now, double part = 1.0);

  private:
    struct account
    {
        std::deque<base::time_point> requests;
        std::deque<base::time_point> settled;
        std::uint64_t in_flight = 0;
    };

    void expire(account& entry, base::time_point now) const;
    [[nodiscard]] double slack_now(base::time_point now) const;

    extra_budget_settings settings;
    base::time_point started;
    bool knows_history;
    unsigned node_count = 1;
    std::optional<bool> takes_part; ///< unset: it does, from the start
    base::time_point slack_from;    ///< the slack is this node's from then on
    std::map<std::string, account, std::less<>> accounts;
};

} // namespace hawthornrelay::core::relay
