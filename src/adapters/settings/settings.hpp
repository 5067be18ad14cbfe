/// @file
/// @brief Parses and validates a node's settings file.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <core/base/log_event.hpp>
#include <core/base/result.hpp>

namespace hawthornrelay::adapters::settings
{

/// @brief An IP address and a port.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    /// @brief Formats the endpoint as `ip:port`.
    [[nodiscard]] std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

/// @brief The settings of a node, with their defaults.
struct settings
{
    std::string node_name;
    std::string zone;
    std::string vm;
    endpoint callers;
    endpoint peers;
    endpoint platform;
    std::string cluster_secret;
    std::vector<std::string> seeds;
    std::string operator_key_sha256;
    core::base::log_level level = core::base::log_level::info;
    std::uint32_t decision_sample = 1; ///< logs one debug line in this many
    std::chrono::milliseconds address_time_to_live{3000};
    std::chrono::milliseconds max_stop_time{30'000};
    std::uint64_t body_bytes = 256U << 10U;
};

/// @brief One error in a settings file.
struct settings_error
{
    core::base::result_code code = core::base::result_code::settings_invalid;
    std::size_t line = 0;   ///< from 1; 0 for an error of the whole file
    std::size_t column = 0; ///< from 1
    std::string message;
};

/// @brief A settings file's contents and all of its errors.
struct settings_result
{
    settings value;
    std::vector<settings_error> errors; ///< empty for a valid file
};

/// @brief Parses and validates settings.
/// @param yaml the file's text
/// @return the settings and every error found
settings_result parse_settings(std::string_view yaml);

/// @brief Reads, parses and validates a settings file.
/// @param path the file
/// @return the settings and every error found; settings_unreadable if the
///         file cannot be opened
settings_result load_settings(const std::string& path);

/// @brief Formats an error as
///        `file:line:column: error NUMBER NAME: MESSAGE`.
/// @param path the file
/// @param error the error
/// @return one line without a line break; line and column are left out for an
///         error of the whole file
std::string format_error(const std::string& path, const settings_error& error);

} // namespace hawthornrelay::adapters::settings
