/// @file
/// @brief A TCP proxy on loopback that injects delay, loss and resets.
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio.hpp>

namespace hawthornrelay::tests::soak
{

using boost::asio::ip::tcp;

/// @brief Faults that a proxy injects into its connections.
struct link_fault
{
    std::chrono::milliseconds delay{0};
    bool drops_requests = false; ///< discards bytes sent to the server
    bool drops_answers = false;  ///< discards bytes sent by the server
    bool refuses = false;        ///< resets new connections
};

/// @brief Forwards connections to a server on loopback.
class proxy
{
  public:
    proxy(boost::asio::io_context& io,
          const std::string& ip,
          const tcp::endpoint& server)
        : io(io), server(server),
          acceptor(io, {boost::asio::ip::make_address(ip), 0})
    {
        this->accept();
    }

    ~proxy()
    {
        this->reset_all();
    }

    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    [[nodiscard]] std::string address() const
    {
        const auto endpoint = this->acceptor.local_endpoint();
        return endpoint.address().to_string() + ":" +
               std::to_string(endpoint.port());
    }

    /// @brief Resets all open connections.
    void reset_all()
    {
        const auto closing = std::exchange(this->links, {});
        for (const auto& link : closing)
        {
            link->reset();
        }
    }

    link_fault fault;

  private:
    struct link
    {
        link(tcp::socket caller, boost::asio::io_context& io)
            : caller(std::move(caller)), server(io)
        {
        }

        void reset()
        {
            for (auto* side : {&this->caller, &this->server})
            {
                boost::system::error_code ignored;
                side->set_option(boost::asio::socket_base::linger(true, 0),
                                 ignored);
                side->close(ignored);
            }
        }

        tcp::socket caller;
        tcp::socket server;
        std::array<char, 16384> to_server{};
        std::array<char, 16384> to_caller{};
    };

    using link_ptr = std::shared_ptr<link>;
    using side = tcp::socket link::*;
    using buffer = std::array<char, 16384> link::*;

    void accept()
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code& error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                this->serve(
                    std::make_shared<link>(std::move(socket), this->io));
                this->accept();
            });
    }

    void serve(const link_ptr& connection)
    {
        if (this->fault.refuses)
        {
            connection->reset();
            return;
        }
        this->links.insert(connection);
        connection->server.async_connect(
            this->server,
            [this, connection](const boost::system::error_code& error)
            {
                if (error)
                {
                    this->close(connection);
                    return;
                }
                for (auto* socket : {&connection->caller, &connection->server})
                {
                    boost::system::error_code ignored;
                    socket->set_option(tcp::no_delay(true), ignored);
                }
                this->pump(
                    connection, &link::caller, &link::server, &link::to_server);
                this->pump(
                    connection, &link::server, &link::caller, &link::to_caller);
            });
    }

    void pump(const link_ptr& connection, side from, side to, buffer bytes)
    {
        ((*connection).*from)
            .async_read_some(
                boost::asio::buffer((*connection).*bytes),
                [this, connection, from, to, bytes](
                    const boost::system::error_code& error, std::size_t size)
                {
                    if (error)
                    {
                        this->close(connection);
                        return;
                    }
                    this->forward(connection, from, to, bytes, size);
                });
    }

    void forward(const link_ptr& connection,
                 side from,
                 side to,
                 buffer bytes,
                 std::size_t size)
    {
        const bool is_request = from == &link::caller;
        const bool drops =
            is_request ? this->fault.drops_requests : this->fault.drops_answers;
        if (drops)
        {
            this->pump(connection, from, to, bytes);
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            this->io, this->fault.delay);
        timer->async_wait(
            [this, connection, from, to, bytes, size, timer](const auto&)
            {
                boost::asio::async_write(
                    (*connection).*to,
                    boost::asio::buffer(((*connection).*bytes).data(), size),
                    [this, connection, from, to, bytes](
                        const boost::system::error_code& error, std::size_t)
                    {
                        if (error)
                        {
                            this->close(connection);
                            return;
                        }
                        this->pump(connection, from, to, bytes);
                    });
            });
    }

    void close(const link_ptr& connection)
    {
        boost::system::error_code ignored;
        connection->caller.close(ignored);
        connection->server.close(ignored);
        this->links.erase(connection);
    }

    boost::asio::io_context& io;
    tcp::endpoint server;
    tcp::acceptor acceptor;
    std::set<link_ptr> links;
};

} // namespace hawthornrelay::tests::soak
