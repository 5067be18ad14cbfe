// Soak test: injects random faults into relay processes, a store, replicas and
// callers on loopback. Prints the violations found and exits with 1 if there
// are any.
//
//     build/soak SEED [SECONDS]
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <list>

#include <soak/callers.hpp>

using namespace hawthornrelay;
using namespace hawthornrelay::tests::soak;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

const std::vector<std::string> zones{"north", "south", "west"};
constexpr std::size_t node_count = 5;
constexpr std::size_t shard_count = 6;
constexpr std::size_t min_shards = 5;
constexpr std::size_t result_limit = 8;

/// Limits that the platform sets and the checks enforce.
constexpr auto config_bound = 3000ms;
constexpr auto drain_bound = 3000ms;
constexpr auto evacuation_bound = 5000ms;
constexpr auto settle_time = 4000ms;
constexpr auto grace_time = 6000ms;
constexpr auto directory_bound = 7000ms;
constexpr double extra_ratio = 0.2;
constexpr double extra_slack = 56;
constexpr auto extra_window = 10s;

/// Tolerance for scheduling delays of the checks; the platform allows 250 ms.
constexpr auto timing_slack = 300ms;

/// Time between the last fault and the check that service has recovered.
constexpr auto recovery_time = 12s;

class soak
{
  public:
    soak(std::uint64_t seed, std::chrono::seconds fault_time)
        : random(seed), restore_random(seed), fault_time(fault_time),
          store(this->io),
          folder("/tmp/hawthornrelay-soak-" + std::to_string(::getpid())),
          // Derived from the process id, so that soaks running at the same time
          // use different addresses.
          subnet("127." + std::to_string(::getpid() / 250 % 100 + 77) + "." +
                 std::to_string(::getpid() % 250 + 1) + "."),
          context{.io = this->io,
                  .nodes = this->nodes,
                  .observed = this->observed,
                  .random = this->random}
    {
        std::filesystem::create_directories(this->folder);
        this->observed.on_arrival = [this](const back_end& target)
        {
            this->check_arrival(target);
        };
        this->add_back_ends();
        this->write_odd_entries();
        this->write_configuration();
        this->add_nodes();
        this->add_callers();
    }

    int run()
    {
        for (auto& node : this->nodes)
        {
            node->start(true);
        }
        this->io.run_for(2s);
        for (auto& item : this->callers)
        {
            item->start();
        }
        this->call_every(100ms,
                         [this]
                         {
                             this->supervise_nodes();
                         });
        this->call_every(1200ms,
                         [this]
                         {
                             this->send_heartbeat();
                         });
        this->call_every(250ms,
                         [this]
                         {
                             this->probe_configuration();
                         });
        this->call_every(700ms,
                         [this]
                         {
                             this->query_directory();
                         });
        this->schedule_restore();
        const auto end = steady_clock::now() + this->fault_time;
        while (steady_clock::now() < end)
        {
            this->inject_fault();
            this->io.run_for(
                std::chrono::milliseconds(200 + this->random() % 1200));
        }
        this->clear_faults();
        this->io.run_for(recovery_time);
        const auto recovered_at = steady_clock::now();
        this->io.run_for(4s);
        this->check_service(recovered_at);
        for (auto& item : this->callers)
        {
            item->stop();
        }
        this->io.run_for(2s);
        this->check_requests();
        this->check_extra_sends();
        return this->report();
    }

  private:
    // --- the system under test ---

    void add_back_ends()
    {
        for (std::size_t i = 0; i < shard_count; ++i)
        {
            this->context.shards.push_back("shard" + std::to_string(i));
            for (std::size_t replica = 0; replica < 2; ++replica)
            {
                this->add_back_end(this->context.shards.back(),
                                   zones[(i + replica) % zones.size()],
                                   5ms);
            }
        }
        for (const auto& zone : zones)
        {
            this->add_back_end("desk", zone, 15ms);
        }
        this->context.min_shards = min_shards;
        this->context.result_limit = result_limit;
        this->context.route = [this](const std::string& kind)
        {
            return "/" + kind + "/x";
        };
    }

    void add_back_end(const std::string& service,
                      const std::string& zone,
                      std::chrono::microseconds work)
    {
        const auto id = service + "-r" + std::to_string(++this->last_replica);
        this->back_ends.push_back(std::make_unique<back_end>(
            this->io,
            back_end::parameters{service, zone, id, work},
            this->store,
            this->observed,
            this->random));
        // The initial replicas are warm before traffic starts.
        this->back_ends.back()->cold_until = {};
        this->back_ends.back()->send_heartbeat();
    }

    json::object route(const std::string& name,
                       const std::string& prefix,
                       bool may_repeat) const
    {
        return {{"name", name},
                {"host", "h.example"},
                {"prefix", prefix},
                {"type", may_repeat ? "idempotent" : "non_idempotent"},
                {"timeoutMs", 800},
                {"targetLatencyMs", 100},
                {"priority", 1},
                {"maxAttempts", 2}};
    }

    /// Writes entries of another writer, which stay. There are as many names of
    /// a kind as items in a page, so one of each kind always ends a page.
    void write_odd_entries()
    {
        this->store.page_size = 5;
        for (const auto* kind : {"&", "+", "#", "%", " ", "d&e", "\xff"})
        {
            for (std::size_t i = 0; i < this->store.page_size; ++i)
            {
                this->store.write("servers/" + (kind + std::to_string(i)),
                                  "{}");
            }
        }
        this->store.write_as("servers/b", json::object{{"key", "servers/b"}});
        this->store.write_as("servers/c", 7);
    }

    /// Writes the next version. Each version has a probe route of its own,
    /// which replaces that of the previous version.
    void write_configuration()
    {
        ++this->version;
        this->store_configuration();
        this->written_at.push_back(steady_clock::now());
    }

    void store_configuration()
    {
        json::array shards;
        json::array services;
        for (const auto& shard : this->context.shards)
        {
            shards.emplace_back(shard);
        }
        for (const auto& name : this->context.shards)
        {
            services.push_back(this->service(name));
        }
        services.push_back(this->service("desk"));
        auto search = this->route("search", "/s/", true);
        search["fanoutServices"] = shards;
        search["resultLimit"] = result_limit;
        search["minSuccessRatio"] =
            static_cast<double>(min_shards) / shard_count;
        auto book = this->route("book", "/b/", false);
        book["service"] = "desk";
        auto look = this->route("look", "/l/", true);
        look["service"] = "desk";
        auto probe_route =
            this->route("own", this->probe_path(this->version), true);
        probe_route["service"] = "desk";
        this->store.write(
            "op/config",
            json::serialize(json::object{
                {"version", this->version},
                {"routes", json::array{search, book, look, probe_route}},
                {"services", services},
                {"limits",
                 json::object{{"maxHeaderBytes", 8192},
                              {"maxBodyBytes", 65536},
                              {"headerTimeoutMs", 1000},
                              {"idleTimeoutMs", 8000}}}}));
    }

    static std::string probe_path(std::uint64_t version)
    {
        return "/g" + std::to_string(version) + "/";
    }

    static json::object service(const std::string& name)
    {
        return {{"name", name},
                {"healthCheckPath", "/healthz"},
                {"maxConnections", 40},
                {"warmupS", 2.0},
                {"warmupPerS", back_end::cold_requests_per_second}};
    }

    void add_nodes()
    {
        std::vector<std::string> ips;
        for (std::size_t i = 0; i < node_count; ++i)
        {
            ips.push_back(this->subnet + std::to_string(10 + i));
        }
        for (std::size_t i = 0; i < node_count; ++i)
        {
            this->store_links.push_back(std::make_unique<proxy>(
                this->io,
                "127.0.0.1",
                tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                              this->store.port())));
            this->nodes.push_back(std::make_unique<relay_process>(
                "node-" + std::to_string(i),
                zones[i % zones.size()],
                ips[i],
                this->store_links.back()->address(),
                std::vector<std::string>{ips[0], ips[1], ips[2]},
                this->folder));
        }
    }

    void add_callers()
    {
        for (const auto* kind : {"s", "s", "s", "s", "b", "b", "l", "l"})
        {
            for (const auto& zone : zones)
            {
                this->callers.push_back(
                    std::make_unique<caller>(this->context, kind, zone));
            }
        }
    }

    // --- faults ---

    relay_process& random_node()
    {
        return *this->nodes[this->random() % this->nodes.size()];
    }

    back_end& random_back_end()
    {
        return *this->back_ends[this->random() % this->back_ends.size()];
    }

    [[nodiscard]] std::size_t disturbed_nodes() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->nodes.begin(),
                          this->nodes.end(),
                          [](const auto& node)
                          {
                              return !node->is_undisturbed(1000ms);
                          }));
    }

    void log_event(const std::string& what)
    {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                steady_clock::now() - this->started_at);
        this->events.push_back(std::to_string(elapsed.count()) +
                               " ms: " + what);
    }

    void inject_fault()
    {
        // Two nodes stay undisturbed, so that requests can be served.
        const bool may_hit_node = this->disturbed_nodes() + 2 < node_count;
        auto& node = this->random_node();
        const auto index = static_cast<std::size_t>(
            std::find_if(this->nodes.begin(),
                         this->nodes.end(),
                         [&](const auto& item)
                         {
                             return item.get() == &node;
                         }) -
            this->nodes.begin());
        switch (this->random() % 16)
        {
        case 0:
            if (may_hit_node && node.is_undisturbed(0ms))
            {
                this->log_event("SIGTERM " + node.name);
                node.terminate();
            }
            break;
        case 1:
            if (may_hit_node && node.is_running())
            {
                this->log_event("SIGKILL " + node.name);
                this->killed.insert({index, node.incarnation});
                node.resume();
                node.kill();
            }
            break;
        case 2:
            if (may_hit_node && node.is_running() && !node.is_paused)
            {
                this->log_event("SIGSTOP " + node.name);
                node.pause();
                const auto time = 500ms + this->random() % 6 * 1000ms;
                this->call_after(time,
                                 [this, &node]
                                 {
                                     if (node.is_paused)
                                     {
                                         this->log_event("SIGCONT " +
                                                         node.name);
                                         node.resume();
                                     }
                                 });
            }
            break;
        case 3:
            if (node.is_running() && !node.is_stopping)
            {
                this->log_event("rewrite settings of " + node.name);
                node.reload(this->random() % 2 == 0);
            }
            break;
        case 4:
        case 5:
            this->inject_store_fault();
            break;
        case 6:
            this->inject_store_link_fault(index);
            break;
        case 7:
        case 8:
            this->log_event("configuration " +
                            std::to_string(this->version + 1));
            if (!this->store.is_silent)
            {
                this->write_configuration();
            }
            break;
        case 9:
            this->take_zone_out();
            break;
        default:
            this->inject_back_end_fault();
        }
    }

    void inject_store_fault()
    {
        if (this->store_disturbed_until > steady_clock::now())
        {
            return;
        }
        const auto time = 500ms + this->random() % 5 * 1000ms;
        this->store_disturbed_until = steady_clock::now() + time;
        switch (this->random() % 4)
        {
        case 0:
            this->log_event("store silent");
            this->store.is_silent = true;
            break;
        case 1:
            this->log_event("store refuses requests");
            this->store.refusal_status = this->random() % 2 == 0 ? 503 : 429;
            break;
        case 2:
            this->log_event("store drops answers to writes");
            this->store.answers_to_lose = 3;
            break;
        default:
            this->log_event("store drops its change history");
            this->store.compact_history();
        }
        this->call_after(time,
                         [this]
                         {
                             this->log_event("store recovers");
                             this->restore_store();
                         });
    }

    void restore_store()
    {
        this->store.is_silent = false;
        this->store.refusal_status = 0;
        this->store.answers_to_lose = 0;
        this->store_disturbed_until = steady_clock::now();
    }

    /// Restores the store from a copy that is some seconds old; operators and
    /// replicas write again what it lacks.
    void schedule_restore()
    {
        const auto random_time = [this](unsigned most)
        {
            return std::chrono::milliseconds(this->restore_random() % most);
        };
        const auto copied_at = 500ms + random_time(4000);
        const auto age = 500ms + random_time(9000);
        const auto delay = random_time(1000);
        this->call_after(copied_at,
                         [this]
                         {
                             this->store.take_copy();
                         });
        this->call_after(copied_at + age,
                         [this, delay]
                         {
                             this->log_event("store restored from a copy");
                             this->store.restore_copy();
                             this->store_disturbed_until =
                                 std::max(this->store_disturbed_until,
                                          steady_clock::now() + delay);
                             this->call_after(delay,
                                              [this]
                                              {
                                                  this->write_again();
                                              });
                         });
    }

    void write_again()
    {
        this->log_event("operators and replicas write again");
        this->store_configuration();
        for (const auto& key : this->store.keys_with("op/evacuate/"))
        {
            this->store.remove(key);
        }
        for (const auto& [zone, since] : this->zones_out)
        {
            this->store.write("op/evacuate/" + zone, "{}");
        }
        for (const auto& target : this->back_ends)
        {
            if (!target->is_up)
            {
                this->store.remove("servers/" + target->instance());
            }
            target->send_heartbeat();
        }
    }

    void inject_store_link_fault(std::size_t index)
    {
        auto& link = *this->store_links[index];
        auto& node = *this->nodes[index];
        node.record_fault();
        switch (this->random() % 4)
        {
        case 0:
            this->log_event(node.name + " loses answers from the store");
            link.fault.drops_answers = true;
            break;
        case 1:
            this->log_event(node.name + " cannot reach the store");
            link.fault.drops_requests = true;
            break;
        case 2:
            this->log_event(node.name + " is refused by the store");
            link.fault.refuses = true;
            link.reset_all();
            break;
        default:
            this->log_event(node.name + " reaches the store slowly");
            link.fault.delay = 400ms;
        }
        this->call_after(500ms + this->random() % 5 * 1000ms,
                         [this, &link, &node]
                         {
                             this->log_event(node.name +
                                             " reaches the store again");
                             link.fault = {};
                             // Connections that lost bytes do not recover.
                             node.record_fault();
                         });
    }

    void take_zone_out()
    {
        const auto& zone = zones[this->random() % zones.size()];
        if (this->store.is_silent || !this->zones_out.empty())
        {
            return;
        }
        this->log_event("zone out: " + zone);
        this->zones_out[zone] = steady_clock::now();
        this->store.write("op/evacuate/" + zone, "{}");
        this->call_after(evacuation_bound + 2500ms,
                         [this, zone]
                         {
                             this->log_event("zone back: " + zone);
                             this->zones_out.erase(zone);
                             this->store.remove("op/evacuate/" + zone);
                         });
    }

    void inject_back_end_fault()
    {
        auto& target = this->random_back_end();
        const auto time = 500ms + this->random() % 4 * 1000ms;
        if (!target.is_up || target.is_draining)
        {
            return;
        }
        const auto choice = this->random() % 8;
        const auto name = target.instance();
        switch (choice)
        {
        case 0:
        case 1:
            this->log_event(
                (choice == 0 ? "crash " : "crash, traffic dropped: ") + name);
            target.crash(choice == 1);
            this->call_after(time,
                             [this, &target]
                             {
                                 this->log_event("start " + target.instance());
                                 target.start();
                             });
            return;
        case 2:
            this->log_event("drain " + name);
            target.drain();
            this->call_after(
                drain_bound + 2500ms,
                [this, &target]
                {
                    this->log_event("restart " + target.instance());
                    this->store.remove("servers/" + target.instance());
                    target.crash(false);
                    target.start();
                });
            return;
        case 3:
            this->log_event("connections reset at " + name);
            target.link->reset_all();
            return;
        case 4:
            this->log_event("slow: " + name);
            target.faults.slowdown = 8;
            break;
        case 5:
            this->log_event("shedding: " + name);
            target.faults.shed_probability = 0.5;
            break;
        case 6:
            this->log_event("losing answers: " + name);
            target.faults.lost_answer_probability = 0.3;
            break;
        default:
            this->log_event("failing: " + name);
            target.faults.failure_probability = 0.4;
        }
        this->call_after(time,
                         [&target]
                         {
                             target.faults = {};
                         });
    }

    void clear_faults()
    {
        this->log_event("faults end");
        for (const auto& timer : this->timers)
        {
            timer->cancel();
        }
        this->io.poll();
        this->restore_store();
        for (auto& link : this->store_links)
        {
            link->fault = {};
        }
        for (const auto& [zone, since] : std::exchange(this->zones_out, {}))
        {
            this->store.remove("op/evacuate/" + zone);
        }
        for (auto& target : this->back_ends)
        {
            target->faults = {};
            if (!target->is_up || target->is_draining)
            {
                target->start();
            }
        }
        for (auto& node : this->nodes)
        {
            if (node->is_running() && node->is_paused)
            {
                node->resume();
            }
        }
    }

    // --- checks during the run ---

    /// Restarts nodes that exited and kills those whose stop exceeds the grace
    /// period.
    void supervise_nodes()
    {
        for (auto& node : this->nodes)
        {
            if (node->has_failed())
            {
                this->observed.report(node->name + " exited unexpectedly");
            }
            if (node->is_stopping && node->is_running() && !node->is_paused &&
                steady_clock::now() - node->stopped_at > grace_time)
            {
                this->observed.report(node->name + " did not stop in time");
                this->killed.insert(
                    {static_cast<std::size_t>(&node - this->nodes.data()),
                     node->incarnation});
                node->kill();
            }
            const bool is_due = !node->is_running() &&
                                steady_clock::now() - node->exited_at > 800ms;
            if (is_due)
            {
                this->log_event("start " + node->name);
                node->start(false);
            }
        }
    }

    void send_heartbeat()
    {
        for (auto& target : this->back_ends)
        {
            target->send_heartbeat();
        }
    }

    [[nodiscard]] bool are_all_undisturbed() const
    {
        return this->is_store_undisturbed() &&
               std::all_of(this->nodes.begin(),
                           this->nodes.end(),
                           [](const auto& node)
                           {
                               return node->is_undisturbed(settle_time);
                           });
    }

    void check_arrival(const back_end& target)
    {
        if (!this->are_all_undisturbed())
        {
            return;
        }
        const auto now = steady_clock::now();
        if (target.is_draining &&
            now - target.drained_at > drain_bound + timing_slack)
        {
            this->observed.report("DRAIN: work for " + target.instance() +
                                  ", which is draining");
        }
        const auto out = this->zones_out.find(target.settings.zone);
        const bool is_out = out != this->zones_out.end() &&
                            now - out->second > evacuation_bound + timing_slack;
        if (is_out)
        {
            this->observed.report("EVAC: work for " + target.instance());
        }
    }

    [[nodiscard]] bool is_store_undisturbed() const
    {
        return steady_clock::now() - this->store_disturbed_until > settle_time;
    }

    /// Requests the probe routes of the newest and the previous configuration
    /// version at each running node.
    void probe_configuration()
    {
        const auto age = steady_clock::now() - this->written_at.back();
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            const auto& node = *this->nodes[i];
            if (!node.is_running() || node.is_stopping)
            {
                continue;
            }
            const bool is_due = node.is_undisturbed(settle_time) &&
                                this->is_store_undisturbed() &&
                                age > config_bound + timing_slack;
            this->probe_version(i,
                                this->version,
                                is_due ? expectation::due
                                       : expectation::current);
            const auto found =
                this->versions_in_force.find({i, node.incarnation});
            const bool has_current =
                found != this->versions_in_force.end() &&
                found->second.version == this->version &&
                steady_clock::now() - found->second.since > timing_slack;
            if (has_current && this->version > 1)
            {
                this->probe_version(
                    i, this->version - 1, expectation::replaced);
            }
        }
    }

    /// What a probe of a configuration version at a node expects.
    enum class expectation
    {
        current,  ///< written, may not be in force yet
        due,      ///< must be in force
        replaced, ///< a newer version was seen in force at the node
    };

    void
    probe_version(std::size_t node, std::uint64_t version, expectation expected)
    {
        const auto link = adapters::http::connection::create(
            this->io, this->nodes[node]->caller_address());
        adapters::http::request message;
        message.target = probe_path(version) + "x";
        message.headers["host"] = "h.example";
        message.headers["x-request-id"] =
            "g" + std::to_string(this->context.next_id++);
        message.headers["x-deadline-ms"] = "400";
        request_record record;
        record.id = message.headers["x-request-id"];
        record.service = "desk";
        record.sent = steady_clock::now();
        record.node = node;
        record.incarnation = this->nodes[node]->incarnation;
        this->context.records.push_back(record);
        const auto incarnation = record.incarnation;
        link->send(std::move(message),
                   600ms,
                   [this, link, node, incarnation, version, expected](
                       const answer& reply)
                   {
                       // A 503 does not show which version is in force.
                       if (reply && reply->status != 503)
                       {
                           this->on_version({node, incarnation},
                                            version,
                                            expected,
                                            reply->status != 404);
                       }
                   });
    }

    void on_version(std::pair<std::size_t, unsigned> node_incarnation,
                    std::uint64_t version,
                    expectation expected,
                    bool is_in_force)
    {
        auto& newest = this->versions_in_force[node_incarnation];
        const auto text = "version " + std::to_string(version) + " at node " +
                          std::to_string(node_incarnation.first);
        const bool is_old = is_in_force && expected == expectation::replaced;
        const bool is_lost = !is_in_force && newest.version == version &&
                             version == this->version;
        if (is_old || is_lost)
        {
            this->observed.report("CONFIG: reverted to or from " + text);
        }
        if (is_in_force && newest.version < version)
        {
            newest = {version, steady_clock::now()};
        }
        if (expected == expectation::due && !is_in_force &&
            version == this->version)
        {
            this->observed.report("CONFIG: not in force, " + text);
        }
    }

    void query_directory()
    {
        auto& node = this->random_node();
        if (!node.is_undisturbed(settle_time))
        {
            return;
        }
        const auto link = adapters::http::connection::create(
            this->io, node.directory_address());
        adapters::http::request message;
        message.target = "/v1/resolve?name=h.example&region=r&zone=" +
                         zones[this->random() % zones.size()];
        link->send(std::move(message),
                   400ms,
                   [this, link, &node](const answer& reply)
                   {
                       if (!reply || reply->status != 200)
                       {
                           return;
                       }
                       const auto parsed = json::parse(reply->body);
                       for (const auto& item : parsed.at("addrs").as_array())
                       {
                           this->check_listed_address(
                               node, std::string(item.as_string()));
                       }
                   });
    }

    void check_listed_address(const relay_process& source,
                              const std::string& address)
    {
        for (const auto& node : this->nodes)
        {
            const bool is_gone =
                node->caller_address() == address && !node->is_running() &&
                steady_clock::now() - node->exited_at > directory_bound;
            if (is_gone)
            {
                this->observed.report("DRAIN: " + source.name + " lists " +
                                      node->name + ", which has exited");
            }
        }
    }

    // --- checks after the run ---

    void check_service(steady_clock::time_point from)
    {
        std::size_t answered = 0;
        std::size_t served = 0;
        for (const auto& record : this->context.records)
        {
            if (record.sent >= from && record.status != 0)
            {
                ++answered;
                served += record.status == 200 ? 1 : 0;
            }
        }
        if (answered < 100 || served * 100 < answered * 97)
        {
            this->observed.report("RECOVER: " + std::to_string(served) +
                                  " of " + std::to_string(answered) +
                                  " served at the end");
        }
    }

    void check_requests()
    {
        for (const auto& record : this->context.records)
        {
            const auto& services = this->observed.services[record.id];
            const bool is_refusal = record.status == 503 ||
                                    record.status == 429 ||
                                    record.status == 408;
            if (is_refusal && !services.empty())
            {
                this->observed.report("REFUSED: " + record.id +
                                      " was refused but has run");
            }
            const auto runs = this->observed.runs[record.id + "@desk"];
            if (record.is_non_idempotent && runs > 1)
            {
                this->observed.report("TWICE: " + record.id + " ran " +
                                      std::to_string(runs) + " times");
            }
            for (const auto& service : services)
            {
                const bool is_allowed = record.service.empty()
                                            ? service != "desk"
                                            : service == record.service;
                if (!is_allowed)
                {
                    this->observed.report("ROUTE: " + record.id + " ran at " +
                                          service);
                }
            }
        }
        this->check_interrupted_requests();
        this->check_unasked();
    }

    /// Reports requests that a node forwarded and then dropped although it was
    /// not killed. A planned stop must answer them first.
    void check_interrupted_requests()
    {
        for (const auto& record : this->context.records)
        {
            const bool is_interrupted =
                record.status == 0 && !record.was_refused_connection &&
                record.ended != steady_clock::time_point{} &&
                record.ended - record.sent < 500ms;
            if (!is_interrupted || this->observed.services[record.id].empty())
            {
                continue;
            }
            if (!this->killed.contains({record.node, record.incarnation}))
            {
                this->observed.report(
                    "LOST: " + record.id + " was forwarded by " +
                    this->nodes[record.node]->name + " and then disconnected");
            }
        }
    }

    void check_unasked()
    {
        std::set<std::string> sent;
        for (const auto& record : this->context.records)
        {
            sent.insert(record.id);
        }
        for (const auto& item : this->observed.arrivals)
        {
            if (!sent.contains(item.id))
            {
                this->observed.report("UNASKED: " + item.id);
            }
        }
    }

    /// Checks the bound on extra sends (arrivals of a request at a service
    /// beyond the first) over every window.
    void check_extra_sends()
    {
        std::map<std::string, std::vector<steady_clock::time_point>>
            extra_sends;
        std::map<std::string, std::vector<steady_clock::time_point>> requests;
        std::set<std::string> known;
        for (const auto& item : this->observed.arrivals)
        {
            if (!known.insert(item.service + "@" + item.id).second)
            {
                extra_sends[item.service].push_back(item.at);
            }
        }
        for (const auto& record : this->context.records)
        {
            if (!record.service.empty())
            {
                requests[record.service].push_back(record.sent);
                continue;
            }
            for (const auto& shard : this->context.shards)
            {
                requests[shard].push_back(record.sent);
            }
        }
        for (auto& [service, times] : extra_sends)
        {
            auto& sent = requests[service];
            std::sort(sent.begin(), sent.end());
            std::sort(times.begin(), times.end());
            for (std::size_t i = 0; i < times.size(); ++i)
            {
                this->check_window(service, times, sent, i);
            }
        }
    }

    void check_window(const std::string& service,
                      const std::vector<steady_clock::time_point>& extra_sends,
                      const std::vector<steady_clock::time_point>& requests,
                      std::size_t from)
    {
        const auto count = [](const auto& times, auto begin)
        {
            const auto end = begin + extra_window;
            return static_cast<double>(
                std::lower_bound(times.begin(), times.end(), end) -
                std::lower_bound(times.begin(), times.end(), begin));
        };
        const auto begin = extra_sends[from];
        const double allowed =
            extra_slack +
            extra_ratio * std::max({count(requests, begin),
                                    count(requests, begin - extra_window),
                                    count(requests, begin - extra_window / 2)});
        if (count(extra_sends, begin) > allowed)
        {
            this->observed.report("BUDGET: " + service + " got " +
                                  std::to_string(count(extra_sends, begin)) +
                                  " extra sends, allowed " +
                                  std::to_string(allowed));
        }
    }

    int report()
    {
        std::map<unsigned, std::size_t> answers_by_status;
        for (const auto& record : this->context.records)
        {
            ++answers_by_status[record.status];
        }
        std::string line;
        for (const auto& [status, count] : answers_by_status)
        {
            line += " " + std::to_string(status) + ":" + std::to_string(count);
        }
        std::cout << "answers" << line << ", arrivals "
                  << this->observed.arrivals.size() << "\n";
        if (this->observed.violations.empty())
        {
            std::filesystem::remove_all(this->folder);
            return 0;
        }
        for (const auto& item : this->events)
        {
            std::cout << item << "\n";
        }
        for (const auto& item : this->observed.violations)
        {
            std::cout << "BROKEN " << item << "\n";
        }
        std::cout << "logs in " << this->folder << "\n";
        return 1;
    }

    // --- timers ---

    void call_after(std::chrono::milliseconds delay, std::function<void()> task)
    {
        this->timers.push_back(
            std::make_shared<boost::asio::steady_timer>(this->io, delay));
        this->timers.back()->async_wait(
            [task = std::move(task)](const boost::system::error_code& error)
            {
                if (!error)
                {
                    task();
                }
            });
    }

    void call_every(std::chrono::milliseconds interval,
                    std::function<void()> task)
    {
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(this->io, interval);
        timer->async_wait(
            [this, timer, interval, task = std::move(task)](const auto&)
            {
                task();
                this->call_every(interval, task);
            });
    }

    boost::asio::io_context io;
    std::mt19937_64 random;
    /// Of its own, so that restores do not change the other faults of a seed.
    std::mt19937_64 restore_random;
    std::chrono::seconds fault_time;
    observations observed;
    tests::support::platform_store store;
    std::string folder;
    std::string subnet;
    std::vector<std::unique_ptr<back_end>> back_ends;
    std::vector<std::unique_ptr<proxy>> store_links;
    std::vector<std::unique_ptr<relay_process>> nodes;
    caller_context context;
    std::vector<std::unique_ptr<caller>> callers;
    std::list<std::shared_ptr<boost::asio::steady_timer>> timers;
    std::vector<std::string> events;
    std::vector<steady_clock::time_point> written_at;
    std::map<std::string, steady_clock::time_point> zones_out;
    struct observed_version
    {
        std::uint64_t version = 0;
        steady_clock::time_point since{};
    };
    std::map<std::pair<std::size_t, unsigned>, observed_version>
        versions_in_force;
    std::set<std::pair<std::size_t, unsigned>> killed;
    steady_clock::time_point store_disturbed_until{};
    const steady_clock::time_point started_at = steady_clock::now();
    std::uint64_t version = 0;
    std::size_t last_replica = 0;
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 2)
    {
        std::cerr << "soak SEED [SECONDS]\n";
        return 2;
    }
    const auto seed = std::strtoull(arguments[1], nullptr, 10);
    const auto fault_time = count > 2 ? std::atoi(arguments[2]) : 25;
    return soak(seed, std::chrono::seconds(fault_time)).run();
}
