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

/// How long a crash counts against a request.
constexpr std::chrono::minutes crash_retention{2};

/// Crashes since the last answer after which a request is not sent any more. A
/// single crash may be caused by another request on the same replica.
constexpr std::size_t crashes_to_refuse = 2;

/// @brief A crash during a request, as reported between nodes.
struct crash_report
{
    base::fingerprint request = 0; ///< or of a part of it
    std::uint64_t crash = 0;       ///< identifies the crash across nodes
    base::duration age{};
};

/// @brief Identifies a request, and its part at one service, across the
///        caller's attempts and across nodes.
struct crash_subject
{
    base::fingerprint request = 0;
    base::fingerprint part =
        0; ///< equal to `request` if there is one part only
};

/// @brief A send that got no answer.
struct unanswered_send
{
    crash_subject subject;
    std::string caller_attempt; ///< the caller's id of its attempt
    base::time_point sent_at{};
    std::uint64_t incarnation = 0; ///< of the replica
    /// True if the connection was not closed, so that the replica may have
    /// ended at any time since the send.
    bool is_silent = false;
    /// The last sign of life of the replica.
    base::time_point replica_alive_at{};
};

/// @brief What a health check shows of a replica.
enum class check_outcome
{
    running,
    gone, ///< it does not run at its address
    open, ///< neither is known, such as of a busy replica
};

/// @brief What became of the suspicion that a send without an answer raised.
struct resolved_suspicion
{
    crash_subject subject;
    std::string caller_attempt; ///< the caller's id of its attempt
    bool is_crash = false;      ///< the replica has ended since the send
    bool is_new = false;        ///< a crash that was not recorded before
};

/// @brief Counts the crashes during each request since it was last answered.
///
/// A send without an answer is not proof of a crash, since answers get lost and
/// replicas hang: it counts if the replica is gone by the next health check, or
/// is registered as a new incarnation later. All requests that waited at the
/// replica become suspects. The one that crashes replicas differs from the
/// others in that its crashes recur and it is never answered.
///
/// Crashes are counted for a whole request and for each of its parts: a search
/// may crash the replicas of one shard while the others answer it.
class crash_tracker
{
  public:
    /// @brief Records a send that reached a replica and got no answer.
    /// @param replica the replica's id
    /// @param send the send
    /// @param now the current time
    void on_unanswered(const std::string& replica,
                       unanswered_send send,
                       base::time_point now);

    /// @brief Records that a replica has run a request, or its part, to its
    ///        end.
    /// @return the number of crashes that no longer count
    std::size_t on_answered(const crash_subject& subject, base::time_point now);

    /// @brief Resolves suspicions with the outcome of a health check.
    /// @param replica the replica's id
    /// @param outcome the outcome; one that is open resolves nothing
    /// @param asked_at when the check was sent; later suspicions are kept
    /// @param now the current time
    /// @return the suspicions that the check resolved
    std::vector<resolved_suspicion> on_check(const std::string& replica,
                                             check_outcome outcome,
                                             base::time_point asked_at,
                                             base::time_point now);

    /// @brief Resolves suspicions against earlier incarnations of a replica. A
    ///        replica that restarts quickly answers the health check.
    /// @param replica the replica's id
    /// @param incarnation the registered incarnation
    /// @param now the current time
    /// @return the suspicions that were resolved
    std::vector<resolved_suspicion> on_incarnation(const std::string& replica,
                                                   std::uint64_t incarnation,
                                                   base::time_point now);

    /// @brief Replicas with sends that got no answer within the last seconds.
    [[nodiscard]] std::vector<std::string> suspected_replicas() const;

    /// @brief Tells whether a suspicion at the replica awaits a health check.
    [[nodiscard]] bool has_suspicion(const std::string& replica) const;

    /// @brief Number of crashes during a request, or a part, since it was last
    ///        answered. Crashes at about the same time count once.
    /// @param fingerprint of the request or the part
    /// @param now the current time
    [[nodiscard]] std::size_t crashes_of(base::fingerprint fingerprint,
                                         base::time_point now) const;

    /// @brief Tells whether a request, or a part, must not be sent.
    /// @param fingerprint of the request or the part
    /// @param now the current time
    [[nodiscard]] bool must_refuse(base::fingerprint fingerprint,
                                   base::time_point now) const;

    /// @brief Tells whether a request, or a part, has been answered since its
    ///        first crash, and has not crashed replicas often enough since then
    ///        to be refused.
    /// @param fingerprint of the request or the part
    /// @param now the current time
    [[nodiscard]] bool is_cleared(base::fingerprint fingerprint,
                                  base::time_point now) const;

    /// @brief Refuses a request, or a part, for as long as crashes count.
    /// @param fingerprint of the request or the part
    /// @param now the current time
    /// @return false if it is quarantined already
    bool quarantine(base::fingerprint fingerprint, base::time_point now);

    /// @brief Ends a quarantine.
    void release(base::fingerprint fingerprint);

    /// @brief True if no request has a recorded crash, a suspicion or a
    ///        quarantine.
    [[nodiscard]] bool is_empty() const
    {
        return this->histories.empty() && this->quarantined_until.empty();
    }

    /// @brief Merges reports from another node.
    void merge(const std::vector<crash_report>& reports, base::time_point now);

    /// @brief Reports for other nodes on requests that have not been answered
    ///        since: the newest crashes, and the others in turn over several
    ///        calls, so that a node which has just started learns of all.
    [[nodiscard]] std::vector<crash_report>
    reports_to_send(base::time_point now);

    /// @brief Drops expired crashes and suspicions.
    void expire(base::time_point now);

  private:
    struct suspicion
    {
        unanswered_send send;
        base::time_point raised_at{};
        /// False if the replica has shown that it was running after the send,
        /// so that only its end or its restart matters.
        bool needs_check = true;
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
        base::time_point suspected_at{}; ///< the last suspicion
        /// Of a part: its request; absent if known from reports only.
        std::optional<base::fingerprint> request;
    };

    /// @return the history of a request or part, created if missing; nullptr
    ///         if the limit is reached
    history* history_for(base::fingerprint fingerprint);
    /// Drops a history without crashes.
    /// @return false if none was found
    bool make_room(base::fingerprint fingerprint);

    /// @brief Records a crash detected by this node.
    /// @param fingerprint of the request or the part
    /// @return false if it is known, if there was an answer since the send, or
    ///         if a limit is reached
    bool record_crash(base::fingerprint fingerprint,
                      const suspicion& confirmed,
                      base::time_point now);
    void mark_suspected(base::fingerprint fingerprint, base::time_point now);

    /// @brief Tells whether reports of a part's crashes would add nothing to
    ///        those of its request.
    [[nodiscard]] bool is_reported_by_request(const history& known) const;

    /// @brief Applies a decision to the suspicions at a replica; those that it
    ///        finds to be crashes are dropped.
    /// @return the decisions that were made
    template <class Decision>
    std::vector<resolved_suspicion> resolve(const std::string& replica,
                                            Decision decide);

    /// @brief Records the suspicion's crash and reports it.
    resolved_suspicion confirm(const suspicion& confirmed,
                               base::time_point now);

    std::map<base::fingerprint, history> histories; ///< of requests and parts
    std::map<std::string, std::vector<suspicion>> suspicions;
    std::map<base::fingerprint, base::time_point> quarantined_until;
    std::size_t reports_sent_in_turn = 0;
};

} // namespace hawthornrelay::core::relay
