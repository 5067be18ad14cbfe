/// @file
/// @brief The replicas registered in the platform's store.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/replica.hpp>
#include <core/relay/replica_health.hpp>
#include <core/relay/replica_limit.hpp>

namespace hawthornrelay::core::relay
{

/// @brief One incarnation of a replica.
struct replica
{
    replica_record record;
    replica_health health;
    base::time_point cold_until{};
    /// Set after a failed send, since the replica may have restarted. It is
    /// treated as cold until a health check succeeds.
    bool may_be_cold = false;
    base::time_point checked_at{}; ///< start of the last health check
    bool is_being_checked = false;
    bool is_removed = false; ///< its registration was removed
    bool is_leaving = false; ///< it has said so in an answer
    /// Nothing is sent to it before this time, as it asked in an answer.
    base::time_point back_off_until{};
    /// Nothing is sent to it before this time, since another replica answered
    /// at its address.
    base::time_point displaced_until{};
    /// Requests that it takes, as long as it says so in its answers.
    std::optional<replica_limit> limit;
    /// Times of recent sends, for the bound on cold replicas.
    std::deque<base::time_point> recent_sends;
};

/// @brief A replica shared by the registry and requests in flight.
using replica_ptr = std::shared_ptr<replica>;

/// @brief Tracks registrations and selects the replicas that may get requests.
class replica_registry
{
  public:
    /// @brief Applies a registration unless it is older than the known one.
    /// @return true if a replica was added, replaced or changed its draining
    ///         state
    bool put(const replica_record& record, base::time_point now);

    /// @brief Applies the removal of a registration.
    /// @param id the replica
    /// @param may_have_lapsed true if the store was unavailable recently: the
    ///        registration may be written again, so the replica is kept for a
    ///        grace period unless it is draining
    /// @return true if the replica was known
    bool
    remove(const std::string& id, bool may_have_lapsed, base::time_point now);

    /// @brief Removes a replica whose registration cannot be decoded.
    void remove_unreadable(const std::string& id, base::time_point now);

    /// @brief Removes replicas whose grace period has ended.
    /// @return the removed ids
    std::vector<std::string> expire(base::time_point now);

    /// @brief Takes an availability zone out of use or back.
    void set_zone_out(const std::string& zone, bool is_out);

    /// @brief Replicas of a service that may get new requests.
    [[nodiscard]] std::vector<replica_ptr> usable(const std::string& service,
                                                  base::time_point now) const;

    /// @brief Time until the first replica of a service that asked for a pause
    ///        may get requests again; nullopt if none did.
    [[nodiscard]] std::optional<base::duration>
    shortest_back_off(const std::string& service, base::time_point now) const;

    /// @brief Whether a service has a registered replica of another version.
    [[nodiscard]] bool has_other_version(const std::string& service,
                                         const std::string& version) const;

    /// @brief All known replicas by id, including those in their grace period.
    [[nodiscard]] const std::map<std::string, replica_ptr>& all() const
    {
        return this->replicas;
    }

  private:
    void drop(const std::string& id);
    /// Tells whether replicas of a service report how long work takes.
    [[nodiscard]] bool reports_work(const std::string& service) const;
    /// Tells whether a replica may get requests when it asks for no pause.
    [[nodiscard]] bool is_in_service(const replica& candidate,
                                     base::time_point now) const;

    std::map<std::string, replica_ptr> replicas;
    std::map<std::string, std::vector<replica_ptr>, std::less<>> by_service;
    std::map<std::string, base::time_point> pending_removals;
    std::set<std::string, std::less<>> zones_out;
};

} // namespace hawthornrelay::core::relay
