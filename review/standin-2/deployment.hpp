// A small deployment: relays as separate processes, replicas, callers, and the
// record of what was sent, answered and run.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <random>

#include "store.hpp"

namespace review
{

/// Exit codes of a case.
enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    could_not_run = 2,
};

/// Writes lines with the time since the start of the case.
class record
{
  public:
    explicit record(const std::string& path)
        : out(std::fopen(path.c_str(), "w")), started(clock_type::now())
    {
        if (out == nullptr)
        {
            std::perror(path.c_str());
            std::exit(could_not_run);
        }
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(mutex);
        std::fprintf(out, "%9.3f ", seconds(clock_type::now()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(out, format, arguments);
        va_end(arguments);
        std::fputc('\n', out);
        std::fflush(out);
    }

    [[nodiscard]] double seconds(clock_type::time_point at) const
    {
        return std::chrono::duration<double>(at - started).count();
    }

  private:
    std::mutex mutex;
    std::FILE* out;
    clock_type::time_point started;
};

/// A request that a replica received.
struct arrival
{
    clock_type::time_point at;
    std::string id;
    std::string replica;
    bool has_run;
    std::string first_line;
    std::string body;
};

/// A replica, as PROTOCOL.md describes it.
class replica
{
  public:
    struct parameters
    {
        std::string id;
        std::string service;
        std::string zone;
        milliseconds work{60};
        milliseconds cold{0}; ///< from the start on
        /// While cold it crashes at more requests in one second; 0: never.
        double most_while_cold = 0;
        std::uint64_t born = 0;      ///< Unix ms
    };

    replica(record& log, store& registry, const std::string& ip, parameters given)
        : log(log), registry(registry), ip(ip), settings(std::move(given)),
          cold_until(clock_type::now() + settings.cold),
          server(ip, 0, [this](connection accepted) { serve(std::move(accepted)); })
    {
    }

    /// Writes the registration and repeats it every heartbeat interval.
    void start_heartbeats()
    {
        std::thread(
            [this]
            {
                while (!is_silent)
                {
                    beat();
                    std::this_thread::sleep_for(milliseconds(1200));
                }
            })
            .detach();
    }

    void beat()
    {
        const std::lock_guard lock(beat_mutex);
        if (!is_silent)
        {
            registry.put("servers/" + settings.id, registration(++sequence));
        }
    }

    /// Removes the registration. The replica goes on serving.
    void leave()
    {
        const std::lock_guard lock(beat_mutex);
        is_silent = true;
        registry.remove("servers/" + settings.id);
    }

    /// Ends the process: no more heartbeats, and its connections are reset.
    void crash()
    {
        is_silent = true;
        has_ended = true;
        server.stop();
        const std::lock_guard lock(connections_mutex);
        for (const auto descriptor : open_connections)
        {
            const linger at_once{1, 0};
            ::setsockopt(
                descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

    [[nodiscard]] clock_type::time_point is_cold_until() const
    {
        return cold_until;
    }

    void set_draining()
    {
        state = "draining";
        beat();
    }

    [[nodiscard]] std::string registration(std::uint64_t number) const
    {
        const auto cold_left = std::max(
            milliseconds(0),
            std::chrono::duration_cast<milliseconds>(cold_until - clock_type::now()));
        return json::serialize(json::object{
            {"service", settings.service},
            {"address", ip + ":" + std::to_string(server.port())},
            {"zone", settings.zone},
            {"version", "v1"},
            {"capacity", 3},
            {"state", state},
            {"warmupRemainingMs", cold_left.count()},
            {"sequence", number},
            {"born", settings.born}});
    }

    [[nodiscard]] std::vector<arrival> arrivals()
    {
        const std::lock_guard lock(mutex);
        return received;
    }

    [[nodiscard]] const std::string& id() const { return settings.id; }
    [[nodiscard]] std::uint64_t last_sequence() const { return sequence; }

  private:
    void serve(connection from)
    {
        {
            const std::lock_guard lock(connections_mutex);
            open_connections.insert(from.get());
        }
        while (const auto request = read_message(from, std::chrono::hours(1)))
        {
            const auto text = answer(*request);
            if (has_ended || !from.write(text))
            {
                break;
            }
        }
        const std::lock_guard lock(connections_mutex);
        open_connections.erase(from.get());
        from.close();
    }

    std::string answer(const message& request)
    {
        if (request.target() == "/healthz")
        {
            const auto cold = std::chrono::duration_cast<milliseconds>(
                cold_until - clock_type::now());
            field_list fields{{"X-Replica-Id", settings.id},
                              {"X-Replica-Load", "0,0,3"}};
            if (cold.count() > 0)
            {
                fields.emplace_back("X-Warmup-Ms", std::to_string(cold.count()));
            }
            return write_answer(200, fields, "");
        }
        const auto id = request.field("x-request-id");
        const auto expected = request.field("x-expect-replica");
        const bool is_other = !expected.empty() && expected != settings.id;
        {
            const std::lock_guard lock(mutex);
            received.push_back({clock_type::now(),
                                id,
                                settings.id,
                                !is_other,
                                request.first_line,
                                request.body});
        }
        log.line("replica %s %s request %s: %s",
                 settings.id.c_str(),
                 is_other ? "rejects" : "runs",
                 id.c_str(),
                 request.first_line.c_str());
        if (is_other)
        {
            return write_answer(
                421, {{"X-Request-Id", id}, {"X-Replica-Id", settings.id}}, "");
        }
        if (is_overrun())
        {
            log.line("replica %s is cold and crashes: more than %.1f requests in "
                     "one second",
                     settings.id.c_str(),
                     settings.most_while_cold);
            crash();
        }
        std::this_thread::sleep_for(settings.work);
        return write_answer(200,
                            {{"X-Request-Id", id},
                             {"X-Server-Stamp", "stamp-" + settings.id + "-" + id},
                             {"X-Replica-Load", "0,0,3"}},
                            "answer to " + id);
    }

    bool is_overrun()
    {
        const auto now = clock_type::now();
        if (settings.most_while_cold <= 0 || now >= cold_until || has_ended)
        {
            return false;
        }
        const std::lock_guard lock(mutex);
        const auto recent = std::count_if(
            received.begin(),
            received.end(),
            [now](const arrival& item)
            { return item.has_run && item.at > now - std::chrono::seconds(1); });
        return static_cast<double>(recent) > settings.most_while_cold;
    }

    record& log;
    store& registry;
    std::string ip;
    parameters settings;
    clock_type::time_point cold_until;
    std::string state = "ready";
    std::mutex beat_mutex;
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<bool> is_silent{false};
    std::atomic<bool> has_ended{false};
    std::mutex connections_mutex;
    std::set<int> open_connections;
    std::mutex mutex;
    std::vector<arrival> received;
    listener server;
};

/// A relay as the deploy file starts it: `target/hawthornrelay relay`.
class relay
{
  public:
    relay(record& log,
          std::string name,
          std::string zone,
          std::string ip,
          std::string folder,
          std::string store_address,
          std::vector<std::string> seeds,
          std::string extra_bounds = {})
        : log(log), name(std::move(name)), zone(std::move(zone)),
          ip(std::move(ip)), folder(std::move(folder)),
          store_address(std::move(store_address)), seeds(std::move(seeds)),
          extra_bounds(std::move(extra_bounds))
    {
    }
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay() { kill(); }

    void start(bool is_first)
    {
        write_settings(is_first);
        const auto settings = "HAWTHORNRELAY_NODE_FILE=" + settings_path();
        const auto output = folder + "/" + name + ".log";
        const auto parent = ::getpid();
        process = ::fork();
        if (process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file =
                ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            const char* arguments[] = {"target/hawthornrelay", "relay", nullptr};
            const char* environment[] = {settings.c_str(), "HOME=/tmp", nullptr};
            if (::getppid() == parent)
            {
                ::execve(arguments[0],
                         const_cast<char* const*>(arguments),
                         const_cast<char* const*>(environment));
            }
            ::_exit(127);
        }
        log.line("relay %s started", name.c_str());
    }

    void kill()
    {
        if (process > 0)
        {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
            process = 0;
            log.line("relay %s killed", name.c_str());
        }
    }

    void signal(int number) const
    {
        ::kill(process, number);
        log.line("relay %s gets signal %d", name.c_str(), number);
    }

    [[nodiscard]] bool is_ready() const
    {
        auto to = connection::open(ip, 8108);
        if (!to.is_open() || !to.write("GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n"))
        {
            return false;
        }
        const auto answer = read_message(to, milliseconds(500));
        return answer && answer->status() == 200;
    }

    [[nodiscard]] bool has_logged(const std::string& text) const
    {
        std::ifstream in(folder + "/" + name + ".log");
        std::string line;
        while (std::getline(in, line))
        {
            if (line.find(text) != std::string::npos)
            {
                return true;
            }
        }
        return false;
    }

    record& log;
    const std::string name;
    const std::string zone;
    const std::string ip;

  private:
    [[nodiscard]] std::string settings_path() const
    {
        return folder + "/" + name + ".yaml";
    }

    void write_settings(bool is_first) const
    {
        std::ofstream out(settings_path());
        out << "nodeName: \"" << name << "\"\nrole: \"relay\"\n"
            << "machineClass: \"frontend\"\nserves: [frontend, control_plane, directory]\n"
            << "ipAddress: \"" << ip << "\"\nzone: \"" << zone
            << "\"\nregion: \"zona-sur\"\nzones: {araucania: zona-sur, "
               "los-rios: zona-sur, chiloe: zona-sur, aysen: zona-sur}\n"
            << "listenAddresses:\n  frontend: \"" << ip << ":8104\"\n  ready: \""
            << ip << ":8108\"\n  controlPlane: \"" << ip
            << ":8106\"\n  directory: \"" << ip
            << ":8100\"\ninternalPortRange: [7380, 7395]\nseedNodes:\n";
        for (const auto& seed : seeds)
        {
            out << "  - \"" << seed << ":8106\"\n";
        }
        out << "bootstrap: " << (is_first ? "true" : "false")
            << "\nfaultCounted: false\nlimits: {cpuShare: 0.25, cpuCores: 1, "
               "memoryMb: 260, fdLimit: 4100, linkMbps: 1000.0, diskMb: 0}\n"
               "dataDir: null\ndiscovery: platform\nentryPoint: directory\n"
               "heartbeatIntervalMs: 1200\n"
               "contracts: [base, drain, config, cost, retry, recover, scatter, "
               "places, platform]\n"
               "faultTolerance: {machines: 2, zones: 1, regions: 0}\nbounds:\n"
               "  seedLagS: 3\n  addressReuseS: 2\n  stabilityWindowMs: 4000\n"
               "  ackTimeoutMs: 5000\n  catchUpS: 4\n  drainTimeoutMs: 3000\n"
               "  gracePeriodS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n"
               "  regressionMs: 250\n  maxStretchMs: 12000\n"
               "  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n"
               "  retryBudgetSlack: 56\n  warmupOvershoot: 1.5\n"
               "  warmupSlack: 5\n  evacuationMs: 5000\n  recoveryS: 12\n"
               "  ttl_max_s: 5\n"
            << extra_bounds << "platform:\n  address: \"" << store_address
            << "\"\n  form: kv\n  writesPerS: 400\n  readsPerS: 2000\n"
               "  historyS: 20\n  maxValueBytes: 1048576\n  minTtlMs: 1000\n";
    }

    std::string folder;
    std::string store_address;
    std::vector<std::string> seeds;
    std::string extra_bounds;
    pid_t process = 0;
};

/// What a caller saw of one request.
struct call
{
    std::string id;
    clock_type::time_point sent_at;
    int status = 0; ///< 0: no answer
    std::string body;
};

inline std::string request_text(const std::string& method,
                                const std::string& target,
                                const std::string& id,
                                milliseconds deadline,
                                const field_list& more = {},
                                const std::string& body = {})
{
    std::string text = method + " " + target +
                       " HTTP/1.1\r\nHost: tienda.example\r\nX-Request-Id: " + id +
                       "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
                       "\r\n";
    for (const auto& [name, value] : more)
    {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty())
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// Sends a request on a new connection and waits for the answer.
inline call send_request(record& log,
                         const std::string& ip,
                         const std::string& target,
                         const std::string& id,
                         milliseconds deadline = milliseconds(1500),
                         const std::string& method = "GET",
                         const std::string& body = {})
{
    call result{id, clock_type::now(), 0, {}};
    auto to = connection::open(ip, 8104);
    if (to.is_open() &&
        to.write(request_text(method, target, id, deadline, {}, body)))
    {
        const auto answer = read_message(to, deadline);
        result.status = answer ? answer->status() : 0;
        result.body = answer ? answer->body : "";
    }
    log.line("caller: request %s to %s sent at %.3f, answer %d",
             id.c_str(),
             ip.c_str(),
             log.seconds(result.sent_at),
             result.status);
    return result;
}

/// Loopback addresses for this case that nobody else uses.
class address_block
{
  public:
    address_block()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 50; ++attempt)
        {
            prefix = "127." + std::to_string(20 + random() % 200) + "." +
                     std::to_string(random() % 250) + ".";
            if (is_free(8104) && is_free(8108) && is_free(8100) && is_free(7380))
            {
                return;
            }
        }
        std::exit(could_not_run);
    }

    [[nodiscard]] std::string ip(int number) const
    {
        return prefix + std::to_string(number);
    }

  private:
    [[nodiscard]] bool is_free(int port) const
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto own = address_of(ip(1), port);
        const bool result =
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0;
        ::close(descriptor);
        return result;
    }

    std::string prefix;
};

/// Waits until a condition holds; false after the timeout.
inline bool wait_until(const std::function<bool()>& condition, milliseconds timeout)
{
    const auto end = clock_type::now() + timeout;
    while (!condition())
    {
        if (clock_type::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

inline std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// A route of the configuration to one service.
inline json::object route_to(const std::string& name,
                             const std::string& prefix,
                             const std::string& service,
                             bool is_idempotent)
{
    return {{"name", name},
            {"host", "tienda.example"},
            {"prefix", prefix},
            {"type", is_idempotent ? "idempotent" : "non_idempotent"},
            {"timeoutMs", 1500},
            {"targetLatencyMs", 250},
            {"priority", 2},
            {"service", service},
            {"maxAttempts", 2}};
}

inline json::object service_named(const std::string& name, double cold_per_second)
{
    return {{"name", name},
            {"healthCheckPath", "/healthz"},
            {"maxConnections", 110},
            {"protocol", "h1"},
            {"tlsEnabled", false},
            {"warmupS", 3.0},
            {"warmupPerS", cold_per_second}};
}

inline std::string configuration(int version,
                                 json::array routes,
                                 json::array services,
                                 int body_limit = 262144)
{
    return json::serialize(json::object{{"version", version},
                                        {"routes", std::move(routes)},
                                        {"services", std::move(services)},
                                        {"limits",
                                         {{"maxHeaderBytes", 16384},
                                          {"maxBodyBytes", body_limit},
                                          {"headerTimeoutMs", 3000},
                                          {"idleTimeoutMs", 15000}}}});
}

/// Ends the relays and this process, without waiting for its threads.
template <class Relays>
[[noreturn]] void finish(Relays& relays, exit_code code)
{
    for (auto& item : relays)
    {
        item->kill();
    }
    std::fflush(nullptr);
    std::_Exit(code);
}

/// The arguments of a case: record file, temporary folder, trouble (0 or 1).
struct case_arguments
{
    std::string record_file;
    std::string folder;
    bool has_trouble;

    case_arguments(int count, char** values)
    {
        if (count != 4)
        {
            std::exit(could_not_run);
        }
        record_file = values[1];
        folder = values[2];
        has_trouble = std::string(values[3]) != "0";
        ::signal(SIGPIPE, SIG_IGN);
    }
};

} // namespace review
