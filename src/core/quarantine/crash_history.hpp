/// @file
/// @brief Quarantine of requests that crash the targets that run them.
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

/// @brief Parameters of the quarantine.
struct quarantine_limits
{
    /// Crashes after which a request is refused on every replica.
    std::uint32_t crashes_to_refuse = 2;
    /// How long a crash counts against its request.
    base::duration record_lifetime = std::chrono::seconds(120);
    /// How long a crashed replica counts as unhealthy.
    base::duration unhealthy_period = std::chrono::seconds(10);
    /// Maximum number of records; further crashes are ignored until older
    /// records expire.
    std::size_t capacity = 4096;
};

/// @brief Crashes that this node has seen or that peers have reported.
///
/// Records are deduplicated by their event number, because a crash may be
/// reported several times and by several peers.
class crash_history
{
  public:
    /// @brief Creates an empty history.
    /// @param limits the parameters
    explicit crash_history(quarantine_limits limits);

    /// @brief Records a crash.
    /// @param crash the crash; its age is relative to @p now
    /// @param now the current time
    /// @return true when it was added; false when it is known, has expired or
    ///         does not fit
    bool record(const messages::crash_record& crash, base::time_point now);

    /// @brief Tells whether a request must not go to a replica.
    /// @param request the request's fingerprint
    /// @param replica the replica it would go to
    /// @param siblings every replica of the service
    /// @param now the current time
    /// @return true after crashes_to_refuse crashes, or after one when the
    ///         replica crashed recently or is the service's last healthy one
    /// @complexity logarithmic for a request without crashes
    [[nodiscard]] bool
    must_refuse(base::fingerprint request,
                const base::replica_id& replica,
                const std::vector<placement::route>& siblings,
                base::time_point now) const;

    /// @brief All records, for a peer.
    /// @param now the current time
    /// @return the records with their current ages
    [[nodiscard]] std::vector<messages::crash_record>
    current(base::time_point now) const;

    /// @brief Removes expired records.
    /// @param now the current time
    void expire(base::time_point now);

  private:
    struct known_crash
    {
        messages::crash_record crash;
        base::time_point happened_at;
    };

    [[nodiscard]] std::uint32_t
    count_recent_crashes(base::fingerprint request, base::time_point now) const;
    [[nodiscard]] bool is_healthy(const base::replica_id& replica,
                                  base::time_point now) const;

    quarantine_limits limits;
    std::map<std::uint64_t, known_crash> by_event;
    std::multimap<base::fingerprint, std::uint64_t> by_request;
    std::map<base::replica_id, base::time_point> last_crash;
};

} // namespace hawthornrelay::core::quarantine
