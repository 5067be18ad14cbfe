/// @file
/// @brief Finds requests that crash the replicas that run them.
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

/// @brief A crash that a request met, as nodes tell each other.
struct crash_report
{
    base::fingerprint request = 0;
    std::uint64_t crash = 0; ///< unique number of the crash
    base::duration age{};
};

/// @brief Counts how often a request met a crash without being answered.
///
/// A broken send alone proves nothing, since answers get lost too: it counts
/// when the replica does not answer the health check that follows. All requests
/// that broke at the replica are suspected. What tells the one that crashes
/// replicas from the others is that it meets crashes again and again and is
/// never answered.
class crash_watch
{
  public:
    /// @brief Notes a send that broke after it reached a replica.
    /// @param replica the replica's id
    /// @param request the request's fingerprint
    /// @param attempt the caller's id of this attempt
    /// @param now the current time
    void on_broken(const std::string& replica,
                   base::fingerprint request,
                   const std::string& attempt,
                   base::time_point now);

    /// @brief Notes that a replica has answered a request.
    void on_answered(base::fingerprint request, base::time_point now);

    /// @brief Takes the outcome of a health check.
    /// @param replica the replica's id
    /// @param has_answered whether the replica answered
    /// @param asked_at when the check was sent; what broke later stays open
    /// @return the requests that are now known to have met a crash
    std::vector<base::fingerprint> on_check(const std::string& replica,
                                            bool has_answered,
                                            base::time_point asked_at);

    /// @brief Tells whether a check of the replica would settle a suspicion.
    [[nodiscard]] bool has_suspicion(const std::string& replica) const;

    /// @brief Crashes that a request met since it was last answered. Those at
    ///        about the same time count once.
    [[nodiscard]] std::size_t crashes_of(base::fingerprint request,
                                         base::time_point now) const;

    /// @brief True when no request has met a crash lately.
    [[nodiscard]] bool is_empty() const
    {
        return this->requests.empty();
    }

    /// @brief Takes what another node knows.
    void merge(const std::vector<crash_report>& reports, base::time_point now);

    /// @brief What other nodes should know: the newest crashes of requests that
    ///        were not answered since.
    [[nodiscard]] std::vector<crash_report> to_tell(base::time_point now) const;

    /// @brief Drops what no longer counts.
    void expire(base::time_point now);

  private:
    struct suspicion
    {
        base::fingerprint request = 0;
        std::uint64_t attempt = 0; ///< hash of its id
        base::time_point broke_at{};
    };

    struct met_crash
    {
        std::uint64_t number = 0;
        base::time_point at{};
    };

    struct history
    {
        /// @brief The crashes since the last answer.
        [[nodiscard]] std::vector<met_crash> open() const;

        std::vector<met_crash> crashes;
        std::optional<base::time_point> answered_at;
    };

    /// @return the history of a request, nullptr when there are too many
    history* history_of(base::fingerprint request);

    /// @brief Notes a crash that this node found.
    /// @return true when no other is known of about the same time
    bool note_own(const suspicion& confirmed);

    std::map<base::fingerprint, history> requests;
    std::map<std::string, std::vector<suspicion>> suspicions;
};

} // namespace hawthornrelay::core::relay
