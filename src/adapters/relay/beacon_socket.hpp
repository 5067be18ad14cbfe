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

namespace hawthornrelay::adapters::relay
{

/// @brief Sends and receives node records over UDP.
class beacon_socket
{
  public:
    using handler = std::function<void(const core::relay::node_record&)>;

    /// @brief Creates a closed socket.
    /// @param io the context to run on; it must outlive this object
    /// @param on_record called with each valid record received
    beacon_socket(boost::asio::io_context& io, handler on_record);

    /// @brief Binds the socket and starts receiving.
    /// @param address `ip:port` to bind to
    /// @return nothing, or connect_failed if the address cannot be used
    core::base::result<void> open(const std::string& address);

    /// @brief Sends a record; failures are ignored, as datagrams may be lost
    ///        anyway.
    /// @param to `ip:port` of the other node
    /// @param self the record of this node
    void send(const std::string& to, const core::relay::node_record& self);

    /// @brief Stops receiving.
    void close();

  private:
    void receive();
    void on_datagram(std::size_t size);

    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    handler on_record;
    std::array<std::uint8_t, 1500> datagram{};
};

} // namespace hawthornrelay::adapters::relay
