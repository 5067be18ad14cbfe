#include <adapters/asio/socket.hpp>

#include <charconv>

namespace hawthornrelay::adapters::asio
{

using boost::asio::ip::tcp;
using core::base::fail;
using core::base::result_code;

core::base::result<void> open_listener(tcp::acceptor& acceptor,
                                       const std::string& ip,
                                       std::uint16_t port)
{
    try
    {
        const tcp::endpoint endpoint{boost::asio::ip::make_address(ip), port};
        acceptor.open(endpoint.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    }
    catch (const boost::system::system_error& error)
    {
        return fail(result_code::connect_failed,
                    ip + ":" + std::to_string(port) + ": " +
                        error.code().message());
    }
    return {};
}

core::base::result<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return fail(result_code::connect_failed,
                    address + ": the port is missing");
    }
    std::uint16_t port = 0;
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip =
        boost::asio::ip::make_address(address.substr(0, colon), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
    {
        return fail(result_code::connect_failed,
                    address + ": not an IP address and a port");
    }
    return tcp::endpoint{ip, port};
}

void disable_nagle(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
}

void close_quietly(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

} // namespace hawthornrelay::adapters::asio
