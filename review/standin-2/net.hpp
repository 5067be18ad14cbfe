// Blocking sockets and a small HTTP/1.1 reader and writer for the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    return to;
}

/// A socket that closes itself.
class connection
{
  public:
    explicit connection(int descriptor = -1) : descriptor(descriptor) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&& other) noexcept
        : unread(std::move(other.unread)),
          descriptor(std::exchange(other.descriptor, -1))
    {
    }
    connection& operator=(connection&& other) noexcept
    {
        close();
        descriptor = std::exchange(other.descriptor, -1);
        unread = std::move(other.unread);
        return *this;
    }
    ~connection() { close(); }

    static connection open(const std::string& ip, int port)
    {
        connection result(::socket(AF_INET, SOCK_STREAM, 0));
        const auto to = address_of(ip, port);
        if (::connect(result.descriptor,
                      reinterpret_cast<const sockaddr*>(&to),
                      sizeof(to)) != 0)
        {
            result.close();
            return result;
        }
        const int on = 1;
        ::setsockopt(result.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return result;
    }

    [[nodiscard]] bool is_open() const { return descriptor >= 0; }
    [[nodiscard]] int get() const { return descriptor; }

    void close()
    {
        if (descriptor >= 0)
        {
            ::close(std::exchange(descriptor, -1));
        }
    }

    bool write(std::string_view text) const
    {
        while (!text.empty())
        {
            const auto sent =
                ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0)
            {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Receives more bytes into `unread`; false at the end, an error or the
    /// timeout.
    bool receive(milliseconds timeout)
    {
        pollfd waiting{descriptor, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0)
        {
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
        {
            return false;
        }
        unread.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::string unread;

  private:
    int descriptor = -1;
};

/// A request or an answer; the names of fields are in lower case.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::string method() const
    {
        return first_line.substr(0, first_line.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const
    {
        const auto at = first_line.find(' ');
        return at == std::string::npos ? 0
                                       : std::atoi(first_line.c_str() + at);
    }
};

/// Reads a message whose body has a Content-Length.
inline std::optional<message> read_message(connection& from, milliseconds timeout)
{
    const auto end = clock_type::now() + timeout;
    const auto left = [&]
    {
        return std::max(milliseconds(0),
                        std::chrono::duration_cast<milliseconds>(
                            end - clock_type::now()));
    };
    std::size_t head = 0;
    while ((head = from.unread.find("\r\n\r\n")) == std::string::npos)
    {
        if (!from.receive(left()))
        {
            return std::nullopt;
        }
    }
    message result;
    std::size_t at = from.unread.find("\r\n");
    result.first_line = from.unread.substr(0, at);
    while (at < head)
    {
        const auto begin = at + 2;
        at = from.unread.find("\r\n", begin);
        const auto line = from.unread.substr(begin, at - begin);
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (auto& c : name)
        {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        result.fields[name] = value;
    }
    const auto length = static_cast<std::size_t>(
        std::strtoull(result.field("content-length").c_str(), nullptr, 10));
    while (from.unread.size() < head + 4 + length)
    {
        if (!from.receive(left()))
        {
            return std::nullopt;
        }
    }
    result.body = from.unread.substr(head + 4, length);
    from.unread.erase(0, head + 4 + length);
    return result;
}

using field_list = std::vector<std::pair<std::string, std::string>>;

inline std::string
write_answer(int status, const field_list& fields, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : fields)
    {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Accepts connections until it is stopped, each with a thread of its own.
class listener
{
  public:
    using handler = std::function<void(connection)>;

    listener(const std::string& ip, int wanted_port, handler on_connection)
        : on_connection(std::move(on_connection)),
          descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto own = address_of(ip, wanted_port);
        socklen_t size = sizeof(own);
        const bool is_open =
            ::bind(descriptor, reinterpret_cast<sockaddr*>(&own), size) == 0 &&
            ::listen(descriptor, 512) == 0 &&
            ::getsockname(
                descriptor, reinterpret_cast<sockaddr*>(&own), &size) == 0;
        if (!is_open)
        {
            std::perror("listen");
            std::exit(2);
        }
        opened_port = ntohs(own.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    [[nodiscard]] int port() const { return opened_port; }

    /// Ends the listener; a stopped replica refuses connections.
    void stop()
    {
        is_stopped = true;
        ::shutdown(descriptor, SHUT_RDWR);
        ::close(descriptor);
    }

  private:
    void accept()
    {
        while (!is_stopped)
        {
            const int accepted = ::accept(descriptor, nullptr, nullptr);
            if (accepted < 0)
            {
                if (!is_stopped)
                {
                    std::this_thread::sleep_for(milliseconds(5));
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread(
                [this, accepted] { on_connection(connection(accepted)); })
                .detach();
        }
    }

    handler on_connection;
    int descriptor;
    int opened_port = 0;
    std::atomic<bool> is_stopped{false};
};

} // namespace review
