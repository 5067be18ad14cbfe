/// @file
/// @brief Helpers for TCP sockets.
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <core/base/result.hpp>

namespace hawthornrelay::adapters::asio
{

/// @brief Binds an acceptor and listens.
/// @param acceptor the acceptor, not open yet
/// @param ip the IP address to listen on
/// @param port the port, 0 for any free one
/// @return nothing, or connect_failed with the reason
core::base::result<void> open_listener(boost::asio::ip::tcp::acceptor& acceptor,
                                       const std::string& ip,
                                       std::uint16_t port);

/// @brief Parses `ip:port`.
/// @param address the text
/// @return the endpoint, or connect_failed
core::base::result<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address);

/// @brief Sends small messages without delay (TCP_NODELAY). Errors are ignored:
///        the next write reports a broken connection.
/// @param socket a connected socket
void disable_nagle(boost::asio::ip::tcp::socket& socket);

/// @brief Closes a socket in any state; ignores errors.
/// @param socket the socket
void close_quietly(boost::asio::ip::tcp::socket& socket);

} // namespace hawthornrelay::adapters::asio
