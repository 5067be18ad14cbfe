/// @file
/// @brief Parser of this program's log lines.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornrelay::core::timeline
{

/// @brief A parsed log line.
struct log_line
{
    std::chrono::sys_time<std::chrono::microseconds> time;
    std::string event; ///< name of the log event
    std::string node;
    std::vector<std::pair<std::string, std::string>> fields; ///< except node

    /// @brief Returns the value of a field.
    /// @param name the field's name, not node
    /// @return the value, empty when the field is absent
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// @brief Parses a log line.
/// @param text the line; text before its timestamp is skipped
/// @return the line, or nothing when the text is not a log line
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace hawthornrelay::core::timeline
