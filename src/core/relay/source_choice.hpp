/// @file
/// @brief Chooses whether a node reads the store itself or follows another.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <core/relay/node_directory.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Two nodes, in different zones where there are, read the store; the
///        others follow them, so that calls of the store do not grow with the
///        fleet. Any node reads the store itself when no reader is up to date.
/// @param self this node
/// @param may_read_store false while the store does not answer this node
/// @param heard other nodes that run, with the age of what they know
/// @param following the node that is followed now, or empty
/// @return the name of the node to follow, or nothing to read the store
std::optional<std::string> choose_source(const node_record& self,
                                         bool may_read_store,
                                         const std::vector<node_record>& heard,
                                         const std::string& following);

} // namespace hawthornrelay::core::relay
