/// @file
/// @brief An HTTP server on Boost.Beast.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <adapters/http/message.hpp>
#include <core/base/result.hpp>

namespace hawthornrelay::adapters::http
{

/// @brief Bounds on what a server accepts.
struct server_limits
{
    std::uint64_t body_bytes = 1U << 20U;
    std::uint32_t header_bytes = 16U << 10U;
    std::size_t connections = 4096;
    std::chrono::milliseconds idle{60'000};
    /// From a request's first byte to the end of its header.
    std::chrono::milliseconds header{10'000};
};

/// @brief Sends the response of one request; called at most once. A status of
///        0 closes the connection without a response.
using responder = std::function<void(response)>;

/// @brief What a server calls for each request and for each refused one.
struct server_handlers
{
    /// Handles one request.
    std::function<void(request, responder)> on_request;
    /// Builds the response to input that is not HTTP, or too large.
    std::function<response(core::base::result_code, const std::string&)>
        on_bad_input;
    /// Called before each accepted connection is read; may delay it.
    std::function<std::chrono::milliseconds()> accept_delay;
    /// Tells that the caller of a request closed its connection before the
    /// response; the responder does nothing then.
    std::function<void(std::uint64_t exchange)> on_caller_gone;
};

/// @brief Accepts connections and serves one request at a time on each.
class server
{
  public:
    /// @brief Starts listening.
    /// @param io the context to run on
    /// @param address the IP address to listen on
    /// @param port the port, 0 for any free one
    /// @param handlers what to call
    /// @param limits the bounds
    /// @return the server, or connect_failed when the address cannot be used
    static core::base::result<std::unique_ptr<server>>
    listen(boost::asio::io_context& io,
           const std::string& address,
           std::uint16_t port,
           server_handlers handlers,
           server_limits limits);

    server(const server&) = delete;
    server& operator=(const server&) = delete;
    virtual ~server() = default;

    /// @brief The port in use.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// @brief Open connections.
    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// @brief Changes the bounds for later requests.
    virtual void set_limits(server_limits limits) = 0;

    /// @brief Lets each connection end with its next response.
    virtual void drain() = 0;

    /// @brief Closes the listener and connections that carry no request.
    virtual void close_idle() = 0;

    /// @brief Requests that wait for their response or are being received.
    [[nodiscard]] virtual std::size_t busy() const = 0;

    /// @brief Closes the listener and every connection.
    virtual void close() = 0;

  protected:
    server() = default;
};

} // namespace hawthornrelay::adapters::http
