/// @file
/// @brief Load balancing over replicas by the load that their replies report.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/messages.hpp>
#include <core/placement/routing_table.hpp>

namespace hawthornrelay::core::query
{

/// @brief Tracks each replica's load and index versions, and chooses among the
///        replicas of a service.
class replica_view
{
  public:
    /// @brief Records an attempt sent to a replica.
    /// @param id the replica
    void sent(const base::replica_id& id);

    /// @brief Records the end of an attempt.
    /// @param id the replica
    void ended(const base::replica_id& id);

    /// @brief Records the load and versions that a reply reports.
    /// @param id the replica
    /// @param result the reply
    /// @param now the current time
    void report(const base::replica_id& id,
                const messages::work_result& result,
                base::time_point now);

    /// @brief Prefers other replicas to this one for a while.
    /// @param id the replica
    /// @param until when the preference ends
    void avoid(const base::replica_id& id, base::time_point until);

    /// @brief Chooses the replica with the lowest expected load. Replicas that
    ///        lack the version, are avoided or are unreachable come last.
    /// @param routes the service's replicas
    /// @param excluded replica indexes that must not be chosen
    /// @param version the index version needed; 0 for any
    /// @param now the current time
    /// @param is_reachable tells whether a holder can be reached
    /// @return the route, or nullptr when every replica is excluded, out of
    ///         service or without a holder
    [[nodiscard]] const placement::route*
    choose(const std::vector<placement::route>& routes,
           const std::set<std::uint32_t>& excluded,
           base::index_version version,
           base::time_point now,
           const std::function<bool(const base::node_id&)>& is_reachable);

    /// @brief The newest index version that any replica of a service serves.
    /// @param routes the service's replicas
    /// @return the version, 0 when none is known
    [[nodiscard]] base::index_version
    newest_version(const std::vector<placement::route>& routes) const;

    /// @brief The shortest expected wait among a service's replicas.
    /// @param routes the service's replicas
    /// @param now the current time
    /// @return the wait, zero when nothing is known
    [[nodiscard]] base::duration
    min_wait(const std::vector<placement::route>& routes,
             base::time_point now) const;

  private:
    struct replica_state
    {
        base::duration wait{};
        base::time_point last_report;
        base::time_point avoid_until;
        std::uint32_t busy = 0;
        std::uint32_t limit = 1;
        std::uint32_t outstanding = 0;
        base::index_version oldest = 0;
        base::index_version newest = 0;
    };

    [[nodiscard]] static double expected_load(const replica_state& replica,
                                              base::time_point now);

    std::map<base::replica_id, replica_state> replicas;
    std::uint32_t rotation = 0;
};

} // namespace hawthornrelay::core::query
