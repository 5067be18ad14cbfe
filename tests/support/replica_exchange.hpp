/// @file
/// @brief A connection to a scripted replica.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include <adapters/relay/replica_connection.hpp>
#include <support/scripted_server.hpp>

namespace hawthornrelay::tests::support
{

/// @brief Sends requests over one connection to a scripted replica.
struct replica_exchange
{
    explicit replica_exchange(
        scripted_server::script script,
        std::shared_ptr<core::relay::answer_memory> memory =
            std::make_shared<core::relay::answer_memory>(16U << 20U))
        : server(io, std::move(script)), memory(std::move(memory)),
          link(std::make_shared<adapters::relay::replica_connection>(
              io,
              this->memory,
              [this](const adapters::relay::replica_connection*)
              {
                  this->is_closed = true;
              }))
    {
        this->link->connect(this->server.endpoint());
    }

    ~replica_exchange()
    {
        this->link->abort();
    }

    replica_exchange(const replica_exchange&) = delete;
    replica_exchange& operator=(const replica_exchange&) = delete;

    /// Sends a request; the result is `abandoned` if there is no outcome.
    ports::send_outcome
    send(const std::string& id,
         std::chrono::milliseconds time = std::chrono::milliseconds(400))
    {
        auto message = std::make_shared<ports::forwarded_request>();
        message->id = id;
        message->method = "GET";
        message->target = "/x";
        message->host = "h.example";
        ports::send_outcome outcome;
        outcome.result = core::relay::send_result::abandoned;
        bool is_done = false;
        adapters::relay::replica_connection::job work;
        work.request = message;
        work.deadline = std::chrono::steady_clock::now() + time;
        work.expected_replica = "r-1";
        work.done = [&](const ports::send_outcome& result)
        {
            outcome = result;
            is_done = true;
        };
        this->link->start(std::move(work));
        const auto until = std::chrono::steady_clock::now() + time;
        while (!is_done && std::chrono::steady_clock::now() < until)
        {
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
        return outcome;
    }

    boost::asio::io_context io;
    scripted_server server;
    bool is_closed = false;
    std::shared_ptr<core::relay::answer_memory> memory;
    std::shared_ptr<adapters::relay::replica_connection> link;
};

} // namespace hawthornrelay::tests::support
