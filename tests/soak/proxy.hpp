/// @file
/// @brief A loopback proxy for TCP that delays, drops, silences or resets.
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

/// @brief What a proxy does to what passes through it.
struct link_fault
{
    std::chrono::milliseconds delay{0};
    bool drops_requests = false; ///< bytes towards the server vanish
    bool drops_answers = false;  ///< bytes from the server vanish
    bool refuses = false;        ///< new connections are reset
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
        const auto at = this->acceptor.local_endpoint();
        return at.address().to_string() + ":" + std::to_string(at.port());
    }

    /// @brief Resets all connections that are open.
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
        std::array<char, 16384> up{};
        std::array<char, 16384> down{};
    };

    using link_ptr = std::shared_ptr<link>;
    using side = tcp::socket link::*;
    using buffer = std::array<char, 16384> link::*;

    void accept()
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code& error, tcp::socket opened)
            {
                if (error)
                {
                    return;
                }
                this->serve(
                    std::make_shared<link>(std::move(opened), this->io));
                this->accept();
            });
    }

    void serve(const link_ptr& item)
    {
        if (this->fault.refuses)
        {
            item->reset();
            return;
        }
        this->links.insert(item);
        item->server.async_connect(
            this->server,
            [this, item](const boost::system::error_code& error)
            {
                if (error)
                {
                    this->end(item);
                    return;
                }
                for (auto* socket : {&item->caller, &item->server})
                {
                    boost::system::error_code ignored;
                    socket->set_option(tcp::no_delay(true), ignored);
                }
                this->pump(item, &link::caller, &link::server, &link::up);
                this->pump(item, &link::server, &link::caller, &link::down);
            });
    }

    void pump(const link_ptr& item, side from, side to, buffer bytes)
    {
        ((*item).*from)
            .async_read_some(
                boost::asio::buffer((*item).*bytes),
                [this, item, from, to, bytes](
                    const boost::system::error_code& error, std::size_t size)
                {
                    if (error)
                    {
                        this->end(item);
                        return;
                    }
                    this->forward(item, from, to, bytes, size);
                });
    }

    void forward(const link_ptr& item,
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
            this->pump(item, from, to, bytes);
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            this->io, this->fault.delay);
        timer->async_wait(
            [this, item, from, to, bytes, size, timer](const auto&)
            {
                boost::asio::async_write(
                    (*item).*to,
                    boost::asio::buffer(((*item).*bytes).data(), size),
                    [this, item, from, to, bytes](
                        const boost::system::error_code& error, std::size_t)
                    {
                        if (error)
                        {
                            this->end(item);
                            return;
                        }
                        this->pump(item, from, to, bytes);
                    });
            });
    }

    void end(const link_ptr& item)
    {
        boost::system::error_code ignored;
        item->caller.close(ignored);
        item->server.close(ignored);
        this->links.erase(item);
    }

    boost::asio::io_context& io;
    tcp::endpoint server;
    tcp::acceptor acceptor;
    std::set<link_ptr> links;
};

} // namespace hawthornrelay::tests::soak
