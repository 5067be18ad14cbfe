/// @file
/// @brief HTTP requests and responses, independent of Boost.Beast.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornrelay::adapters::http
{

/// @brief Header fields by lower-case name.
using header_map = std::map<std::string, std::string, std::less<>>;

/// @brief Header fields in the order and with the names that were received.
using field_list = std::vector<std::pair<std::string, std::string>>;

/// @brief An HTTP request.
struct request
{
    std::string method = "GET";
    std::string target = "/"; ///< path and query
    header_map headers;
    std::string body;
    /// For a client: a response without the request's x-request-id is refused
    /// once the server has repeated one on the connection.
    bool requires_id = false;

    // Set only on requests that a server received.
    field_list fields; ///< all header fields, unchanged
    /// Id for server_handlers::on_caller_disconnected.
    std::uint64_t exchange = 0;
    std::string caller;                      ///< IP address of the caller
    std::chrono::microseconds round_trip{0}; ///< to the caller; 0 if unknown
};

/// @brief An HTTP response.
struct response
{
    unsigned status = 200;
    header_map headers;
    std::string content_type = "application/json"; ///< not sent if empty
    std::string body;
    field_list fields; ///< additional header fields, sent unchanged
};

/// @brief Looks up a header field.
/// @param headers the header fields
/// @param name the lower-case name
/// @return the value, empty when absent
inline std::string_view header(const header_map& headers, std::string_view name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view() : it->second;
}

/// @brief Tells whether a number is a status of HTTP (RFC 9110, section 15);
///        the parser accepts any three digits.
/// @param number the number in a response's status line
/// @return true from 100 to 599
inline bool is_status(unsigned number)
{
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    return number >= first_status && number <= last_status;
}

} // namespace hawthornrelay::adapters::http
