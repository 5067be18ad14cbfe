/// @file
/// @brief A small deployment on loopback addresses: the store and the operator,
///        replicas, and relay processes of the build of the deploy file.
#pragma once

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "store.hpp"

namespace review
{

/// Exit codes of a case.
enum outcome
{
    rule_held = 0,
    rule_broken = 1,
    could_not_run = 2,
};

/// What was sent, answered and run, with the time since the start.
class record
{
  public:
    explicit record(const std::string& path) : out(path)
    {
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(this->mutex);
        const std::chrono::duration<double> time = clock::now() - this->started;
        char text[32];
        std::snprintf(text, sizeof(text), "%9.3f ", time.count());
        this->out << text << line << std::endl;
    }

  private:
    std::mutex mutex;
    std::ofstream out;
    clock::time_point started = clock::now();
};

/// A replica that registers itself and serves one request at a time on each
/// connection.
class replica
{
  public:
    struct settings
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string ip;
        unsigned slots = 2;
        unsigned queue = 12;
        milliseconds work{10};
    };

    /// Called before a request is handled, with the previous answer on the
    /// connection; returns bytes to send first.
    using before_handler =
        std::function<std::string(const message&, const std::string&)>;

    replica(settings own, store& registry, record& log)
        : own(std::move(own)), registry(registry), log(log)
    {
    }

    ~replica()
    {
        this->crash();
    }

    void start()
    {
        this->is_up = true;
        this->running = 0;
        this->server = std::make_unique<listener>(this->own.ip,
                                                  this->port,
                                                  [this](stream& connection)
                                                  {
                                                      this->serve(connection);
                                                  });
        this->port = this->server->port;
        this->born = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        this->sequence = 0;
        this->heart = std::thread(
            [this]
            {
                this->beat();
            });
        this->log.write("replica " + this->own.id + " starts");
    }

    /// Ends as a killed process does. The entry expires after three heartbeats.
    void crash()
    {
        if (!this->is_up.exchange(false))
        {
            return;
        }
        this->log.write("replica " + this->own.id + " crashes");
        this->server.reset();
        this->heart.join();
    }

    void expire_entry()
    {
        this->registry.remove("servers/" + this->own.id);
    }

    before_handler before;

    /// Tells whether the answer to a request is broken off.
    std::function<bool(const message&)> breaks_off;

    /// Log lines for each request that runs.
    bool logs_runs = true;

    [[nodiscard]] unsigned times_run(const std::string& id)
    {
        const std::lock_guard lock(this->mutex);
        return this->runs[id];
    }

    [[nodiscard]] std::map<std::string, unsigned> all_runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->runs;
    }

    const settings own;

  private:
    void beat()
    {
        while (this->is_up)
        {
            std::ostringstream entry;
            entry << R"({"service":")" << this->own.service
                  << R"(","address":")" << this->own.ip << ":" << this->port
                  << R"(","zone":")" << this->own.zone
                  << R"(","version":"v1","capacity":)" << this->own.slots
                  << R"(,"state":"ready","warmupRemainingMs":0,"sequence":)"
                  << ++this->sequence << R"(,"born":)" << this->born << "}";
            this->registry.put("servers/" + this->own.id, entry.str());
            for (int i = 0; i < 24 && this->is_up; ++i)
            {
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
    }

    [[nodiscard]] std::string load() const
    {
        const unsigned busy = this->running;
        return std::to_string(std::min(busy, this->own.slots)) + "," +
               std::to_string(busy > this->own.slots ? busy - this->own.slots
                                                     : 0) +
               "," + std::to_string(this->own.slots);
    }

    void serve(stream& connection)
    {
        message request;
        std::string previous;
        while (this->is_up &&
               read_message(
                   connection, request, clock::now() + std::chrono::minutes(1)))
        {
            const auto extra =
                this->before ? this->before(request, previous) : "";
            if (!extra.empty() && !connection.write(extra))
            {
                return;
            }
            previous = this->handle(request);
            const bool is_broken_off =
                this->breaks_off && this->breaks_off(request);
            if (is_broken_off)
            {
                connection.write(previous.substr(0, previous.size() / 2));
                return;
            }
            if (!this->is_up || !connection.write(previous))
            {
                return;
            }
        }
    }

    std::string handle(const message& request)
    {
        const auto id = request.field("x-request-id");
        std::vector<std::pair<std::string, std::string>> fields{
            {"X-Replica-Id", this->own.id}, {"X-Replica-Load", this->load()}};
        if (!id.empty())
        {
            fields.emplace_back("X-Request-Id", id);
        }
        const auto expected = request.field("x-expect-replica");
        if (!expected.empty() && expected != this->own.id)
        {
            return make_answer(421, fields, "");
        }
        const bool is_head = request.word(0) == "HEAD";
        if (++this->running > this->own.slots + this->own.queue)
        {
            --this->running;
            fields.emplace_back("X-Not-Executed", "1");
            return make_answer(503, fields, "", is_head);
        }
        if (request.word(1) == "/healthz")
        {
            --this->running;
            return make_answer(200, fields, "", is_head);
        }
        {
            const std::lock_guard lock(this->mutex);
            ++this->runs[id];
        }
        if (this->logs_runs || request.word(1).rfind("/book/", 0) == 0)
        {
            this->log.write("replica " + this->own.id + " runs " + id + " " +
                            request.word(0) + " " + request.word(1));
        }
        const auto asked = request.word(1).find("work=");
        const milliseconds work =
            asked == std::string::npos
                ? this->own.work
                : milliseconds(std::atoi(request.word(1).c_str() + asked + 5));
        std::this_thread::sleep_for(work);
        --this->running;
        fields.emplace_back("X-Server-Stamp",
                            "stamp." + this->own.id + "." + id);
        return make_answer(
            200, fields, "answer to " + id + " " + request.word(1), is_head);
    }

    store& registry;
    record& log;
    std::uint16_t port = 0;
    std::unique_ptr<listener> server;
    std::thread heart;
    std::atomic<bool> is_up{false};
    std::atomic<unsigned> running{0};
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
    std::mutex mutex;
    std::map<std::string, unsigned> runs;
};

/// The relay processes: two in each of two zones, on addresses of their own.
class relay_fleet
{
  public:
    struct node
    {
        std::string name;
        std::string zone;
        std::string ip;
        std::uint16_t callers = 0;
        std::uint16_t ready = 0;
        std::uint16_t directory = 0;
        pid_t pid = 0;
    };

    relay_fleet(std::string program, std::string folder, std::string store)
        : program(std::move(program)), folder(std::move(folder)),
          store(std::move(store))
    {
        for (int i = 0; i < 4; ++i)
        {
            const std::string zone = i < 2 ? "north" : "south";
            this->nodes.push_back(
                {"frontend-" + zone + "-" + std::to_string(i % 2 + 1),
                 zone,
                 "127.0.0." + std::to_string(11 + i)});
        }
        this->choose_ports();
    }

    ~relay_fleet()
    {
        for (auto& item : this->nodes)
        {
            if (item.pid > 0)
            {
                ::kill(item.pid, SIGKILL);
                ::waitpid(item.pid, nullptr, 0);
            }
        }
    }

    relay_fleet(const relay_fleet&) = delete;
    relay_fleet& operator=(const relay_fleet&) = delete;

    /// Starts all processes. Returns false if they do not become ready.
    bool start()
    {
        for (auto& item : this->nodes)
        {
            this->start(item);
        }
        const auto until = clock::now() + std::chrono::seconds(20);
        for (auto& item : this->nodes)
        {
            while (!is_ready(item))
            {
                if (clock::now() >= until)
                {
                    return false;
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        // Traffic starts 10 s after the machines do.
        std::this_thread::sleep_for(std::chrono::seconds(5));
        return true;
    }

    /// Starts a process that has ended.
    void restart(node& item)
    {
        this->start(item);
    }

    /// Tells whether a process has ended by itself.
    bool has_ended(node& item)
    {
        int status = 0;
        if (item.pid > 0 && ::waitpid(item.pid, &status, WNOHANG) == item.pid)
        {
            item.pid = 0;
        }
        return item.pid == 0;
    }

    std::vector<node> nodes;

  private:
    static bool is_free(const std::string& ip, std::uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = to_sockaddr(ip, port);
        const bool result =
            ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
        ::close(fd);
        return result;
    }

    void choose_ports()
    {
        for (this->first_port = 21000; this->first_port < 32000;
             this->first_port += 20)
        {
            bool all_free = true;
            for (const auto& item : this->nodes)
            {
                for (int i = 0; i < 20; ++i)
                {
                    all_free = all_free && is_free(item.ip,
                                                   static_cast<std::uint16_t>(
                                                       this->first_port + i));
                }
            }
            if (all_free)
            {
                break;
            }
        }
        for (auto& item : this->nodes)
        {
            item.directory = this->first_port + 16;
            item.callers = this->first_port + 17;
            item.ready = this->first_port + 18;
        }
    }

    void write_settings(const node& item, const std::string& path) const
    {
        std::ofstream out(path);
        out << "nodeName: \"" << item.name << "\"\nrole: \"relay\"\n"
            << "machineClass: \"frontend\"\nserves:\n  - \"frontend\"\n"
            << "  - \"control_plane\"\n  - \"directory\"\nipAddress: \""
            << item.ip << "\"\nzone: \"" << item.zone
            << "\"\nregion: \"east\"\nzones:\n  north: \"east\"\n"
            << "  south: \"east\"\nlistenAddresses:\n  frontend: \"" << item.ip
            << ":" << item.callers << "\"\n  ready: \"" << item.ip << ":"
            << item.ready << "\"\n  controlPlane: \"" << item.ip << ":"
            << this->first_port + 19 << "\"\n  directory: \"" << item.ip << ":"
            << item.directory << "\"\ninternalPortRange:\n  - "
            << this->first_port << "\n  - " << this->first_port + 15
            << "\nseedNodes:\n";
        for (std::size_t i = 0; i < 3; ++i)
        {
            out << "  - \"" << this->nodes[i].ip << ":" << this->first_port + 19
                << "\"\n";
        }
        out << "bootstrap: true\nfaultCounted: false\nlimits:\n"
               "  cpuShare: 0.25\n  cpuCores: 1\n  memoryMb: 260\n"
               "  fdLimit: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
               "dataDir: null\ndiscovery: \"platform\"\n"
               "entryPoint: \"directory\"\nheartbeatIntervalMs: 1200\n"
               "contracts: [\"base\", \"drain\", \"config\", \"cost\", "
               "\"retry\", \"recover\", \"scatter\", \"places\", "
               "\"platform\"]\nfaultTolerance:\n  machines: 2\n  zones: 1\n"
               "  regions: 0\nbounds:\n  seedLagS: 3\n  addressReuseS: 2\n"
               "  stabilityWindowMs: 4000\n  ackTimeoutMs: 5000\n"
               "  catchUpS: 4\n  drainTimeoutMs: 3000\n  gracePeriodS: 6\n"
               "  lossSlackMs: 200\n  configApplyMs: 3000\n"
               "  regressionMs: 250\n  maxStretchMs: 12000\n"
               "  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n"
               "  retryBudgetSlack: 56\n  warmupOvershoot: 1.5\n"
               "  warmupSlack: 5\n  evacuationMs: 5000\n  recoveryS: 12\n"
               "  ttl_max_s: 5\nplatform:\n  address: \""
            << this->store
            << "\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n"
               "  historyS: 20\n  maxValueBytes: 1048576\n  minTtlMs: 1000\n";
    }

    void start(node& item)
    {
        const auto path = this->folder + "/" + item.name + ".yaml";
        this->write_settings(item, path);
        std::string command = "relay";
        std::string file = "HAWTHORNRELAY_NODE_FILE=" + path;
        char* arguments[] = {this->program.data(), command.data(), nullptr};
        char* environment[] = {file.data(), nullptr};
        const auto log = this->folder + "/" + item.name + ".log";
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        item.pid = ::fork();
        if (item.pid == 0)
        {
            // The process ends with this one, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execve(arguments[0], arguments, environment);
            ::_exit(127);
        }
        ::close(out);
    }

    static bool is_ready(const node& item)
    {
        const auto connection = stream::connect(item.ip, item.ready);
        message answer;
        return connection != nullptr &&
               connection->write("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n"
                                 "Connection: close\r\n\r\n") &&
               read_message(*connection,
                            answer,
                            clock::now() + std::chrono::seconds(1)) &&
               answer.status() == 200;
    }

    std::string program;
    std::string folder;
    std::string store;
    std::uint16_t first_port = 0;
};

/// A route of the operator's configuration.
struct route
{
    std::string prefix;
    std::string type;
    std::string service;
    unsigned timeout_ms = 1500;
};

constexpr const char* host = "shop.example";

/// Writes a configuration with one service for each that a route names.
inline void configure(store& platform,
                      unsigned version,
                      const std::vector<route>& routes,
                      std::size_t max_header_bytes = 16384)
{
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"routes":[)";
    std::set<std::string> services;
    for (const auto& item : routes)
    {
        text << (services.empty() ? "" : ",") << R"({"name":"r)"
             << item.prefix.substr(1, item.prefix.size() - 2) << R"(","host":")"
             << host << R"(","prefix":")" << item.prefix << R"(","type":")"
             << item.type << R"(","timeoutMs":)" << item.timeout_ms
             << R"(,"targetLatencyMs":250,"priority":1,"service":")"
             << item.service << R"(","maxAttempts":2})";
        services.insert(item.service);
    }
    text << R"(],"services":[)";
    bool is_first = true;
    for (const auto& name : services)
    {
        text << (is_first ? "" : ",") << R"({"name":")" << name
             << R"(","healthCheckPath":"/healthz","maxConnections":110,)"
             << R"("protocol":"h1","tlsEnabled":false,"warmupS":3.0,)"
             << R"("warmupPerS":0.0})";
        is_first = false;
    }
    text << R"(],"limits":{"maxHeaderBytes":)" << max_header_bytes
         << R"(,"maxBodyBytes":262144,)"
         << R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    platform.put("op/config", text.str());
}

inline std::string request_id(unsigned number)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%016x", 0x5a000000U + number);
    return text;
}

inline std::string make_request(const std::string& method,
                                const std::string& target,
                                const std::string& id,
                                unsigned deadline_ms = 1500)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host +
           "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n";
}

/// True unless the environment has TROUBLE=0.
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// A temporary folder that is removed at the end.
class temporary_folder
{
  public:
    temporary_folder()
    {
        const char* parent = std::getenv("TMPDIR");
        this->path =
            std::string(parent == nullptr ? "/tmp" : parent) + "/review.XXXXXX";
        ::mkdtemp(this->path.data());
    }

    ~temporary_folder()
    {
        const auto command = "rm -rf " + this->path;
        if (std::system(command.c_str()) != 0)
        {
            std::perror("rm");
        }
    }

    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string path;
};

} // namespace review
