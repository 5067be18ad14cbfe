/// @file
/// @brief The metrics page of a relay process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <core/relay/relay_counters.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Writes all counters and histograms in the Prometheus text format.
/// @param engine counters of the request engine
/// @param pool counters of the connection pool
/// @param active requests in flight
/// @param dropped_lines log lines dropped since the start
std::string write_metrics(const core::relay::relay_counters& engine,
                          const core::relay::relay_counters& pool,
                          std::size_t active,
                          std::uint64_t dropped_lines);

} // namespace hawthornrelay::adapters::relay
