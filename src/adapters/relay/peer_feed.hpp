/// @file
/// @brief Serves this node's mirror of the store to other nodes, and reads
///        the mirrors of others.
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
#include <core/relay/store_follower.hpp>
#include <core/relay/store_mirror.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Answers list and watch requests of other nodes.
class peer_feed
{
  public:
    /// @brief Takes the mirror to serve; the references must outlive this
    ///        object.
    /// @param runtime the clock
    /// @param mirror the mirror
    /// @param follower keeps the mirror up to date, and tells its age
    peer_feed(ports::runtime& runtime,
              const core::relay::store_mirror& mirror,
              const core::relay::store_follower& follower);

    /// @brief Handles one request of another node; a watch without changes is
    ///        answered later.
    void handle(const http::request& message, const http::responder& respond);

    /// @brief Answers the pending watches. Call it after changes of the mirror.
    void on_change();

  private:
    struct pending_watch
    {
        ports::store_position after;
        http::responder respond;
    };

    void answer(const pending_watch& watch);
    [[nodiscard]] http::response listing(const std::string& after);
    /// Adds the age of the mirror to a response.
    [[nodiscard]] http::response with_age(http::response reply) const;

    ports::runtime& runtime;
    const core::relay::store_mirror& mirror;
    const core::relay::store_follower& follower;
    std::map<std::uint64_t, pending_watch> pending;
    std::uint64_t next_watch_id = 1;
    /// Encoded pages by the key that they begin after, cached since many
    /// starting nodes ask for the same ones.
    std::map<std::string, std::string> cached_pages;
    ports::store_position cached_position;
};

/// @brief Reads the mirror of another node.
class peer_reader final : public ports::metadata_reader
{
  public:
    /// @brief Creates a reader; the connection is opened by the first call.
    /// @param io the context to run on; it must outlive this object
    /// @param address `ip:port` of the other node's feed
    peer_reader(boost::asio::io_context& io, std::string address);

    [[nodiscard]] bool is_copy() const override
    {
        return true;
    }

    void list(const std::string& after,
              ports::store_handler<ports::store_page> done) override;
    void watch(const ports::store_position& after,
               std::chrono::milliseconds wait,
               ports::store_handler<ports::store_page> done) override;

  private:
    void call(std::string target,
              std::chrono::milliseconds wait,
              ports::store_handler<ports::store_page> done);

    boost::asio::io_context& io;
    std::string address;
    std::shared_ptr<http::connection> connection;
};

} // namespace hawthornrelay::adapters::relay
