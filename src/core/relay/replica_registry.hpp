/// @file
/// @brief The replicas that the platform's store lists.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/replica.hpp>
#include <core/relay/replica_health.hpp>

namespace hawthornrelay::core::relay
{

/// @brief One replica in one incarnation.
struct replica
{
    replica_record record;
    replica_health health;
    base::time_point cold_until{};
    /// A failed send may mean that it restarted: it is taken for cold until a
    /// health check says otherwise.
    bool may_be_cold = false;
    base::time_point checked_at{}; ///< when it was last asked for its health
    bool is_being_checked = false;
    bool is_removed = false; ///< its registration is gone
    /// Until then nothing is sent to it: another replica answers at its
    /// address.
    base::time_point displaced_until{};
    /// Recent sends, for the bound on cold replicas.
    std::vector<base::time_point> recent_sends;
};

/// @brief Shared by the registry and the requests in flight.
using replica_ptr = std::shared_ptr<replica>;

/// @brief Follows the registrations and tells which replicas may get work.
class replica_registry
{
  public:
    /// @brief Takes a registration; one older than the known one is ignored.
    /// @return true if the set of replicas or a state changed
    bool put(const replica_record& record, base::time_point now);

    /// @brief Takes the removal of a registration.
    /// @param id the replica
    /// @param may_have_lapsed true if the store was away lately, so that the
    ///        entry may come back; the replica is then kept for the grace time
    /// @return true if the replica was known
    bool
    remove(const std::string& id, bool may_have_lapsed, base::time_point now);

    /// @brief Notes that an entry cannot be decoded: it names no replica.
    void put_unreadable(const std::string& id, base::time_point now);

    /// @brief Removes replicas whose grace time has ended.
    /// @return the ids that were removed
    std::vector<std::string> expire(base::time_point now);

    /// @brief Takes a zone out or back.
    void set_zone_out(const std::string& zone, bool is_out);

    /// @brief Replicas of a service that may get new work.
    [[nodiscard]] std::vector<replica_ptr> usable(const std::string& service,
                                                  base::time_point now) const;

    /// @brief All replicas that are listed.
    [[nodiscard]] const std::map<std::string, replica_ptr>& all() const
    {
        return this->replicas;
    }

  private:
    void drop(const std::string& id);

    std::map<std::string, replica_ptr> replicas;
    std::map<std::string, std::vector<replica_ptr>, std::less<>> by_service;
    std::map<std::string, base::time_point> lapsing;
    std::set<std::string, std::less<>> out;
};

} // namespace hawthornrelay::core::relay
