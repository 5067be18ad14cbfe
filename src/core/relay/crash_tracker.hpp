/// @file
/// @brief Detects requests that crash replicas.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief A crash during a request, as reported between nodes.
struct crash_report
{
    base::fingerprint request = 0;
    std::uint64_t crash = 0; ///< identifies the crash across nodes
    base::duration age{};
};

/// @brief What a health check says about a send that broke before it.
struct resolved_suspicion
{
    base::fingerprint request = 0;
    std::string caller_attempt; ///< the caller's id of its attempt
    bool is_crash = false;      ///< the replica did not answer the check
    bool is_new = false;        ///< a crash that was not recorded before
};

/// @brief Counts the crashes during each request since it was last answered.
///
/// A broken send is not proof of a crash, since answers get lost too: it counts
/// if the replica does not answer the next health check. All requests that
/// broke at the replica become suspects. The one that crashes replicas differs
/// from the others in that its crashes recur and it is never answered.
class crash_tracker
{
  public:
    /// @brief Records a send that broke after it reached a replica.
    /// @param replica the replica's id
    /// @param request the request's fingerprint
    /// @param caller_attempt the caller's id of its attempt
    /// @param now the current time
    void on_broken(const std::string& replica,
                   base::fingerprint request,
                   const std::string& caller_attempt,
                   base::time_point now);

    /// @brief Records that a replica has answered a request.
    /// @return the number of crashes that no longer count
    std::size_t on_answered(base::fingerprint request, base::time_point now);

    /// @brief Resolves suspicions with the outcome of a health check.
    /// @param replica the replica's id
    /// @param has_answered whether the replica answered
    /// @param asked_at when the check was sent; later suspicions are kept
    /// @return the suspicions that the check resolved
    std::vector<resolved_suspicion> on_check(const std::string& replica,
                                             bool has_answered,
                                             base::time_point asked_at);

    /// @brief Tells whether a suspicion at the replica awaits a health check.
    [[nodiscard]] bool has_suspicion(const std::string& replica) const;

    /// @brief Number of crashes during a request since it was last answered.
    ///        Crashes at about the same time count once.
    [[nodiscard]] std::size_t crashes_of(base::fingerprint request,
                                         base::time_point now) const;

    /// @brief True if no request has a recorded crash.
    [[nodiscard]] bool is_empty() const
    {
        return this->requests.empty();
    }

    /// @brief Merges reports from another node.
    void merge(const std::vector<crash_report>& reports, base::time_point now);

    /// @brief Reports for other nodes: the newest crashes of requests that have
    ///        not been answered since.
    [[nodiscard]] std::vector<crash_report>
    reports_to_send(base::time_point now) const;

    /// @brief Drops expired crashes and suspicions.
    void expire(base::time_point now);

  private:
    struct suspicion
    {
        base::fingerprint request = 0;
        std::string caller_attempt;
        base::time_point broke_at{};
    };

    struct crash_observation
    {
        std::uint64_t number = 0;
        base::time_point at{};
    };

    struct history
    {
        /// @brief The crashes since the last answer.
        [[nodiscard]] std::vector<crash_observation> unanswered_crashes() const;

        std::vector<crash_observation> crashes;
        std::optional<base::time_point> answered_at;
    };

    /// @return the history of a request, created if missing; nullptr if the
    ///         limit is reached
    history* history_for(base::fingerprint request);

    /// @brief Records a crash detected by this node.
    /// @return false if one at about the same time is known or a limit is
    ///         reached
    bool record_crash(const suspicion& confirmed);

    std::map<base::fingerprint, history> requests;
    std::map<std::string, std::vector<suspicion>> suspicions;
};

} // namespace hawthornrelay::core::relay
