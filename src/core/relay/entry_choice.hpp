/// @file
/// @brief Chooses the nodes that callers are told to use.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <core/relay/node_directory.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Entries that a caller should use: those of its zone and one of
///        another, in turn; all if its zone has fewer than two.
/// @param usable the entries that may be used
/// @param caller_zone the caller's availability zone; may be unknown
/// @param turn a number that grows with each answer
std::vector<node_record> choose_entries(const std::vector<node_record>& usable,
                                        const std::string& caller_zone,
                                        std::size_t turn);

} // namespace hawthornrelay::core::relay
