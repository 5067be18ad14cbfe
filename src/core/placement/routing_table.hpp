/// @file
/// @brief Routes of sub-queries, derived from one configuration and one
///        member list.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/config/document.hpp>
#include <core/membership/member_list.hpp>
#include <core/placement/placement.hpp>

namespace hawthornrelay::core::placement
{

/// @brief One replica and the node that holds it.
struct route
{
    base::replica_id id;
    std::string address;
    std::string zone;
    base::node_id holder;      ///< empty if there is no eligible node
    bool accepts_work = false; ///< false if taken out of service
    std::uint32_t slots = 1;
    std::uint32_t connection_limit = 1;
};

/// @brief The routes of every service, and the members that serve callers.
class routing_table
{
  public:
    /// @brief Computes the table.
    /// @param contents the configuration in force
    /// @param list the member list in force
    /// @param excluded a node to exclude; empty for none
    void rebuild(const config::document& contents,
                 const membership::member_list& list,
                 const base::node_id& excluded = {});

    /// @brief The replicas of a service.
    /// @param service the service
    /// @return its routes by replica index, or nullptr for an unknown service
    [[nodiscard]] const std::vector<route>*
    find(const std::string& service) const;

    /// @brief One replica's route.
    /// @param id the replica
    /// @return the route, or nullptr
    [[nodiscard]] const route* find(const base::replica_id& id) const;

    /// @brief Every service's routes.
    /// @return the routes by service
    [[nodiscard]] const std::map<std::string, std::vector<route>>& all() const
    {
        return this->by_service;
    }

    /// @brief Members that hold shares and serve callers: active, and not
    ///        taken out of service by an operator.
    /// @return their records, ordered by name
    [[nodiscard]] const std::vector<membership::member>& serving() const
    {
        return this->members;
    }

    /// @brief The home nodes of a customer, best first.
    /// @param customer the customer
    /// @param count how many
    /// @return the nodes' names
    [[nodiscard]] std::vector<base::node_id>
    home_nodes_of(const std::string& customer, std::size_t count) const;

  private:
    std::map<std::string, std::vector<route>> by_service;
    std::vector<membership::member> members;
};

} // namespace hawthornrelay::core::placement
