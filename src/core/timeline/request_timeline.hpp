/// @file
/// @brief Reconstruction of one request's timeline from log lines.
#pragma once

#include <string>
#include <vector>

#include <core/timeline/log_line.hpp>

namespace hawthornrelay::core::timeline
{

/// @brief The timeline of a request.
struct request_timeline
{
    std::vector<log_line> steps; ///< lines of the request, ordered by time
    /// Recent lines of the same node, up to the end of the request, that
    /// concern the node or the request's replicas; only the latest one of each
    /// event and replica.
    std::vector<log_line> background;
    std::string cause; ///< of the outcome, in one sentence
};

/// @brief Collects the lines of one request and determines the cause of its
///        outcome.
/// @param lines log lines of any nodes, in any order
/// @param id the request's id
/// @return the timeline; without steps when no line contains the id
request_timeline build_timeline(const std::vector<log_line>& lines,
                                const std::string& id);

/// @brief Formats a timeline as text for operators.
/// @param timeline the timeline
/// @param id the request's id
/// @return the text, several lines
std::string format_timeline(const request_timeline& timeline,
                            const std::string& id);

} // namespace hawthornrelay::core::timeline
