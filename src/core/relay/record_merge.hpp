/// @file
/// @brief Merges the records of several shards into one answer.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornrelay::core::relay
{

/// @brief Length of one record in bytes.
constexpr std::size_t record_bytes = 16;

/// @brief Selects the greatest records of several parts, greatest first.
/// @param parts bodies of whole records in any order; a remainder shorter
///        than a record is ignored
/// @param limit the number of records to keep
/// @return the records, concatenated; duplicates are kept
std::string top_records(const std::vector<std::string_view>& parts,
                        std::size_t limit);

} // namespace hawthornrelay::core::relay
