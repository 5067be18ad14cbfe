/// @file
/// @brief Tells from the log what happened to one request.
#pragma once

#include <string>
#include <vector>

#include <core/story/log_line.hpp>

namespace hawthornrelay::core::story
{

/// @brief What the log says of a request.
struct request_story
{
    std::vector<log_line> steps; ///< lines of the request, in order of time
    /// Lines of the same node before the end of the request that tell of the
    /// replicas concerned or of the node itself; the last one of each kind.
    std::vector<log_line> background;
    std::string cause; ///< one sentence
};

/// @brief Collects the lines of one request and names the cause of its outcome.
/// @param lines lines of any nodes, in any order
/// @param id the request's id
/// @return the story; without steps when no line names the request
request_story tell_story(const std::vector<log_line>& lines,
                         const std::string& id);

/// @brief Writes a story for people.
std::string write_story(const request_story& story, const std::string& id);

} // namespace hawthornrelay::core::story
