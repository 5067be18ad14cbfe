/// @file
/// @brief Blocking loopback sockets and HTTP/1.1 messages for the stand-ins.
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline sockaddr_in to_sockaddr(const std::string& ip, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

/// A connected socket with a buffer of received bytes.
class stream
{
  public:
    explicit stream(int fd) : fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~stream()
    {
        this->close();
    }

    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    static std::unique_ptr<stream> connect(const std::string& ip,
                                           std::uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto to = to_sockaddr(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
            0)
        {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<stream>(fd);
    }

    bool write(const std::string& text)
    {
        std::size_t done = 0;
        while (done < text.size())
        {
            const auto sent = ::send(
                this->fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (sent <= 0)
            {
                return false;
            }
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }

    /// Receives more bytes. Returns false at the end, on an error, or if none
    /// arrive until the deadline.
    bool fill(clock::time_point until)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        pollfd item{this->fd, POLLIN, 0};
        if (poll(&item, 1, static_cast<int>(std::max<long>(0, left.count()))) !=
            1)
        {
            this->timed_out = true;
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (count <= 0)
        {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Ends reads and writes of other threads; close() frees the descriptor.
    void shutdown()
    {
        ::shutdown(this->fd, SHUT_RDWR);
    }

    void close()
    {
        if (this->fd >= 0)
        {
            ::close(std::exchange(this->fd, -1));
        }
    }

    std::string buffer;
    bool timed_out = false;

  private:
    int fd;
};

struct message
{
    std::string start;                         ///< request line or status line
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? "" : found->second;
    }

    /// Word 0, 1 or 2 of the start line.
    [[nodiscard]] std::string word(std::size_t index) const
    {
        std::size_t begin = 0;
        for (std::size_t i = 0; i < index; ++i)
        {
            begin = this->start.find(' ', begin) + 1;
        }
        return this->start.substr(begin, this->start.find(' ', begin) - begin);
    }

    [[nodiscard]] int status() const
    {
        return std::atoi(this->word(1).c_str());
    }
};

/// Reads one message that has a length. Returns false if it does not arrive.
inline bool read_message(stream& from,
                         message& to,
                         clock::time_point until,
                         bool has_body = true)
{
    to = {};
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!from.fill(until))
        {
            return false;
        }
    }
    auto head = from.buffer.substr(0, end + 2);
    from.buffer.erase(0, end + 4);
    const auto first = head.find("\r\n");
    to.start = head.substr(0, first);
    for (auto at = first + 2; at < head.size();)
    {
        const auto line_end = head.find("\r\n", at);
        const auto line = head.substr(at, line_end - at);
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        to.fields[name] = value;
        at = line_end + 2;
    }
    const auto length =
        has_body ? std::strtoul(to.field("content-length").c_str(), nullptr, 10)
                 : 0;
    while (from.buffer.size() < length)
    {
        if (!from.fill(until))
        {
            return false;
        }
    }
    to.body = from.buffer.substr(0, length);
    from.buffer.erase(0, length);
    return true;
}

inline std::string
make_answer(int status,
            const std::vector<std::pair<std::string, std::string>>& fields,
            const std::string& body,
            bool is_head = false)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields)
    {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return is_head ? text : text + body;
}

/// Listens on a loopback address and serves each connection in a thread.
class listener
{
  public:
    using handler = std::function<void(stream&)>;

    listener(std::string ip, std::uint16_t wanted_port, handler serve)
        : ip(std::move(ip)), serve(std::move(serve))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto at = to_sockaddr(this->ip, wanted_port);
        this->is_open =
            ::bind(this->fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) ==
                0 &&
            ::listen(this->fd, 256) == 0;
        socklen_t size = sizeof(at);
        getsockname(this->fd, reinterpret_cast<sockaddr*>(&at), &size);
        this->port = ntohs(at.sin_port);
        this->acceptor = std::thread(
            [this]
            {
                this->accept();
            });
    }

    /// Stops listening and breaks off all connections.
    ~listener()
    {
        this->is_stopping = true;
        ::shutdown(this->fd, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->fd);
        {
            const std::lock_guard lock(this->mutex);
            for (auto* item : this->open)
            {
                item->shutdown();
            }
        }
        for (auto& item : this->workers)
        {
            item.join();
        }
    }

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] std::string address() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }

    std::string ip;
    std::uint16_t port = 0;
    bool is_open = false;

  private:
    void accept()
    {
        while (!this->is_stopping)
        {
            const int accepted =
                ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
            {
                if (errno == EINTR || errno == ECONNABORTED)
                {
                    continue;
                }
                return;
            }
            auto connection = std::make_shared<stream>(accepted);
            {
                const std::lock_guard lock(this->mutex);
                this->open.insert(connection.get());
            }
            this->workers.emplace_back(
                [this, connection]
                {
                    this->serve(*connection);
                    const std::lock_guard lock(this->mutex);
                    this->open.erase(connection.get());
                    connection->close();
                });
        }
    }

    handler serve;
    int fd = -1;
    std::atomic<bool> is_stopping{false};
    std::mutex mutex;
    std::set<stream*> open;
    std::vector<std::thread> workers;
    std::thread acceptor;
};

} // namespace review
