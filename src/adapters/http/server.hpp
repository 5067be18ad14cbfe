/// @file
/// @brief An HTTP server on Boost.Beast.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <adapters/http/client_charge.hpp>
#include <adapters/http/message.hpp>
#include <core/base/result.hpp>

namespace hawthornrelay::adapters::http
{

/// @brief Limits on what a server accepts.
struct server_limits
{
    std::uint64_t body_bytes = 1U << 20U;
    std::uint32_t header_bytes = 16U << 10U;
    std::size_t connections = 4096;
    /// Timeout between requests, for each read of a body and to send a
    /// response.
    std::chrono::milliseconds idle{60'000};
    /// Timeout from a request's first byte to the end of its header.
    std::chrono::milliseconds header{10'000};
};

/// @brief How a server charges its connections; by default not at all.
struct server_accounting
{
    /// Shared by the servers of a process.
    client_charge::budget_ptr budget;
    /// The connections are charged, but never refused or closed for others.
    bool is_protected = false;
};

/// @brief Sends the response to one request; called at most once. A status of
///        0 closes the connection without a response.
using responder = std::function<void(response)>;

/// @brief Callbacks of a server.
struct server_handlers
{
    /// Handles one request.
    std::function<void(request, responder)> on_request;
    /// Builds the response to input that is malformed, too large or late.
    std::function<response(core::base::result_code, const std::string&)>
        on_bad_input;
    /// Returns how long to delay the first read of a new connection.
    std::function<std::chrono::milliseconds()> accept_delay;
    /// Called when a caller disconnects before the response; the request's
    /// responder then has no effect.
    std::function<void(std::uint64_t exchange)> on_caller_disconnected;
    /// Called when a connection was closed for an exception.
    std::function<void(const std::string& what)> on_exception;
};

/// @brief An HTTP server that handles one request at a time per connection.
class server
{
  public:
    /// @brief Starts listening.
    /// @param io the context to run on
    /// @param address the IP address to listen on
    /// @param port the port, 0 for any free one
    /// @param handlers the callbacks
    /// @param limits the limits
    /// @param accounting the account that connections are charged to
    /// @return the server, or connect_failed when the address cannot be used
    static core::base::result<std::unique_ptr<server>>
    listen(boost::asio::io_context& io,
           const std::string& address,
           std::uint16_t port,
           server_handlers handlers,
           server_limits limits,
           server_accounting accounting = {});

    server(const server&) = delete;
    server& operator=(const server&) = delete;
    virtual ~server() = default;

    /// @brief The port that the server listens on.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// @brief Number of open connections.
    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// @brief Changes the limits for later requests.
    virtual void set_limits(server_limits limits) = 0;

    /// @brief Closes each connection after its next response.
    virtual void drain() = 0;

    /// @brief Closes the listener and the connections without a request. A
    ///        request that has arrived is answered, also on a connection that
    ///        was not accepted yet.
    virtual void close_idle() = 0;

    /// @brief Number of connections with a request in progress.
    [[nodiscard]] virtual std::size_t active_connections() const = 0;

    /// @brief Closes the listener and every connection.
    virtual void close() = 0;

  protected:
    server() = default;
};

} // namespace hawthornrelay::adapters::http
