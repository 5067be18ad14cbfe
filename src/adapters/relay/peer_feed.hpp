/// @file
/// @brief Serves this node's mirror of the store to other nodes, and reads
///        those of others.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <adapters/http/client.hpp>
#include <adapters/http/server.hpp>
#include <core/relay/store_mirror.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Answers listings and watches of other nodes.
class peer_feed
{
  public:
    /// @brief Attaches to a mirror.
    peer_feed(ports::runtime& runtime, const core::relay::store_mirror& mirror);

    /// @brief Handles one request of another node.
    void handle(const http::request& message, const http::responder& respond);

    /// @brief Answers the watches that wait; call it after changes.
    void on_change();

  private:
    struct waiter
    {
        std::uint64_t after = 0;
        http::responder respond;
    };

    void answer(const waiter& waiting);
    [[nodiscard]] http::response listing();

    ports::runtime& runtime;
    const core::relay::store_mirror& mirror;
    std::map<std::uint64_t, waiter> waiting;
    std::uint64_t next_waiter = 1;
    /// The last listing as it was sent; many nodes that start ask for the same.
    std::string listing_body;
    std::uint64_t listing_revision = 0;
};

/// @brief Reads the mirror of another node.
class peer_reader final : public ports::metadata_reader
{
  public:
    /// @brief Sets the node to read from.
    /// @param io the context to run on
    /// @param address `ip:port` of the other node's feed
    peer_reader(boost::asio::io_context& io, std::string address);

    void list(const std::string& after,
              ports::store_handler<ports::store_page> done) override;
    void watch(std::uint64_t after,
               std::chrono::milliseconds wait,
               ports::store_handler<ports::store_page> done) override;

  private:
    void call(std::string target,
              std::chrono::milliseconds timeout,
              ports::store_handler<ports::store_page> done);

    boost::asio::io_context& io;
    std::string address;
    std::shared_ptr<http::connection> link;
};

} // namespace hawthornrelay::adapters::relay
