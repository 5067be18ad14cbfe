/// @file
/// @brief HTTP client for targets.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <adapters/http/client.hpp>
#include <ports/runtime.hpp>
#include <ports/targets.hpp>

namespace hawthornrelay::adapters::target
{

/// @brief Sends work to targets over pooled HTTP connections.
///
/// `POST /work` runs a request. It has the headers x-request-id,
/// x-time-left-us, x-version and x-request-key; the response has x-code,
/// x-version, x-oldest, x-newest, x-run and x-cold, and should repeat
/// x-request-id, which identifies late duplicates. `POST /cancel` cancels the
/// request named in x-request-id.
class http_targets final : public ports::targets
{
  public:
    /// @brief Creates an empty pool.
    /// @param io the context to run on
    /// @param runtime the clock
    http_targets(boost::asio::io_context& io, ports::runtime& runtime);

    void send(const ports::target_request& request,
              reply_handler handler) override;
    void cancel(std::uint64_t id) override;

  private:
    struct pool
    {
        std::vector<std::shared_ptr<http::connection>> idle;
        std::shared_ptr<http::connection> cancel_connection;
        std::deque<std::uint64_t> pending_cancels;
        bool is_cancelling = false;
    };

    void on_response(std::uint64_t id,
                     const std::string& address,
                     const std::shared_ptr<http::connection>& connection,
                     core::base::result<http::response> answer,
                     const reply_handler& handler);
    void send_next_cancel(const std::string& address);

    boost::asio::io_context& io;
    ports::runtime& runtime;
    std::shared_ptr<core::relay::answer_memory> memory; ///< of all replies
    std::map<std::string, pool> pools;
    std::map<std::uint64_t, std::string> in_flight; ///< id to address
    std::string request_id_prefix; ///< random; separates processes
};

/// @brief Extra time to wait for a response after the request's deadline.
constexpr std::chrono::milliseconds answer_grace{250};

} // namespace hawthornrelay::adapters::target
