// Stand-ins of the platform for the scripts of the third review: the store, the
// operator, replicas and clients run in this process on loopback addresses; the
// relay nodes are processes of their own, started with the deploy file's
// command.
#pragma once

#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/strings/escaping.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <adapters/http/client.hpp>
#include <adapters/http/server.hpp>

namespace rig
{

namespace json = boost::json;
namespace http = hawthornrelay::adapters::http;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of the scripts.
enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    not_run = 2
};

/// Writes `record.txt`: one line an event, with seconds since the start.
class recorder
{
  public:
    explicit recorder(const std::string& path)
        : out(path), started(clock::now())
    {
    }

    template <class... Args>
    void line(fmt::format_string<Args...> text, Args&&... args)
    {
        this->out << fmt::format("{:8.3f} ", this->seconds())
                  << fmt::format(text, std::forward<Args>(args)...) << "\n";
    }

    template <class... Args>
    void say(fmt::format_string<Args...> text, Args&&... args)
    {
        const auto body = fmt::format(text, std::forward<Args>(args)...);
        this->line("{}", body);
        fmt::print("{:8.3f} {}\n", this->seconds(), body);
        std::fflush(stdout);
    }

    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(clock::now() - this->started)
            .count();
    }

  private:
    std::ofstream out;
    clock::time_point started;
};

/// Runs a function after a time.
inline void after(boost::asio::io_context& io,
                  milliseconds time,
                  std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, time);
    timer->async_wait(
        [timer, task = std::move(task)](const boost::system::error_code& error)
        {
            if (!error)
            {
                task();
            }
        });
}

/// The metadata store: linearizable, with watches, leases and 20 s of history.
class store
{
  public:
    store(boost::asio::io_context& io, const std::string& ip) : io(io), ip(ip)
    {
        http::server_handlers handlers;
        handlers.on_request =
            [this](const http::request& message, const http::responder& respond)
        {
            this->handle(message,
                         [this, respond](http::response answer)
                         {
                             this->answer_later(respond, std::move(answer));
                         });
        };
        http::server_limits limits;
        limits.body_bytes = 64U << 20U;
        this->listener = std::move(
            *http::server::listen(io, ip, 0, std::move(handlers), limits));
        this->expire();
    }

    [[nodiscard]] std::string address() const
    {
        return this->ip + ":" + std::to_string(this->listener->port());
    }

    std::uint64_t put(const std::string& key,
                      const std::string& value,
                      std::uint64_t lease = 0)
    {
        auto& item = this->items[key];
        item.created = item.revision == 0 ? this->revision + 1 : item.created;
        item.revision = ++this->revision;
        item.value = absl::Base64Escape(value);
        item.lease = lease;
        this->record(key);
        return this->revision;
    }

    void remove(const std::string& key)
    {
        if (this->items.erase(key) > 0)
        {
            ++this->revision;
            this->record(key);
        }
    }

    [[nodiscard]] std::size_t count(const std::string& prefix) const
    {
        std::size_t result = 0;
        for (const auto& [key, item] : this->items)
        {
            result += key.starts_with(prefix) ? 1 : 0;
        }
        return result;
    }

    /// Called with each answer to a watch: events and bytes.
    std::function<void(std::size_t events, std::size_t bytes)> on_watch;
    /// How long an answer takes.
    milliseconds answer_time{4};

  private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct change
    {
        clock::time_point at;
        std::string key;
        bool is_removed = false;
        item content;
    };

    struct lease
    {
        clock::time_point until;
        milliseconds time_to_live{0};
    };

    struct watcher
    {
        std::uint64_t after = 0;
        std::string prefix;
        http::responder respond;
        bool is_done = false;
    };

    static std::string parameter(const std::string& target,
                                 const std::string& name)
    {
        const auto query = "&" + target.substr(target.find('?') + 1);
        const auto at = query.find("&" + name + "=");
        if (at == std::string::npos)
        {
            return {};
        }
        const auto begin = at + name.size() + 2;
        const auto raw = query.substr(begin, query.find('&', begin) - begin);
        std::string text;
        for (std::size_t i = 0; i < raw.size(); ++i)
        {
            if (raw[i] == '%' && i + 2 < raw.size())
            {
                text += static_cast<char>(
                    std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
            {
                text += raw[i];
            }
        }
        return text;
    }

    static void reply(const http::responder& respond,
                      unsigned status,
                      const json::object& body)
    {
        http::response answer;
        answer.status = status;
        answer.body = json::serialize(body);
        respond(std::move(answer));
    }

    void answer_later(const http::responder& respond, http::response answer)
    {
        auto kept = std::make_shared<http::response>(std::move(answer));
        after(this->io,
              this->answer_time,
              [respond, kept]
              {
                  respond(std::move(*kept));
              });
    }

    static json::object to_json(const std::string& key, const item& content)
    {
        return {{"key", key},
                {"value", content.value},
                {"revision", content.revision},
                {"createdRevision", content.created},
                {"leaseId", content.lease}};
    }

    void record(const std::string& key)
    {
        const auto found = this->items.find(key);
        change entry{clock::now(), key, found == this->items.end(), {}};
        if (!entry.is_removed)
        {
            entry.content = found->second;
        }
        entry.content.revision = this->revision;
        this->history.push_back(std::move(entry));
        this->answer_watchers();
    }

    void answer_watchers()
    {
        const auto due = std::exchange(this->watchers, {});
        for (const auto& item : due)
        {
            if (!this->answer(*item, false))
            {
                this->watchers.push_back(item);
            }
        }
    }

    /// Answers a watch if it has events, or in any case at its end.
    bool answer(watcher& from, bool is_over)
    {
        if (from.is_done)
        {
            return true;
        }
        if (from.after < this->history_begins)
        {
            from.is_done = true;
            reply(from.respond, 410, {});
            return true;
        }
        json::array events;
        for (const auto& entry : this->history)
        {
            if (entry.content.revision <= from.after ||
                !entry.key.starts_with(from.prefix))
            {
                continue;
            }
            events.push_back(
                entry.is_removed
                    ? json::object{{"key", entry.key},
                                   {"revision", entry.content.revision},
                                   {"compacted", true}}
                    : to_json(entry.key, entry.content));
        }
        if (events.empty() && !is_over)
        {
            return false;
        }
        from.is_done = true;
        const auto count = events.size();
        http::response answer;
        answer.body = json::serialize(json::object{
            {"events", std::move(events)}, {"atRevision", this->revision}});
        if (this->on_watch)
        {
            this->on_watch(count, answer.body.size());
        }
        from.respond(std::move(answer));
        return true;
    }

    void handle(const http::request& message, const http::responder& respond)
    {
        const auto& target = message.target;
        const auto path = target.substr(0, target.find('?'));
        if (path == "/v1/kv-range")
        {
            this->list(target, respond);
        }
        else if (path == "/v1/kv-key")
        {
            const auto key = parameter(target, "key");
            const auto found = this->items.find(key);
            if (found == this->items.end())
            {
                reply(respond, 404, {});
                return;
            }
            auto body = to_json(key, found->second);
            body["atRevision"] = this->revision;
            reply(respond, 200, body);
        }
        else if (path == "/v1/kv-watch")
        {
            auto item = std::make_shared<watcher>();
            item->after = std::stoull(parameter(target, "after"));
            item->prefix = parameter(target, "prefix");
            item->respond = respond;
            const milliseconds wait(std::stol(parameter(target, "waitMs")));
            if (this->answer(*item, false))
            {
                return;
            }
            this->watchers.push_back(item);
            after(this->io,
                  wait,
                  [this, item]
                  {
                      this->answer(*item, true);
                      std::erase(this->watchers, item);
                  });
        }
        else if (path == "/v1/kv-lease")
        {
            const milliseconds time(json::parse(message.body)
                                        .at("ttlMs")
                                        .to_number<std::int64_t>());
            const auto id = ++this->last_lease;
            this->leases[id] = {clock::now() + time, time};
            reply(respond, 200, {{"leaseId", id}, {"ttlMs", time.count()}});
        }
        else if (path.starts_with("/v1/kv-keep/"))
        {
            const auto found = this->leases.find(std::stoull(path.substr(12)));
            if (found == this->leases.end())
            {
                reply(respond, 404, {});
                return;
            }
            found->second.until = clock::now() + found->second.time_to_live;
            reply(
                respond, 200, {{"ttlMs", found->second.time_to_live.count()}});
        }
        else if (path.starts_with("/v1/kv-lease-end/"))
        {
            const auto id = std::stoull(path.substr(17));
            const bool is_known = this->leases.erase(id) > 0;
            this->remove_keys_of(id);
            reply(respond, is_known ? 200 : 404, {});
        }
        else if (path == "/v1/kv-txn")
        {
            this->transact(message.body, respond);
        }
        else
        {
            reply(respond, 404, {});
        }
    }

    void list(const std::string& target, const http::responder& respond)
    {
        constexpr std::size_t max_items = 500;
        constexpr std::size_t max_bytes = 1U << 20U;
        const auto prefix = parameter(target, "prefix");
        json::array page;
        std::size_t bytes = 0;
        auto next = this->items.upper_bound(parameter(target, "after"));
        for (; next != this->items.end() && page.size() < max_items &&
               bytes < max_bytes;
             ++next)
        {
            if (next->first.starts_with(prefix))
            {
                page.push_back(to_json(next->first, next->second));
                bytes += next->second.value.size();
            }
        }
        reply(respond,
              200,
              {{"items", std::move(page)},
               {"hasMore", next != this->items.end()},
               {"atRevision", this->revision}});
    }

    void transact(const std::string& body, const http::responder& respond)
    {
        const auto parsed = json::parse(body);
        json::array conflicts;
        for (const auto& row : parsed.at("expected").as_array())
        {
            const auto found =
                this->items.find(std::string(row.at("key").as_string()));
            const auto known =
                found == this->items.end() ? 0 : found->second.revision;
            if (known != row.at("revision").to_number<std::uint64_t>())
            {
                reply(respond, 412, {{"items", std::move(conflicts)}});
                return;
            }
        }
        for (const auto& row : parsed.at("puts").as_array())
        {
            const auto id = row.at("leaseId").to_number<std::uint64_t>();
            if (id != 0 && !this->leases.contains(id))
            {
                reply(respond, 404, {});
                return;
            }
        }
        for (const auto& row : parsed.at("puts").as_array())
        {
            std::string value;
            absl::Base64Unescape(std::string(row.at("value").as_string()),
                                 &value);
            this->put(std::string(row.at("key").as_string()),
                      value,
                      row.at("leaseId").to_number<std::uint64_t>());
        }
        for (const auto& row : parsed.at("remove").as_array())
        {
            this->remove(std::string(row.as_string()));
        }
        reply(respond, 200, {{"revision", this->revision}});
    }

    void remove_keys_of(std::uint64_t id)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : this->items)
        {
            if (item.lease == id)
            {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys)
        {
            this->remove(key);
        }
    }

    void expire()
    {
        const auto now = clock::now();
        std::vector<std::uint64_t> ended;
        for (const auto& [id, item] : this->leases)
        {
            if (item.until <= now)
            {
                ended.push_back(id);
            }
        }
        for (const auto id : ended)
        {
            this->leases.erase(id);
            this->remove_keys_of(id);
        }
        // The pages promise `historyS` (20 s) of history.
        while (!this->history.empty() &&
               now - this->history.front().at > std::chrono::seconds(20))
        {
            this->history_begins = this->history.front().content.revision;
            this->history.erase(this->history.begin());
        }
        after(this->io,
              milliseconds(50),
              [this]
              {
                  this->expire();
              });
    }

    boost::asio::io_context& io;
    std::string ip;
    std::unique_ptr<http::server> listener;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease> leases;
    std::vector<change> history;
    std::vector<std::shared_ptr<watcher>> watchers;
    std::uint64_t revision = 100;
    std::uint64_t history_begins = 100;
    std::uint64_t last_lease = 1000;
};

/// A replica: runs `slots` requests at a time and queues a few more.
class replica
{
  public:
    struct arrival
    {
        clock::time_point at;
        std::string request;
        std::string path;
        bool is_cold = false;
    };

    replica(boost::asio::io_context& io,
            store& registry,
            const std::string& ip,
            std::string id,
            std::string service,
            std::string zone,
            milliseconds work)
        : id(std::move(id)), service(std::move(service)), zone(std::move(zone)),
          io(io), registry(registry), ip(ip), work(work)
    {
        http::server_handlers handlers;
        handlers.on_request =
            [this](const http::request& message, const http::responder& respond)
        {
            this->handle(message, respond);
        };
        http::server_limits limits;
        limits.connections = 64;
        this->listener = std::move(
            *http::server::listen(io, ip, 0, std::move(handlers), limits));
        this->born = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    }

    /// Registers and goes on to write a heartbeat each `heartbeatIntervalMs`.
    void start(milliseconds phase)
    {
        this->write_entry();
        after(this->io,
              phase,
              [this]
              {
                  this->beat();
              });
    }

    /// Becomes cold, as the pages allow it at any moment.
    void become_cold(milliseconds time)
    {
        this->cold_until = clock::now() + time;
    }

    [[nodiscard]] bool is_cold() const
    {
        return clock::now() < this->cold_until;
    }

    void write_entry()
    {
        const auto left = std::chrono::duration_cast<milliseconds>(
            this->cold_until - clock::now());
        this->registry.put(
            "servers/" + this->id,
            json::serialize(json::object{
                {"service", this->service},
                {"address",
                 this->ip + ":" + std::to_string(this->listener->port())},
                {"zone", this->zone},
                {"version", "v1"},
                {"capacity", slots},
                {"state", this->is_draining ? "draining" : "ready"},
                {"warmupRemainingMs", std::max<long>(0, left.count())},
                {"sequence", ++this->sequence},
                {"born", this->born}}));
    }

    static constexpr unsigned slots = 4;
    static constexpr std::size_t max_queue = 16;
    static constexpr milliseconds heartbeat_interval{1200};

    std::string id;
    std::string service;
    std::string zone;
    bool is_draining = false;
    std::vector<arrival> arrivals;
    std::function<void(const replica&, const arrival&)> on_arrival;

  private:
    struct queued
    {
        http::request message;
        http::responder respond;
    };

    void beat()
    {
        this->write_entry();
        after(this->io,
              heartbeat_interval,
              [this]
              {
                  this->beat();
              });
    }

    void add_state(http::response& answer) const
    {
        answer.content_type.clear();
        answer.fields.emplace_back(
            "X-Replica-Load",
            fmt::format("{},{},{}", this->running, this->queue.size(), slots));
    }

    void handle(const http::request& message, const http::responder& respond)
    {
        http::response answer;
        const auto expected = http::header(message.headers, "x-expect-replica");
        const auto request_id = http::header(message.headers, "x-request-id");
        if (!request_id.empty())
        {
            answer.fields.emplace_back("X-Request-Id", std::string(request_id));
        }
        if (!expected.empty() && expected != this->id)
        {
            answer.status = 421;
            answer.fields.emplace_back("X-Replica-Id", this->id);
            answer.fields.emplace_back("X-Not-Executed", "1");
            respond(std::move(answer));
            return;
        }
        if (message.target == "/healthz")
        {
            answer.status = this->is_draining ? 503 : 200;
            answer.fields.emplace_back("X-Replica-Id", this->id);
            if (this->is_cold())
            {
                const auto left = std::chrono::duration_cast<milliseconds>(
                    this->cold_until - clock::now());
                answer.fields.emplace_back("X-Warmup-Ms",
                                           std::to_string(left.count()));
            }
            this->add_state(answer);
            respond(std::move(answer));
            return;
        }
        if (request_id.empty())
        {
            answer.status = 400;
            answer.fields.emplace_back("X-Not-Executed", "1");
            respond(std::move(answer));
            return;
        }
        this->arrivals.push_back({clock::now(),
                                  std::string(request_id),
                                  message.target,
                                  this->is_cold()});
        if (this->on_arrival)
        {
            this->on_arrival(*this, this->arrivals.back());
        }
        if (this->queue.size() >= max_queue)
        {
            answer.status = 503;
            answer.fields.emplace_back("X-Not-Executed", "1");
            this->add_state(answer);
            respond(std::move(answer));
            return;
        }
        this->queue.push_back({message, respond});
        this->run_next();
    }

    void run_next()
    {
        if (this->running >= slots || this->queue.empty())
        {
            return;
        }
        auto next = std::move(this->queue.front());
        this->queue.erase(this->queue.begin());
        ++this->running;
        after(this->io,
              this->work,
              [this, next = std::move(next)]
              {
                  --this->running;
                  http::response answer;
                  const std::string request_id(
                      http::header(next.message.headers, "x-request-id"));
                  answer.fields.emplace_back("X-Request-Id", request_id);
                  answer.fields.emplace_back(
                      "X-Server-Stamp",
                      fmt::format(
                          "{}.{}.{}", this->service, this->id, request_id));
                  this->add_state(answer);
                  answer.body = this->service + " ran " + request_id;
                  next.respond(std::move(answer));
                  this->run_next();
              });
    }

    boost::asio::io_context& io;
    store& registry;
    std::string ip;
    milliseconds work;
    std::unique_ptr<http::server> listener;
    std::vector<queued> queue;
    unsigned running = 0;
    std::uint64_t sequence = 0;
    std::int64_t born = 0;
    clock::time_point cold_until{};
};

/// The processes that were started, for the end by a signal.
inline std::set<pid_t>& started_processes()
{
    static std::set<pid_t> processes;
    return processes;
}

/// Ends the processes that were started if this one is ended by a signal.
inline void end_with_signals()
{
    const auto end = [](int)
    {
        for (const auto pid : started_processes())
        {
            ::kill(pid, SIGKILL);
        }
        ::_exit(not_run);
    };
    std::signal(SIGTERM, end);
    std::signal(SIGINT, end);
}

/// A relay node: a process of the program of the deploy file.
class node
{
  public:
    node(std::string name,
         std::string zone,
         std::string ip,
         std::string folder,
         std::string settings)
        : name(std::move(name)), zone(std::move(zone)), ip(std::move(ip)),
          folder(std::move(folder)), settings(std::move(settings))
    {
    }

    ~node()
    {
        this->kill();
    }

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    bool start()
    {
        const auto path = this->folder + "/" + this->name + ".yaml";
        std::ofstream(path) << this->settings;
        std::string program = "target/hawthornrelay";
        std::string command = "relay";
        std::string variable = "HAWTHORNRELAY_NODE_FILE=" + path;
        std::string home = "HOME=/tmp";
        char* arguments[] = {program.data(), command.data(), nullptr};
        char* environment[] = {variable.data(), home.data(), nullptr};
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        const auto log = this->folder + "/" + this->name + ".log";
        posix_spawn_file_actions_addopen(
            &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        const bool is_started = posix_spawn(&this->pid,
                                            program.c_str(),
                                            &actions,
                                            nullptr,
                                            arguments,
                                            environment) == 0;
        posix_spawn_file_actions_destroy(&actions);
        if (is_started)
        {
            started_processes().insert(this->pid);
        }
        return is_started;
    }

    void signal(int number) const
    {
        if (this->pid > 0)
        {
            ::kill(this->pid, number);
        }
    }

    [[nodiscard]] bool has_ended()
    {
        int status = 0;
        if (this->pid > 0 &&
            ::waitpid(this->pid, &status, WNOHANG) == this->pid)
        {
            started_processes().erase(this->pid);
            this->pid = 0;
        }
        return this->pid <= 0;
    }

    void kill()
    {
        if (this->pid > 0)
        {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
            started_processes().erase(this->pid);
            this->pid = 0;
        }
    }

    [[nodiscard]] std::string callers() const
    {
        return this->ip + ":8104";
    }

    const std::string name;
    const std::string zone;
    const std::string ip;
    pid_t pid = 0;

  private:
    std::string folder;
    std::string settings;
};

/// The settings that the platform writes for a node, with the figures of a
/// small deployment.
inline std::string settings_of(const std::string& name,
                               const std::string& zone,
                               const std::string& ip,
                               const std::vector<std::string>& zones,
                               const std::vector<std::string>& seeds,
                               const std::string& store_address)
{
    std::string text = fmt::format(
        "nodeName: \"{0}\"\nrole: \"relay\"\nmachineClass: \"frontend\"\n"
        "serves: [\"frontend\", \"control_plane\", \"directory\"]\n"
        "ipAddress: \"{1}\"\nzone: \"{2}\"\nregion: \"region\"\nzones:\n",
        name,
        ip,
        zone);
    for (const auto& item : zones)
    {
        text += fmt::format("  {}: \"region\"\n", item);
    }
    text += fmt::format(
        "listenAddresses:\n  frontend: \"{0}:8104\"\n  ready: \"{0}:8108\"\n"
        "  controlPlane: \"{0}:8106\"\n  directory: \"{0}:8100\"\n"
        "internalPortRange: [7380, 7395]\nseedNodes:\n",
        ip);
    for (const auto& seed : seeds)
    {
        text += fmt::format("  - \"{}:8106\"\n", seed);
    }
    text += fmt::format(
        "bootstrap: true\nlimits:\n  cpuShare: 0.25\n  cpuCores: 1\n"
        "  memoryMb: 260\n  fdLimit: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
        "heartbeatIntervalMs: 1200\n"
        "faultTolerance:\n  machines: 2\n  zones: 1\n  regions: 0\nbounds:\n"
        "  seedLagS: 3\n  addressReuseS: 2\n  stabilityWindowMs: 4000\n"
        "  ackTimeoutMs: 5000\n  catchUpS: 4\n  drainTimeoutMs: 3000\n"
        "  gracePeriodS: 6\n  lossSlackMs: 200\n  configApplyMs: 3000\n"
        "  regressionMs: 250\n  maxStretchMs: 12000\n"
        "  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n"
        "  retryBudgetSlack: 56\n  warmupOvershoot: 1.5\n  warmupSlack: 5\n"
        "  evacuationMs: 5000\n  recoveryS: 12\n  ttl_max_s: 5\nplatform:\n"
        "  address: \"{}\"\n  form: \"kv\"\n  writesPerS: 400\n"
        "  readsPerS: 2000\n  historyS: 20\n  maxValueBytes: 1048576\n"
        "  minTtlMs: 1000\n",
        store_address);
    return text;
}

/// A client with kept connections to each node.
class client
{
  public:
    using handler = std::function<void(
        const hawthornrelay::core::base::result<http::response>&)>;

    explicit client(boost::asio::io_context& io) : io(io)
    {
    }

    void send(const std::string& address,
              const std::string& method,
              const std::string& host,
              const std::string& path,
              const std::string& id,
              milliseconds deadline,
              handler done)
    {
        auto& idle = this->free[address];
        std::shared_ptr<http::connection> connection;
        while (!idle.empty() && connection == nullptr)
        {
            connection = idle.back();
            idle.pop_back();
            connection = connection->is_open() ? connection : nullptr;
        }
        if (connection == nullptr)
        {
            connection = http::connection::create(this->io, address, nullptr);
        }
        http::request message;
        message.method = method;
        message.target = path;
        message.headers["host"] = host;
        message.headers["x-request-id"] = id;
        message.headers["x-deadline-ms"] = std::to_string(deadline.count());
        connection->send(
            std::move(message),
            deadline,
            [this, address, connection, done = std::move(done)](
                const hawthornrelay::core::base::result<http::response>& answer)
            {
                if (answer && connection->is_open())
                {
                    this->free[address].push_back(connection);
                }
                else
                {
                    connection->close();
                }
                done(answer);
            });
    }

  private:
    boost::asio::io_context& io;
    std::map<std::string, std::vector<std::shared_ptr<http::connection>>> free;
};

/// Finds a prefix 127.x.y of loopback addresses on which the ports of the
/// nodes are free; empty if there is none.
inline std::string free_prefix(int nodes)
{
    std::random_device seed;
    std::mt19937 random(seed());
    for (int attempt = 0; attempt < 50; ++attempt)
    {
        const auto prefix =
            fmt::format("127.{}.{}", 20 + random() % 200, random() % 250);
        bool is_free = true;
        boost::asio::io_context io;
        for (int i = 1; i <= nodes && is_free; ++i)
        {
            for (const unsigned short port : {8100, 8104, 8108, 7380, 7381})
            {
                boost::asio::ip::tcp::acceptor test(io);
                boost::system::error_code error;
                test.open(boost::asio::ip::tcp::v4(), error);
                test.set_option(
                    boost::asio::ip::tcp::acceptor::reuse_address(true), error);
                test.bind({boost::asio::ip::make_address(
                               fmt::format("{}.{}", prefix, i)),
                           port},
                          error);
                is_free = is_free && !error;
            }
        }
        if (is_free)
        {
            return prefix;
        }
    }
    return {};
}

/// True unless the environment says TROUBLE=0.
inline bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// A temporary folder, removed at the end.
class temporary_folder
{
  public:
    temporary_folder()
    {
        char name[] = "/tmp/review-3-XXXXXX";
        this->path = mkdtemp(name) == nullptr ? "" : name;
    }

    ~temporary_folder()
    {
        if (!this->path.empty() && std::getenv("KEEP_LOGS") == nullptr)
        {
            std::error_code ignored;
            std::filesystem::remove_all(this->path, ignored);
        }
    }

    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string path;
};

} // namespace rig
