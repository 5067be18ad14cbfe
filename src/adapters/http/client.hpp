/// @file
/// @brief HTTP client connections on Boost.Beast.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <adapters/http/message.hpp>
#include <core/base/result.hpp>
#include <core/relay/answer_memory.hpp>

namespace hawthornrelay::adapters::http
{

/// @brief A client connection for one request at a time.
class connection
{
  public:
    /// @brief Receives the response, or connect_failed (nothing was sent),
    ///        target_lost (the connection failed after the request may have
    ///        been sent) or outcome_unknown (no response in time).
    using handler = std::function<void(core::base::result<response>)>;

    /// @brief Creates a connection; the first request opens it.
    /// @param io the context to run on
    /// @param address `ip:port` of the server
    /// @param memory limits the responses of several connections together while
    ///        they are received; nullptr to limit each by itself only
    /// @return the connection
    static std::shared_ptr<connection>
    create(boost::asio::io_context& io,
           const std::string& address,
           std::shared_ptr<core::relay::answer_memory> memory = nullptr);

    connection() = default;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    virtual ~connection() = default;

    /// @brief Sends a request. The previous request must have completed.
    /// @param message the request
    /// @param timeout the longest time to wait, including to connect
    /// @param done receives the outcome, exactly once
    virtual void
    send(request message, std::chrono::microseconds timeout, handler done) = 0;

    /// @brief Tells whether the connection can carry another request.
    [[nodiscard]] virtual bool is_open() const = 0;

    /// @brief Closes the connection; a pending request ends with target_lost.
    virtual void close() = 0;
};

/// @brief Sends one request on a new connection and blocks until it completes.
/// @param address `ip:port` of the server
/// @param message the request
/// @param timeout the longest time to wait
/// @return the response, or an error as for connection::handler
core::base::result<response> fetch(const std::string& address,
                                   request message,
                                   std::chrono::microseconds timeout);

} // namespace hawthornrelay::adapters::http
