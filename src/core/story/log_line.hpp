/// @file
/// @brief Reads back the lines that the process logs.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornrelay::core::story
{

/// @brief One line of the log.
struct log_line
{
    std::chrono::sys_time<std::chrono::microseconds> time;
    std::string event; ///< its name
    std::string node;
    std::vector<std::pair<std::string, std::string>> fields; ///< the others

    /// @brief A field's value, empty when absent.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// @brief Reads a line.
/// @param text the line; whatever stands before its time is passed over
/// @return the line, or nothing when it is no line of this log
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace hawthornrelay::core::story
