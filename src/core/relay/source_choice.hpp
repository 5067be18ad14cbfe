/// @file
/// @brief Decides whether a node reads the store or follows another node.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <core/relay/node_directory.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Chooses the source of a node's copy of the store. Two nodes, in
///        different zones if possible, read the store; the others follow them,
///        so that the store's load does not grow with the fleet. A node reads
///        the store itself if no reader is up to date.
/// @param self this node
/// @param may_read_store false while the store does not answer this node
/// @param others other running nodes with the age of their copy
/// @param current_source name of the node followed so far, or empty
/// @return the name of the node to follow, or nullopt to read the store
std::optional<std::string> choose_source(const node_record& self,
                                         bool may_read_store,
                                         const std::vector<node_record>& others,
                                         const std::string& current_source);

} // namespace hawthornrelay::core::relay
