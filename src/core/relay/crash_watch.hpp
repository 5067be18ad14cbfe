/// @file
/// @brief Finds requests that crash the replicas that run them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/messages.hpp>
#include <core/quarantine/crash_ledger.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Tells crashes from lost answers, and counts for each request the
///        attempts that crashed replicas.
///
/// A broken send alone proves nothing: answers get lost too. It counts when the
/// replica does not answer the health check that follows. All requests that
/// broke at the replica are suspected, but only the one that crashes replicas
/// meets a crash again in its next attempt.
class crash_watch
{
  public:
    crash_watch();

    /// @brief Notes a send that broke after it reached a replica.
    /// @param replica the replica's id
    /// @param request the request's fingerprint
    /// @param attempt the caller's id of this attempt
    /// @param now the current time
    void on_broken(const std::string& replica,
                   base::fingerprint request,
                   const std::string& attempt,
                   base::time_point now);

    /// @brief Takes the outcome of a health check.
    /// @param replica the replica's id
    /// @param has_answered whether the replica answered
    /// @param asked_at when the check was sent; what broke later stays open
    /// @param now the current time
    /// @return the requests that are now known to have crashed the replica
    std::vector<base::fingerprint> on_check(const std::string& replica,
                                            bool has_answered,
                                            base::time_point asked_at,
                                            base::time_point now);

    /// @brief Tells whether a check of the replica would settle a suspicion.
    [[nodiscard]] bool has_suspicion(const std::string& replica) const;

    /// @brief Attempts of a request that crashed replicas.
    [[nodiscard]] std::uint32_t attempts_of(base::fingerprint request,
                                            base::time_point now) const;

    /// @brief True when no request has crashed a replica lately.
    [[nodiscard]] bool is_empty() const
    {
        return this->ledger.is_empty();
    }

    /// @brief Takes what another node knows.
    void merge(const std::vector<messages::crash_record>& records,
               base::time_point now);

    /// @brief What other nodes should know: the newest records.
    [[nodiscard]] std::vector<messages::crash_record>
    to_tell(base::time_point now) const;

    /// @brief Drops what no longer counts.
    void expire(base::time_point now);

  private:
    struct suspicion
    {
        base::fingerprint request = 0;
        std::uint64_t attempt = 0;
        base::time_point broke_at{};
    };

    quarantine::crash_ledger ledger;
    std::map<std::string, std::vector<suspicion>> suspicions;
};

} // namespace hawthornrelay::core::relay
