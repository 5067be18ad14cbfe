/// @file
/// @brief Division of a customer's plan into slices, each held by one node.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <core/base/ids.hpp>
#include <core/config/document.hpp>
#include <core/placement/routing_table.hpp>

namespace hawthornrelay::core::limits
{

/// @brief Queries per second per slice, up to max_slices.
constexpr double rate_per_slice = 250;

/// @brief Minimum number of slices, so that a customer keeps part of its plan
///        when one node fails.
constexpr std::uint32_t min_slices = 2;

/// @brief Maximum number of slices; larger plans have larger slices.
constexpr std::uint32_t max_slices = 64;

/// @brief The number of slices of a plan.
///
/// Limited so that each slice has a burst and concurrency of at least one.
///
/// @param plan the plan
/// @return the number, at least 1
inline std::uint32_t slice_count(const config::plan& plan)
{
    const auto wanted =
        std::max(min_slices,
                 static_cast<std::uint32_t>(std::min<double>(
                     std::ceil(plan.rate / rate_per_slice), max_slices)));
    return std::max<std::uint32_t>(
        1, std::min({wanted, plan.burst, plan.concurrency}));
}

/// @brief One slice's part of an integer limit; the parts add up to the whole.
/// @param whole the limit to divide
/// @param slices the number of slices
/// @param index the slice
/// @return the part
inline std::uint32_t
part_of(std::uint32_t whole, std::uint32_t slices, std::uint32_t index)
{
    return whole / slices + (index < whole % slices ? 1 : 0);
}

/// @brief Prefix of the share names of slices; no service's name has it.
constexpr std::string_view slice_prefix = "plan:";

/// @brief The share of one slice.
/// @param customer the customer
/// @param index the slice
/// @return its id in the share table
inline base::share_id slice_share(const std::string& customer,
                                  std::uint32_t index)
{
    return {std::string(slice_prefix) + customer, index};
}

/// @brief The customer a share is a slice of.
/// @param share any share
/// @return the customer, empty for a replica's share
inline std::string customer_of(const base::share_id& share)
{
    if (!share.service.starts_with(slice_prefix))
    {
        return {};
    }
    return share.service.substr(slice_prefix.size());
}

/// @brief The home nodes of a customer, one per slice; nodes repeat when there
///        are more slices than nodes.
/// @param routes the routing table in force
/// @param customer the customer
/// @param plan its plan
/// @return the holders by slice index; empty without serving members
inline std::vector<base::node_id>
home_nodes_of(const placement::routing_table& routes,
              const std::string& customer,
              const config::plan& plan)
{
    const auto slices = slice_count(plan);
    const auto nodes = routes.home_nodes_of(customer, slices);
    std::vector<base::node_id> homes;
    for (std::uint32_t i = 0; i < slices && !nodes.empty(); ++i)
    {
        homes.push_back(nodes[i % nodes.size()]);
    }
    return homes;
}

} // namespace hawthornrelay::core::limits
