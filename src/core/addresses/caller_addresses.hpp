/// @file
/// @brief Selection of the node addresses that a caller should use.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/config/document.hpp>
#include <core/placement/routing_table.hpp>

namespace hawthornrelay::core::addresses
{

/// @brief The addresses that a caller should use, and for how long.
struct address_answer
{
    std::vector<std::string> addresses; ///< `ip:port`, best first
    base::duration time_to_live{};
};

/// @brief Addresses beyond the customer's home nodes, as a fallback when these
///        fail.
constexpr std::size_t spare_addresses = 1;

/// @brief Chooses the customer's home nodes, then spare nodes.
/// @param routes the routing table in force
/// @param customer the customer
/// @param plan its plan
/// @param time_to_live how long a caller may keep the answer
/// @param is_stopping tells which nodes will exit; they are excluded
/// @return the addresses; empty when no member serves callers
address_answer
addresses_for(const placement::routing_table& routes,
              const std::string& customer,
              const config::plan& plan,
              base::duration time_to_live,
              const std::function<bool(const base::node_id&)>& is_stopping);

} // namespace hawthornrelay::core::addresses
