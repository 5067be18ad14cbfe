/// @file
/// @brief Chooses the entries that are named to callers.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <core/relay/node_directory.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Chooses the entries that a caller should use: those of its zone and
///        one of another zone, in rotation; all if its zone has fewer than two.
/// @param usable the usable entries
/// @param caller_zone the caller's availability zone; may be unknown
/// @param rotation selects the remote entry; to be incremented on each call
std::vector<node_record> choose_entries(const std::vector<node_record>& usable,
                                        const std::string& caller_zone,
                                        std::size_t rotation);

} // namespace hawthornrelay::core::relay
