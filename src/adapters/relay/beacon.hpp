/// @file
/// @brief Datagrams by which relay nodes tell each other that they run.
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
class beacon
{
  public:
    using handler = std::function<void(const core::relay::node_record&)>;

    /// @brief Attaches to a context.
    /// @param io the context; it must outlive this object
    /// @param on_heard receives each valid record
    beacon(boost::asio::io_context& io, handler on_heard);

    /// @brief Starts receiving.
    /// @param address `ip:port` to use
    /// @return nothing, or connect_failed
    core::base::result<void> open(const std::string& address);

    /// @brief Sends a record; a datagram that cannot be sent is lost.
    /// @param to `ip:port` of the other node
    /// @param self the record
    void send(const std::string& to, const core::relay::node_record& self);

    /// @brief Stops receiving.
    void close();

  private:
    void receive();
    void on_datagram(std::size_t size);

    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    handler on_heard;
    std::array<std::uint8_t, 1500> datagram{};
};

} // namespace hawthornrelay::adapters::relay
