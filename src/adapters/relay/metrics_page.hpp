/// @file
/// @brief The metrics of a relay process as text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <core/relay/relay_counters.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Writes all counters and histograms.
/// @param engine counters of the request engine
/// @param pool counters of the connections
/// @param active requests without an answer
/// @param dropped_lines log lines that were dropped
std::string write_metrics(const core::relay::relay_counters& engine,
                          const core::relay::relay_counters& pool,
                          std::size_t active,
                          std::uint64_t dropped_lines);

} // namespace hawthornrelay::adapters::relay
