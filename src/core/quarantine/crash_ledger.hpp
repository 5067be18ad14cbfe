/// @file
/// @brief Contains requests that crash the targets that run them.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/messages.hpp>
#include <core/placement/routing_table.hpp>

namespace hawthornrelay::core::quarantine
{

/// @brief The constants of the quarantine.
struct quarantine_limits
{
    /// Crashes after which a request is refused everywhere.
    std::uint32_t crashes_to_refuse = 2;
    /// How long a crash counts against its request.
    base::duration remembered_for = std::chrono::seconds(120);
    /// How long a crashed replica counts as unhealthy.
    base::duration unhealthy_for = std::chrono::seconds(10);
    /// The most crashes remembered; the oldest are dropped first.
    std::size_t capacity = 4096;
};

/// @brief The crashes a node knows of, its own and those peers reported.
///
/// Records are merged by their event number, so that a crash counts once
/// however often and by whichever way it is reported.
class crash_ledger
{
  public:
    /// @brief Creates an empty ledger.
    /// @param limits the constants
    explicit crash_ledger(quarantine_limits limits);

    /// @brief Notes a crash.
    /// @param crash the record; its age counts back from @p now
    /// @param now the current time
    /// @return true when it was not known
    bool note(const messages::crash_record& crash, base::time_point now);

    /// @brief Tells whether a request must not go to a replica.
    /// @param request the request's fingerprint
    /// @param replica the replica it would go to
    /// @param siblings every replica of the service
    /// @param now the current time
    /// @return true after crashes_to_refuse crashes, or after one when the
    ///         replica crashed lately or is the service's last healthy one
    /// @complexity constant for a request that crashed nothing
    [[nodiscard]] bool
    must_refuse(base::fingerprint request,
                const base::replica_id& replica,
                const std::vector<placement::route>& siblings,
                base::time_point now) const;

    /// @brief The records that still count, for a peer.
    /// @param now the current time
    /// @return the records with their ages
    [[nodiscard]] std::vector<messages::crash_record>
    current(base::time_point now) const;

    /// @brief Drops records that no longer count.
    /// @param now the current time
    void expire(base::time_point now);

  private:
    struct record
    {
        messages::crash_record crash;
        base::time_point happened_at;
    };

    [[nodiscard]] std::uint32_t crashes_of(base::fingerprint request,
                                           base::time_point now) const;
    [[nodiscard]] bool is_healthy(const base::replica_id& replica,
                                  base::time_point now) const;

    quarantine_limits limits;
    std::map<std::uint64_t, record> by_event;
    std::multimap<base::fingerprint, std::uint64_t> by_request;
    std::map<base::replica_id, base::time_point> last_crash;
};

} // namespace hawthornrelay::core::quarantine
