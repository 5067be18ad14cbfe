/// @file
/// @brief Authenticated links between nodes over TCP.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/messages.hpp>
#include <ports/event_log.hpp>
#include <ports/peers.hpp>

namespace hawthornrelay::adapters::peer
{

/// @brief Settings of a node's links.
struct link_settings
{
    core::base::node_id self;
    core::base::incarnation incarnation = 0;
    std::string secret;         ///< shared by all nodes; proves membership
    std::string listen_address; ///< IP address
    std::uint16_t listen_port = 0;
};

/// @brief Size of the largest frame accepted.
constexpr std::uint32_t max_frame_bytes = 16U << 20U;

/// @brief A link with more bytes queued is closed.
constexpr std::size_t max_queued_bytes = 32U << 20U;

/// @brief Sends messages to other nodes over TCP.
///
/// A frame is a length of four bytes, least significant first, followed by a
/// FlatBuffers message. Each side proves that it knows the shared secret before
/// the other accepts its messages.
class tcp_peers : public ports::peers
{
  public:
    /// @brief Called for each message, with the node that sent it.
    using message_handler = std::function<void(const core::base::node_id&,
                                               core::messages::peer_message)>;

    /// @brief Called with the id of a node or, for a link that was opened to an
    ///        address, with `address/ip:port`.
    using peer_handler = std::function<void(const core::base::node_id&)>;

    /// @brief Starts listening.
    /// @param io the context to run on
    /// @param settings the links' settings
    /// @param log receives link events
    /// @return the links, or connect_failed
    static core::base::result<std::unique_ptr<tcp_peers>>
    listen(boost::asio::io_context& io,
           link_settings settings,
           ports::event_log& log);

    /// @brief Sets the callbacks; must be called before the context runs.
    /// @param on_message called for each message received
    /// @param on_down called when the last link to a node has closed, or a
    ///        node cannot be reached
    /// @param on_refused called when a node's address refuses a connection
    virtual void set_handlers(message_handler on_message,
                              peer_handler on_down,
                              peer_handler on_refused) = 0;

    /// @brief The port that the node listens on.
    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// @brief Closes every link.
    virtual void close() = 0;
};

} // namespace hawthornrelay::adapters::peer
