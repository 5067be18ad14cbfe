// Clients that hold memory and connections open against a relay process with
// low limits. Each case checks that the process runs, that its memory and
// descriptors stay below the limits, and that ordinary requests are answered
// while these clients are still connected.
#define BOOST_TEST_MODULE untrusted_clients
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <adapters/http/server.hpp>
#include <support/platform_store.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

namespace json = boost::json;

constexpr std::size_t memory_limit_mb = 64;
constexpr std::size_t descriptor_limit = 600;
constexpr std::size_t reserved_descriptors = 200;

constexpr std::size_t max_header_bytes = 16384;
constexpr std::size_t max_body_bytes = 262144;

/// More than the memory limit if each client holds a body of legal size, but
/// fewer than the descriptors.
constexpr std::size_t holder_count = 320;

/// More than the descriptors.
constexpr std::size_t connection_count = 500;

/// A request's answer of this size exceeds what socket buffers hold for few
/// clients.
constexpr std::size_t large_answer_bytes = 200'000;

constexpr std::size_t sender_count = 40;

/// An unlimited sender stops after this many bytes.
constexpr std::size_t flood_bytes = 8U << 20U;

/// Time that the clients get to send what the process accepts.
constexpr std::chrono::milliseconds attack_time{2500};

/// A loopback address that only this test uses.
std::string own_address()
{
    const auto number = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}",
                       1 + number / 62500 % 250,
                       1 + number / 250 % 250,
                       1 + number % 250);
}

constexpr std::uint16_t caller_port = 8104;
constexpr std::uint16_t readiness_port = 8108;
constexpr std::uint16_t directory_port = 8100;
constexpr std::uint16_t internal_port = 7380;

/// A store and one replica, run by a thread of this test.
class back_ends
{
  public:
    back_ends() : store(io)
    {
        adapters::http::server_handlers handlers;
        handlers.on_request = [](const adapters::http::request& message,
                                 const adapters::http::responder& respond)
        {
            adapters::http::response reply;
            if (message.target != "/healthz")
            {
                reply.headers["X-Server-Stamp"] = "r-1.stamp";
                reply.headers["X-Request-Id"] = std::string(
                    adapters::http::header(message.headers, "x-request-id"));
                reply.body = message.target.ends_with("large")
                                 ? std::string(large_answer_bytes, 'x')
                                 : "ordinary";
            }
            respond(std::move(reply));
        };
        this->replica = std::move(*adapters::http::server::listen(
            this->io, "127.0.0.1", 0, std::move(handlers), {}));
        this->store.write("servers/r-1", this->registration());
        this->store.write("op/config", configuration());
        this->thread = std::thread(
            [this]
            {
                this->io.run();
            });
    }

    ~back_ends()
    {
        this->io.stop();
        this->thread.join();
    }

    back_ends(const back_ends&) = delete;
    back_ends& operator=(const back_ends&) = delete;

    [[nodiscard]] std::uint16_t store_port() const
    {
        return this->store.port();
    }

  private:
    [[nodiscard]] std::string registration() const
    {
        return json::serialize(json::object{
            {"service", "s"},
            {"address", "127.0.0.1:" + std::to_string(this->replica->port())},
            {"zone", "z"},
            {"version", "v1"},
            {"capacity", 8},
            {"state", "ready"},
            {"warmupRemainingMs", 0},
            {"sequence", 1},
            {"born", 7}});
    }

    static std::string configuration()
    {
        return json::serialize(json::object{
            {"version", 1},
            {"routes",
             json::array{json::object{{"name", "one"},
                                      {"host", "h.example"},
                                      {"prefix", "/one/"},
                                      {"type", "idempotent"},
                                      {"timeoutMs", 5000},
                                      {"targetLatencyMs", 200},
                                      {"priority", 1},
                                      {"maxAttempts", 2},
                                      {"service", "s"}}}},
            {"services",
             json::array{json::object{{"name", "s"},
                                      {"healthCheckPath", "/healthz"},
                                      {"maxConnections", 20},
                                      {"warmupS", 0.0},
                                      {"warmupPerS", 0.0}}}},
            {"limits",
             json::object{{"maxHeaderBytes", max_header_bytes},
                          {"maxBodyBytes", max_body_bytes},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000}}}});
    }

    boost::asio::io_context io;
    tests::support::platform_store store;
    std::unique_ptr<adapters::http::server> replica;
    std::thread thread;
};

/// The built program, run with its own settings file.
class relay_process
{
  public:
    explicit relay_process(std::uint16_t store_port) : ip(own_address())
    {
        auto pattern =
            (std::filesystem::temp_directory_path() / "untrusted-XXXXXX")
                .string();
        BOOST_TEST_REQUIRE((mkdtemp(pattern.data()) != nullptr));
        this->folder = pattern;
        const auto path = this->folder / "node.yaml";
        this->write_settings(path, store_port);
        const auto text = path.string();
        const auto log = (this->folder / "log").string();
        this->pid = fork();
        BOOST_TEST_REQUIRE(this->pid >= 0);
        if (this->pid == 0)
        {
            // Only what is safe in the child of a process with threads.
            const int output = open(
                log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
            if (dup2(output, 1) < 0 || dup2(output, 2) < 0)
            {
                _exit(126);
            }
            close_range(3, ~0U, 0);
            execl("build/hawthornrelay",
                  "hawthornrelay",
                  "relay",
                  text.c_str(),
                  nullptr);
            _exit(127);
        }
    }

    ~relay_process()
    {
        if (this->pid > 0)
        {
            kill(this->pid, SIGKILL);
            waitpid(this->pid, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    relay_process(const relay_process&) = delete;
    relay_process& operator=(const relay_process&) = delete;

    [[nodiscard]] bool is_running()
    {
        if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) != 0)
        {
            this->pid = 0;
        }
        return this->pid > 0;
    }

    /// The value of a line of /proc/PID/status, in KiB.
    [[nodiscard]] std::size_t status_kb(const std::string& name) const
    {
        std::ifstream in(fmt::format("/proc/{}/status", this->pid));
        for (std::string line; std::getline(in, line);)
        {
            if (line.starts_with(name + ":"))
            {
                return std::stoul(line.substr(name.size() + 1));
            }
        }
        return 0;
    }

    [[nodiscard]] std::size_t descriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator files(
            fmt::format("/proc/{}/fd", this->pid), error);
        return error ? 0
                     : static_cast<std::size_t>(
                           std::distance(begin(files), end(files)));
    }

    /// Bytes that the kernel holds for the process's connections and that it
    /// has not read.
    [[nodiscard]] std::size_t unread_kb() const
    {
        const auto bytes =
            boost::asio::ip::make_address_v4(this->ip).to_bytes();
        const auto own = fmt::format("{:02X}{:02X}{:02X}{:02X}:",
                                     bytes[3],
                                     bytes[2],
                                     bytes[1],
                                     bytes[0]);
        std::ifstream in("/proc/net/tcp");
        std::size_t total = 0;
        for (std::string line; std::getline(in, line);)
        {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            fields >> number >> local >> remote >> state >> queues;
            // 0A: a listener, whose queue holds connections instead of bytes.
            if (local.starts_with(own) && state != "0A" && queues.size() == 17)
            {
                total += std::stoul(queues.substr(9), nullptr, 16);
            }
        }
        return total >> 10U;
    }

    const std::string ip;

  private:
    void write_settings(const std::filesystem::path& path,
                        std::uint16_t store_port) const
    {
        std::ofstream out(path);
        out << fmt::format(
            "nodeName: node-0\nzone: z\nipAddress: {0}\n"
            "listenAddresses:\n  frontend: \"{0}:{1}\"\n"
            "  ready: \"{0}:{2}\"\n  directory: \"{0}:{3}\"\n"
            "internalPortRange: [{4}, {5}]\nseedNodes: []\nbootstrap: true\n"
            "zones: {{z: region}}\n"
            "limits: {{cpuShare: 0.5, cpuCores: 1, memoryMb: {6}, "
            "fdLimit: {7}}}\n"
            "platform:\n  address: \"127.0.0.1:{8}\"\n  minTtlMs: 1000\n"
            "bounds:\n  gracePeriodS: 6\n  retryBudgetRatio: 0.2\n"
            "  retryBudgetSlack: 56\n  budgetWindowS: 10\n",
            this->ip,
            caller_port,
            readiness_port,
            directory_port,
            internal_port,
            internal_port + 15,
            memory_limit_mb,
            descriptor_limit,
            store_port);
    }

    std::filesystem::path folder;
    pid_t pid = 0;
};

/// What a client sends, and how.
struct client_kind
{
    std::size_t count = 0;
    /// Sent once, then again and again up to `total` bytes.
    std::string head;
    std::string repeated;
    std::size_t total = 0;
    /// Sent at most in one write; one write a round for each client.
    std::size_t piece = SIZE_MAX;
    std::chrono::milliseconds pause{0}; ///< between two rounds
    int receive_buffer = 0;             ///< 0 for the system's default
};

/// A client that never reads.
struct client
{
    tcp::socket socket;
    std::size_t sent = 0;
};

/// Returns the bytes that follow after `sent` bytes of a client.
std::string_view next_bytes(const client_kind& kind, std::size_t sent)
{
    if (sent >= kind.total)
    {
        return {};
    }
    auto rest =
        sent < kind.head.size()
            ? std::string_view(kind.head).substr(sent)
            : std::string_view(kind.repeated)
                  .substr((sent - kind.head.size()) % kind.repeated.size());
    return rest.substr(0, std::min(kind.piece, kind.total - sent));
}

struct endpoint_kind
{
    std::string name;
    std::uint16_t port;
    std::string target;
};

const std::array<endpoint_kind, 4> endpoints{
    {{"routed", caller_port, "/one/x"},
     {"unrouted", caller_port, "/none/x"},
     {"readiness", readiness_port, "/v1/readyz"},
     {"directory", directory_port, "/v1/resolve?name=h.example&zone=z"}}};

std::string request_line(const std::string& method, const std::string& target)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\n"
                       "X-Request-Id: u1\r\nX-Deadline-Ms: 4000\r\n",
                       method,
                       target);
}

/// Sends one ordinary request on a new connection; returns its status, or 0.
unsigned ordinary_status(const std::string& ip, const endpoint_kind& where)
{
    try
    {
        boost::asio::io_context io;
        tcp::socket socket(io);
        boost::system::error_code error;
        socket.connect({boost::asio::ip::make_address(ip), where.port}, error);
        if (error)
        {
            return 0;
        }
        const timeval limit{1, 500'000};
        setsockopt(socket.native_handle(),
                   SOL_SOCKET,
                   SO_RCVTIMEO,
                   &limit,
                   sizeof(limit));
        const auto text = request_line("GET", where.target) + "\r\n";
        boost::asio::write(socket, boost::asio::buffer(text));
        std::array<char, 64> reply{};
        const auto size =
            recv(socket.native_handle(), reply.data(), reply.size(), 0);
        const std::string_view line(
            reply.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        return line.starts_with("HTTP/1.1 ")
                   ? static_cast<unsigned>(
                         std::stoul(std::string(line.substr(9, 3))))
                   : 0;
    }
    catch (const std::exception&)
    {
        return 0;
    }
}

/// Repeats an ordinary request, as callers do after a refusal, until it has the
/// status 200.
bool is_served(const std::string& ip, const endpoint_kind& where)
{
    for (int attempt = 0; attempt < 40; ++attempt)
    {
        if (ordinary_status(ip, where) == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(250ms);
    }
    return false;
}

class attack
{
  public:
    attack(relay_process& process, const endpoint_kind& where)
        : process(process), where(where)
    {
    }

    void run(const client_kind& kind)
    {
        const auto until = std::chrono::steady_clock::now() + attack_time;
        this->connect(kind);
        while (std::chrono::steady_clock::now() < until)
        {
            bool has_sent = false;
            for (auto& item : this->clients)
            {
                has_sent = this->send(kind, item) || has_sent;
            }
            this->measure();
            std::this_thread::sleep_for(has_sent ? kind.pause
                                                 : std::max(kind.pause, 20ms));
        }
    }

    void measure()
    {
        const auto resident = this->process.status_kb("VmRSS");
        this->max_held_kb =
            std::max(this->max_held_kb, resident + this->process.unread_kb());
        this->max_descriptors =
            std::max(this->max_descriptors, this->process.descriptors());
    }

    std::size_t max_held_kb = 0;
    std::size_t max_descriptors = 0;

  private:
    void connect(const client_kind& kind)
    {
        for (std::size_t i = 0; i < kind.count; ++i)
        {
            tcp::socket socket(this->io, tcp::v4());
            if (kind.receive_buffer > 0)
            {
                socket.set_option(boost::asio::socket_base::receive_buffer_size(
                    kind.receive_buffer));
            }
            boost::system::error_code error;
            socket.connect({boost::asio::ip::make_address(this->process.ip),
                            this->where.port},
                           error);
            if (!error)
            {
                socket.non_blocking(true);
                this->clients.push_back({std::move(socket)});
            }
        }
    }

    static bool send(const client_kind& kind, client& from)
    {
        const auto bytes = next_bytes(kind, from.sent);
        if (bytes.empty())
        {
            return false;
        }
        const auto size = ::send(from.socket.native_handle(),
                                 bytes.data(),
                                 bytes.size(),
                                 MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        from.sent += static_cast<std::size_t>(size);
        return true;
    }

    relay_process& process;
    endpoint_kind where;
    boost::asio::io_context io;
    std::vector<client> clients;
};

/// Runs clients of one kind against a new process for each endpoint.
template <class MakeKind>
void check_survives(MakeKind make_kind)
{
    for (const auto& where : endpoints)
    {
        back_ends others;
        relay_process process(others.store_port());
        BOOST_TEST_REQUIRE(is_served(process.ip, endpoints[0]),
                           "the process does not serve before the clients");
        attack clients(process, where);
        clients.run(make_kind(where));
        const bool is_running = process.is_running();
        BOOST_TEST(is_running, where.name << ": the process has ended");
        if (!is_running)
        {
            continue;
        }
        BOOST_TEST(is_served(process.ip, endpoints[0]),
                   where.name << ": an ordinary request is not answered");
        BOOST_TEST(is_served(process.ip,
                             where.port == caller_port ? endpoints[0] : where),
                   where.name << ": its listener does not answer");
        clients.measure();
        const auto held_kb =
            std::max(clients.max_held_kb, process.status_kb("VmHWM"));
        BOOST_TEST_MESSAGE(where.name << ": " << held_kb << " KiB, "
                                      << clients.max_descriptors
                                      << " descriptors");
        BOOST_TEST(held_kb < memory_limit_mb * 1024, where.name << ": memory");
        BOOST_TEST(clients.max_descriptors <
                       descriptor_limit - reserved_descriptors,
                   where.name << ": descriptors");
    }
}

/// A body of legal size that lacks its last byte.
client_kind unfinished_body(const endpoint_kind& where)
{
    client_kind kind;
    kind.count = holder_count;
    kind.head = request_line("POST", where.target) +
                fmt::format("Content-Length: {}\r\n\r\n", max_body_bytes);
    kind.repeated.assign(64U << 10U, 'x');
    kind.total = kind.head.size() + max_body_bytes - 1;
    return kind;
}

std::string chunked_head(const endpoint_kind& where)
{
    return request_line("POST", where.target) +
           "Transfer-Encoding: chunked\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(bodies)

// Guards against: unfinished bodies of legal size use up the memory.
BOOST_AUTO_TEST_CASE(unfinished_bodies_in_one_piece)
{
    check_survives(unfinished_body);
}

// Guards against: a bound that only large reads are charged to.
BOOST_AUTO_TEST_CASE(unfinished_bodies_in_small_pieces)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            auto kind = unfinished_body(where);
            kind.piece = 4000;
            return kind;
        });
}

// Guards against: a bound that depends on the announced length.
BOOST_AUTO_TEST_CASE(unfinished_bodies_in_chunks)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = holder_count;
            kind.head = chunked_head(where);
            kind.repeated = "400\r\n" + std::string(1024, 'x') + "\r\n";
            kind.total = kind.head.size() + 255 * kind.repeated.size() + 600;
            return kind;
        });
}

// Guards against: bodies over the limit are kept until they end.
BOOST_AUTO_TEST_CASE(bodies_over_the_limit)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = sender_count;
            kind.head = request_line("POST", where.target) +
                        fmt::format("Content-Length: {}\r\n\r\n", flood_bytes);
            kind.repeated.assign(64U << 10U, 'x');
            kind.total = flood_bytes;
            return kind;
        });
}

BOOST_AUTO_TEST_CASE(chunked_bodies_over_the_limit)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = sender_count;
            kind.head = chunked_head(where);
            kind.repeated = "4000\r\n" + std::string(16384, 'x') + "\r\n";
            kind.total = flood_bytes;
            return kind;
        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(heads)

// Guards against: fields that use many times their bytes in memory.
BOOST_AUTO_TEST_CASE(very_many_short_fields)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = holder_count;
            kind.head =
                request_line("POST", where.target) + "Content-Length: 9\r\n";
            for (int i = 0; kind.head.size() < max_header_bytes - 16; ++i)
            {
                kind.head += fmt::format("{:x}:\r\n", i);
            }
            kind.head += "\r\n";
            kind.repeated = "x";
            kind.total = kind.head.size() + 1;
            return kind;
        });
}

// Guards against: pipelined requests whose responses nobody reads pile up.
BOOST_AUTO_TEST_CASE(pipelined_requests_without_reading)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = sender_count;
            kind.repeated = request_line("GET", where.target) + "\r\n";
            while (kind.repeated.size() < (32U << 10U))
            {
                kind.repeated += request_line("GET", where.target) + "\r\n";
            }
            kind.total = flood_bytes;
            kind.receive_buffer = 4096;
            return kind;
        });
}

// Guards against: large responses that nobody reads pile up.
BOOST_AUTO_TEST_CASE(pipelined_large_responses_without_reading)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = holder_count;
            const auto target =
                where.name == "routed" ? "/one/large" : where.target;
            for (int i = 0; i < 100; ++i)
            {
                kind.repeated += request_line("GET", target) + "\r\n";
            }
            kind.total = kind.repeated.size();
            kind.receive_buffer = 4096;
            return kind;
        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(slow_clients)

// Guards against: many clients that send a few bytes at a time take all
// descriptors.
BOOST_AUTO_TEST_CASE(heads_sent_very_slowly)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = connection_count;
            kind.head = request_line("GET", where.target);
            kind.repeated = "X-Field: value\r\n";
            kind.total = max_header_bytes - 1;
            kind.piece = 1;
            kind.pause = 50ms;
            return kind;
        });
}

// Guards against: a timeout that every byte restarts.
BOOST_AUTO_TEST_CASE(bodies_sent_very_slowly)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            auto kind = unfinished_body(where);
            kind.count = connection_count;
            kind.piece = 200;
            kind.pause = 50ms;
            return kind;
        });
}

// Guards against: clients that stop half-way take all descriptors.
BOOST_AUTO_TEST_CASE(clients_that_stop_half_way)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = connection_count;
            kind.head = request_line("GET", where.target);
            kind.total = kind.head.size() / 2;
            return kind;
        });
}

// Guards against: connections without a request take all descriptors.
BOOST_AUTO_TEST_CASE(clients_that_send_nothing)
{
    check_survives(
        [](const endpoint_kind&)
        {
            client_kind kind;
            kind.count = connection_count;
            return kind;
        });
}

// Guards against: connections whose caller does not read the response.
BOOST_AUTO_TEST_CASE(clients_that_do_not_read_the_response)
{
    check_survives(
        [](const endpoint_kind& where)
        {
            client_kind kind;
            kind.count = connection_count;
            kind.head = request_line("GET",
                                     where.name == "routed" ? "/one/large"
                                                            : where.target) +
                        "\r\n";
            kind.total = kind.head.size();
            kind.receive_buffer = 4096;
            return kind;
        });
}

BOOST_AUTO_TEST_SUITE_END()
