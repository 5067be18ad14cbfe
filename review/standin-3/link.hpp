// A TCP proxy whose open connections can fall silent while new ones work.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace rig
{

class link
{
  public:
    using tcp = boost::asio::ip::tcp;

    /// Listens on `ip` and forwards to `to` (`ip:port`).
    link(boost::asio::io_context& io, const std::string& ip, std::string to)
        : io(io), ip(ip),
          target(boost::asio::ip::make_address(to.substr(0, to.rfind(':'))),
                 static_cast<unsigned short>(
                     std::stoul(to.substr(to.rfind(':') + 1)))),
          acceptor(io, tcp::endpoint(boost::asio::ip::make_address(ip), 0))
    {
        this->accept();
    }

    [[nodiscard]] std::string address() const
    {
        return this->ip + ":" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    /// From now on what is sent on the open connections gets lost.
    /// @return the number of these connections
    std::size_t silence()
    {
        std::size_t count = 0;
        for (const auto& item : this->pairs)
        {
            if (const auto pair = item.lock(); pair != nullptr)
            {
                pair->is_silent = true;
                ++count;
            }
        }
        this->pairs.clear();
        return count;
    }

  private:
    struct pair
    {
        explicit pair(boost::asio::io_context& io)
            : ends{tcp::socket(io), tcp::socket(io)}
        {
        }

        std::array<tcp::socket, 2> ends;
        std::array<std::array<char, 16384>, 2> buffers{};
        bool is_silent = false;
    };

    void accept()
    {
        auto added = std::make_shared<pair>(this->io);
        this->acceptor.async_accept(
            added->ends[0],
            [this, added](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->connect(added);
                    this->accept();
                }
            });
    }

    void connect(const std::shared_ptr<pair>& added)
    {
        added->ends[1].async_connect(
            this->target,
            [this, added](const boost::system::error_code& error)
            {
                if (error)
                {
                    close(*added);
                    return;
                }
                boost::system::error_code ignored;
                added->ends[0].set_option(tcp::no_delay(true), ignored);
                added->ends[1].set_option(tcp::no_delay(true), ignored);
                this->pairs.push_back(added);
                pump(added, 0);
                pump(added, 1);
            });
    }

    static void pump(const std::shared_ptr<pair>& of, std::size_t from)
    {
        of->ends[from].async_read_some(
            boost::asio::buffer(of->buffers[from]),
            [of, from](const boost::system::error_code& error,
                       std::size_t count)
            {
                if (error)
                {
                    // The end of a silent connection isn't heard either.
                    if (!of->is_silent || from == 0)
                    {
                        close(*of);
                    }
                    return;
                }
                if (of->is_silent)
                {
                    pump(of, from);
                    return;
                }
                boost::asio::async_write(
                    of->ends[1 - from],
                    boost::asio::buffer(of->buffers[from], count),
                    [of, from](const boost::system::error_code& failed,
                               std::size_t)
                    {
                        if (failed)
                        {
                            close(*of);
                            return;
                        }
                        pump(of, from);
                    });
            });
    }

    static void close(pair& item)
    {
        boost::system::error_code ignored;
        item.ends[0].close(ignored);
        item.ends[1].close(ignored);
    }

    boost::asio::io_context& io;
    std::string ip;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::vector<std::weak_ptr<pair>> pairs;
};

} // namespace rig
