/// @file
/// @brief Chooses the nodes that callers are told to use.
#pragma once

#include <string>
#include <vector>

#include <core/relay/node_directory.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Chooses nodes near a caller, which saves round trips and bytes
///        between zones.
/// @param usable nodes that run
/// @param caller_zone the caller's availability zone
/// @return the nodes in the caller's zone if one may fail among them, else all
std::vector<node_record> choose_entries(const std::vector<node_record>& usable,
                                        const std::string& caller_zone);

} // namespace hawthornrelay::core::relay
