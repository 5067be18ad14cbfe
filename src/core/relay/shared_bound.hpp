/// @file
/// @brief Splits a bound on whole requests over the nodes that share it.
#pragma once

#include <cstddef>

namespace hawthornrelay::core::relay
{

/// @brief How many nodes share a bound, and which of them this one is.
struct bound_share
{
    std::size_t nodes = 1; ///< number of nodes, this one included; at least 1
    std::size_t rank = 0;  ///< position of this node, 0 for the first
};

/// @brief A node's part of a bound.
///
/// The parts of all ranks add up to the bound. A node that counts more nodes
/// than another one never gets a larger part for it.
/// @param units the bound, in whole requests
/// @param share the nodes that share it
/// @return whole requests; 0 for a rank at or above the bound
[[nodiscard]] constexpr std::size_t part_of(std::size_t units,
                                            const bound_share& share)
{
    return share.rank < units
               ? (units - share.rank + share.nodes - 1) / share.nodes
               : 0;
}

} // namespace hawthornrelay::core::relay
