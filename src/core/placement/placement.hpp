/// @file
/// @brief Assigns holders to shares, as a function of the member list alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <core/base/ids.hpp>
#include <core/config/document.hpp>
#include <core/membership/member.hpp>

namespace hawthornrelay::core::placement
{

/// @brief The holders of one service's replicas, by replica index. An empty
///        name means that there is no eligible node.
using holders = std::vector<base::node_id>;

/// @brief Members indexed by zone, so that most choices scan one zone only.
class member_index
{
  public:
    /// @brief Indexes members.
    /// @param members the members that may hold shares
    explicit member_index(const std::vector<membership::member>& members);

    member_index(const member_index&) = delete;
    member_index& operator=(const member_index&) = delete;

    /// @brief Chooses the member with the highest rendezvous hash. Prefers
    ///        unused members of the zone, then unused members of any zone.
    /// @param zone the preferred zone
    /// @param seed the hash of the share
    /// @param used holders to avoid
    /// @return the member, or nullptr when there is none
    /// @complexity members of the zone, or all members when it has none free
    [[nodiscard]] const membership::member* best(const std::string& zone,
                                                 std::uint64_t seed,
                                                 const holders& used) const;

  private:
    std::vector<membership::member> members;
    std::vector<const membership::member*> all_members;
    std::map<std::string, std::vector<const membership::member*>> by_zone;
};

/// @brief Chooses a holder for each replica of a service.
///
/// Uses rendezvous hashing. Prefers a member in the replica's zone, and a
/// different holder for each replica while there are enough members.
///
/// @param name the service's name
/// @param target the service
/// @param members the members that may hold shares
/// @return the holders by replica index
/// @complexity replicas times members of a zone
holders holders_of(std::string_view name,
                   const config::service& target,
                   const member_index& members);

/// @brief Ranks members by rendezvous hash, without regard to zones.
/// @param name the key to place, such as a customer
/// @param members the members that may hold it
/// @param count how many to return
/// @return the best members, best first, at most @p count
/// @complexity members times log(members)
std::vector<base::node_id>
ranked(std::string_view name,
       const std::vector<membership::member>& members,
       std::size_t count);

} // namespace hawthornrelay::core::placement
