/// @file
/// @brief Beacons: datagrams in which relay nodes announce their state.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <core/base/result.hpp>
#include <core/relay/node_directory.hpp>
#include <core/relay/quota_message.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Sends and receives node records over UDP.
class beacon_socket
{
  public:
    using handler = std::function<void(const core::relay::node_record&)>;

    using quota_handler =
        std::function<void(const core::relay::quota_message&)>;

    /// @brief Creates a closed socket.
    /// @param io the context to run on; it must outlive this object
    /// @param on_record called with each valid record received
    /// @param on_quota called with each valid message about quotas
    beacon_socket(boost::asio::io_context& io,
                  handler on_record,
                  quota_handler on_quota = {});

    /// @brief Binds the socket and starts receiving.
    /// @param address `ip:port` to bind to
    /// @return nothing, or connect_failed if the address cannot be used
    core::base::result<void> open(const std::string& address);

    /// @brief Sends a record; failures are ignored, as datagrams may be lost
    ///        anyway.
    /// @param to `ip:port` of the other node
    /// @param self the record of this node
    void send(const std::string& to, const core::relay::node_record& self);

    /// @brief Sends a message about quotas; failures are ignored.
    /// @param to `ip:port` of the other node
    /// @param message at most max_datagram bytes when encoded; a longer one is
    ///        not sent
    void send(const std::string& to, const core::relay::quota_message& message);

    /// Size of a datagram that is not fragmented.
    static constexpr std::size_t max_datagram = 1500;

    /// @brief Stops receiving.
    void close();

  private:
    void receive();
    void on_datagram(std::size_t size);

    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    handler on_record;
    quota_handler on_quota;
    std::array<std::uint8_t, max_datagram> datagram{};
};

} // namespace hawthornrelay::adapters::relay
