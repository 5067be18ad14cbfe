/// @file
/// @brief Limits extra sends (hedges and retries) per service.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The limit over all nodes.
struct extra_budget_settings
{
    double ratio = 0.2; ///< extra sends per request; site setting
    double slack = 0;   ///< additional extra sends over all nodes; site setting
    base::duration window = std::chrono::seconds(10); ///< site setting
    /// Usable fraction of the limit; below 1 because a send arrives after its
    /// decision and a window may begin in between.
    double safety = 0.92;
};

/// @brief A sliding-window limit on one node's extra sends.
///
/// Over all nodes, a window may contain ratio x requests + slack extra sends.
/// Each node limits itself to ratio x its own requests + its portion of the
/// slack, which keeps the sum within the limit without coordination. Only
/// entries have a portion of the slack. A send counts from its decision until
/// one window after it can no longer arrive.
class extra_budget
{
  public:
    /// @brief Creates a budget without any requests.
    /// @param settings the limit over all nodes
    /// @param started start time of this process
    /// @param is_history_known true if no earlier process of this node can have
    ///        used slack within the last window
    extra_budget(extra_budget_settings settings,
                 base::time_point started,
                 bool is_history_known);

    /// @brief Sets how the slack is divided. A node that starts to receive
    ///        slack waits for one window, since the node that it replaces may
    ///        have used that portion.
    /// @param count number of nodes that receive slack; at least 1
    /// @param receives_slack whether this node is one of them
    /// @param now the current time
    void
    set_division(unsigned count, bool receives_slack, base::time_point now);

    /// @brief Changes the limit for later sends.
    void set_bound(double ratio, double slack, base::duration window);

    /// @brief Counts a caller's request for a service.
    void on_request(const std::string& service, base::time_point now);

    /// @brief Reserves one extra send if the limit allows it.
    /// @param service the service
    /// @param now the current time
    /// @param fraction the fraction of the limit available to this use, 0 to 1
    /// @return true if the send was reserved
    bool try_reserve(const std::string& service,
                     base::time_point now,
                     double fraction = 1.0);

    /// @brief Records that an extra send has arrived or can no longer arrive.
    void on_settled(const std::string& service, base::time_point now);

    /// @brief Number of extra sends still allowed; negative if overdrawn.
    /// @param service the service
    /// @param now the current time
    /// @param fraction the fraction of the limit to consider, 0 to 1
    [[nodiscard]] double remaining(const std::string& service,
                                   base::time_point now,
                                   double fraction = 1.0);

  private:
    struct account
    {
        std::deque<base::time_point> requests;
        std::deque<base::time_point> settled;
        std::uint64_t in_flight = 0;
    };

    void expire(account& service_account, base::time_point now) const;
    [[nodiscard]] double available_slack(base::time_point now) const;

    extra_budget_settings settings;
    base::time_point started;
    bool is_history_known;
    unsigned node_count = 1;
    std::optional<bool> receives_slack; ///< unset counts as true
    base::time_point slack_available_from;
    std::map<std::string, account, std::less<>> accounts;
};

} // namespace hawthornrelay::core::relay
