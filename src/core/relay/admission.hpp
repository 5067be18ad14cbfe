/// @file
/// @brief Selects the requests that are sent while replicas have too little
///        room for all.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Requests of one kind: the same priority and organisation.
struct request_kind
{
    unsigned priority = 0;    ///< 0 is the highest
    std::string organisation; ///< empty on public routes

    auto operator<=>(const request_kind&) const = default;
};

/// @brief Requests per second of a kind, and how many of them are sent.
struct kind_share
{
    request_kind kind;
    double demand = 0;
    double admitted = 0; ///< output of share_capacity()
};

/// @brief Divides a capacity among kinds of requests.
///
/// Each kind gets a fraction of its fair part; the rest goes to the kinds in
/// the order of their priority, and among those of equal priority to the one
/// that has least.
/// @param shares the demands; receives what is admitted
/// @param capacity the requests per second that can be sent
void share_capacity(std::vector<kind_share>& shares, double capacity);

/// @brief Admits requests to groups of replicas, one group per service. While
///        replicas report no shortage, all are admitted.
class admission
{
  public:
    /// @brief Decides on a request before anything is sent for it.
    /// @param group the service that the request is for
    /// @param kind the kind of the request
    /// @param now the current time
    /// @return false if the request is to be refused
    bool try_admit(const std::string& group,
                   const request_kind& kind,
                   base::time_point now);

    /// @brief Records the outcome of a send.
    /// @param group the service given to try_admit()
    /// @param parts number of sends that the request needs
    /// @param is_shed whether the replica refused it for want of room
    /// @param utilization reported (running + waiting) / slots, 0 if unknown
    void on_outcome(const std::string& group,
                    std::size_t parts,
                    bool is_shed,
                    double utilization);

    /// @brief Called when requests of a group may be refused from now on, or no
    ///        longer.
    std::function<void(const std::string& group, bool is_short)> on_change;

  private:
    struct kind_state
    {
        double recent = 0;   ///< decaying count of requests
        double fraction = 1; ///< of the requests that are admitted
        double credit = 0;   ///< an admission takes 1
    };

    struct group_state
    {
        std::map<request_kind, kind_state> kinds;
        double admitted = 0; ///< this and the next four decay alike
        double accepted = 0; ///< requests that replicas had room for
        double sends = 0;
        double sheds = 0;
        double utilization = 0; ///< sum over sends
        base::time_point updated{};
        bool is_short = false;
    };

    static void update(group_state& group, base::time_point now);

    std::map<std::string, group_state, std::less<>> groups;
};

} // namespace hawthornrelay::core::relay
