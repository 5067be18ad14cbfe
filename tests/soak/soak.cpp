// Random faults from outside on real processes: relays, a store, replicas and
// callers on loopback. Prints what was broken; exits with 1 if anything was.
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

/// Bounds of the platform's pages that the checks use.
constexpr auto config_bound = 3000ms;
constexpr auto drain_bound = 3000ms;
constexpr auto evacuation_bound = 5000ms;
constexpr auto calm_time = 4000ms;
constexpr auto grace_time = 6000ms;
constexpr auto directory_bound = 7000ms;
constexpr double extra_ratio = 0.2;
constexpr double extra_slack = 56;
constexpr auto extra_window = 10s;

/// Time for a check's own scheduling; the pages allow 250 ms.
constexpr auto slack = 300ms;

/// Faults end this long before the last check of service.
constexpr auto recovery_time = 12s;

class soak
{
  public:
    soak(std::uint64_t seed, std::chrono::seconds length)
        : random(seed), length(length), store(this->io),
          folder("/tmp/hawthornrelay-soak-" + std::to_string(::getpid())),
          // Several soaks may run at the same time.
          subnet("127." + std::to_string(::getpid() / 250 % 100 + 77) + "." +
                 std::to_string(::getpid() % 250 + 1) + "."),
          all{.io = this->io,
              .nodes = this->nodes,
              .seen = this->seen,
              .random = this->random}
    {
        std::filesystem::create_directories(this->folder);
        this->seen.on_arrival = [this](const back_end& at)
        {
            this->check_arrival(at);
        };
        this->add_back_ends();
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
        for (auto& one : this->callers)
        {
            one->start();
        }
        this->every(100ms,
                    [this]
                    {
                        this->watch();
                    });
        this->every(1200ms,
                    [this]
                    {
                        this->beat();
                    });
        this->every(250ms,
                    [this]
                    {
                        this->probe();
                    });
        this->every(700ms,
                    [this]
                    {
                        this->ask_directory();
                    });
        const auto end = steady_clock::now() + this->length;
        while (steady_clock::now() < end)
        {
            this->cause_fault();
            this->io.run_for(
                std::chrono::milliseconds(200 + this->random() % 1200));
        }
        this->end_faults();
        this->io.run_for(recovery_time);
        const auto calm = steady_clock::now();
        this->io.run_for(4s);
        this->check_service(calm);
        for (auto& one : this->callers)
        {
            one->stop();
        }
        this->io.run_for(2s);
        this->check_requests();
        this->check_extras();
        return this->report();
    }

  private:
    // --- the site ---

    void add_back_ends()
    {
        for (std::size_t i = 0; i < shard_count; ++i)
        {
            this->all.shards.push_back("shard" + std::to_string(i));
            for (std::size_t copy = 0; copy < 2; ++copy)
            {
                this->add_back_end(this->all.shards.back(),
                                   zones[(i + copy) % zones.size()],
                                   5ms);
            }
        }
        for (const auto& zone : zones)
        {
            this->add_back_end("desk", zone, 15ms);
        }
        this->all.min_shards = min_shards;
        this->all.result_limit = result_limit;
        this->all.route = [this](const std::string& kind)
        {
            return "/" + kind + "/x";
        };
    }

    void add_back_end(const std::string& service,
                      const std::string& zone,
                      std::chrono::microseconds work)
    {
        const auto id = service + "-r" + std::to_string(++this->last_replica);
        this->back_ends.push_back(
            std::make_unique<back_end>(this->io,
                                       back_end::shape{service, zone, id, work},
                                       this->store,
                                       this->seen,
                                       this->random));
        // The fleet's first replicas are warm before traffic starts.
        this->back_ends.back()->cold_until = {};
        this->back_ends.back()->beat();
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

    /// Writes the next version; its own route replaces that of the one before.
    void write_configuration()
    {
        ++this->version;
        json::array shards;
        json::array services;
        for (const auto& shard : this->all.shards)
        {
            shards.emplace_back(shard);
        }
        for (const auto& name : this->all.shards)
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
        auto own = this->route("own", this->own_path(this->version), true);
        own["service"] = "desk";
        this->store.write("op/config",
                          json::serialize(json::object{
                              {"version", this->version},
                              {"routes", json::array{search, book, look, own}},
                              {"services", services},
                              {"limits",
                               json::object{{"maxHeaderBytes", 8192},
                                            {"maxBodyBytes", 65536},
                                            {"headerTimeoutMs", 1000},
                                            {"idleTimeoutMs", 8000}}}}));
        this->written.push_back(steady_clock::now());
    }

    static std::string own_path(std::uint64_t version)
    {
        return "/g" + std::to_string(version) + "/";
    }

    static json::object service(const std::string& name)
    {
        return {{"name", name},
                {"healthCheckPath", "/healthz"},
                {"maxConnections", 40},
                {"warmupS", 2.0},
                {"warmupPerS", back_end::cold_per_second}};
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
            this->nodes.push_back(std::make_unique<program>(
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
                    std::make_unique<caller>(this->all, kind, zone));
            }
        }
    }

    // --- faults ---

    program& any_node()
    {
        return *this->nodes[this->random() % this->nodes.size()];
    }

    back_end& any_back_end()
    {
        return *this->back_ends[this->random() % this->back_ends.size()];
    }

    [[nodiscard]] std::size_t disturbed_nodes() const
    {
        return static_cast<std::size_t>(std::count_if(this->nodes.begin(),
                                                      this->nodes.end(),
                                                      [](const auto& node)
                                                      {
                                                          return !node->is_calm(
                                                              1000ms);
                                                      }));
    }

    void say(const std::string& what)
    {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            steady_clock::now() - this->began);
        this->story.push_back(std::to_string(at.count()) + " ms: " + what);
    }

    void cause_fault()
    {
        // Two nodes stay undisturbed, so that there is someone to serve.
        const bool may_hit_node = this->disturbed_nodes() + 2 < node_count;
        auto& node = this->any_node();
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
            if (may_hit_node && node.is_calm(0ms))
            {
                this->say("SIGTERM " + node.name);
                node.terminate();
            }
            break;
        case 1:
            if (may_hit_node && node.is_running())
            {
                this->say("SIGKILL " + node.name);
                this->killed.insert({index, node.run});
                node.resume();
                node.kill();
            }
            break;
        case 2:
            if (may_hit_node && node.is_running() && !node.is_paused)
            {
                this->say("SIGSTOP " + node.name);
                node.pause();
                const auto time = 500ms + this->random() % 6 * 1000ms;
                this->after(time,
                            [this, &node]
                            {
                                if (node.is_paused)
                                {
                                    this->say("SIGCONT " + node.name);
                                    node.resume();
                                }
                            });
            }
            break;
        case 3:
            if (node.is_running() && !node.is_stopping)
            {
                this->say("settings of " + node.name);
                node.reload(this->random() % 2 == 0);
            }
            break;
        case 4:
        case 5:
            this->disturb_store();
            break;
        case 6:
            this->disturb_store_link(index);
            break;
        case 7:
        case 8:
            this->say("configuration " + std::to_string(this->version + 1));
            if (!this->store.is_silent)
            {
                this->write_configuration();
            }
            break;
        case 9:
            this->evacuate();
            break;
        default:
            this->disturb_back_end();
        }
    }

    void disturb_store()
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
            this->say("store silent");
            this->store.is_silent = true;
            break;
        case 1:
            this->say("store refuses");
            this->store.refuses_with = this->random() % 2 == 0 ? 503 : 429;
            break;
        case 2:
            this->say("store loses answers of writes");
            this->store.answers_to_lose = 3;
            break;
        default:
            this->say("store forgets its history");
            this->store.forget_history();
        }
        this->after(time,
                    [this]
                    {
                        this->say("store well");
                        this->store_is_well();
                    });
    }

    void store_is_well()
    {
        this->store.is_silent = false;
        this->store.refuses_with = 0;
        this->store.answers_to_lose = 0;
        this->store_disturbed_until = steady_clock::now();
    }

    void disturb_store_link(std::size_t index)
    {
        auto& link = *this->store_links[index];
        auto& node = *this->nodes[index];
        node.disturb();
        switch (this->random() % 4)
        {
        case 0:
            this->say(node.name + " loses its answers of the store");
            link.fault.drops_answers = true;
            break;
        case 1:
            this->say(node.name + " cannot reach the store");
            link.fault.drops_requests = true;
            break;
        case 2:
            this->say(node.name + " is refused by the store");
            link.fault.refuses = true;
            link.reset_all();
            break;
        default:
            this->say(node.name + " reaches the store slowly");
            link.fault.delay = 400ms;
        }
        this->after(500ms + this->random() % 5 * 1000ms,
                    [this, &link, &node]
                    {
                        this->say(node.name + " reaches the store again");
                        link.fault = {};
                        // What was silenced stays silent on its connection.
                        node.disturb();
                    });
    }

    void evacuate()
    {
        const auto& zone = zones[this->random() % zones.size()];
        if (this->store.is_silent || !this->zones_out.empty())
        {
            return;
        }
        this->say("zone out: " + zone);
        this->zones_out[zone] = steady_clock::now();
        this->store.write("op/evacuate/" + zone, "{}");
        this->after(evacuation_bound + 2500ms,
                    [this, zone]
                    {
                        this->say("zone back: " + zone);
                        this->zones_out.erase(zone);
                        this->store.remove("op/evacuate/" + zone);
                    });
    }

    void disturb_back_end()
    {
        auto& target = this->any_back_end();
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
            this->say((choice == 0 ? "crash " : "dark ") + name);
            target.crash(choice == 1);
            this->after(time,
                        [this, &target]
                        {
                            this->say("start " + target.instance());
                            target.start();
                        });
            return;
        case 2:
            this->say("drain " + name);
            target.drain();
            this->after(drain_bound + 2500ms,
                        [this, &target]
                        {
                            this->say("restart " + target.instance());
                            this->store.remove("servers/" + target.instance());
                            target.crash(false);
                            target.start();
                        });
            return;
        case 3:
            this->say("resets at " + name);
            target.link->reset_all();
            return;
        case 4:
            this->say("slow " + name);
            target.faults.slow = 8;
            break;
        case 5:
            this->say("sheds " + name);
            target.faults.sheds = 0.5;
            break;
        case 6:
            this->say("loses answers " + name);
            target.faults.loses_answers = 0.3;
            break;
        default:
            this->say("fails " + name);
            target.faults.fails = 0.4;
        }
        this->after(time,
                    [&target]
                    {
                        target.faults = {};
                    });
    }

    void end_faults()
    {
        this->say("faults end");
        for (const auto& timer : this->timers)
        {
            timer->cancel();
        }
        this->io.poll();
        this->store_is_well();
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

    // --- checks while it runs ---

    /// Starts ended processes again and kills those that stop for too long.
    void watch()
    {
        for (auto& node : this->nodes)
        {
            if (node->has_failed())
            {
                this->seen.report(node->name + " ended by itself");
            }
            if (node->is_stopping && node->is_running() && !node->is_paused &&
                steady_clock::now() - node->stopped_at > grace_time)
            {
                this->seen.report(node->name + " did not stop in time");
                this->killed.insert(
                    {static_cast<std::size_t>(&node - this->nodes.data()),
                     node->run});
                node->kill();
            }
            const bool is_due = !node->is_running() &&
                                steady_clock::now() - node->ended_at > 800ms;
            if (is_due)
            {
                this->say("start " + node->name);
                node->start(false);
            }
        }
    }

    void beat()
    {
        for (auto& target : this->back_ends)
        {
            target->beat();
        }
    }

    [[nodiscard]] bool are_all_in_touch() const
    {
        return this->is_store_calm() &&
               std::all_of(this->nodes.begin(),
                           this->nodes.end(),
                           [](const auto& node)
                           {
                               return node->is_calm(calm_time);
                           });
    }

    void check_arrival(const back_end& at)
    {
        if (!this->are_all_in_touch())
        {
            return;
        }
        const auto now = steady_clock::now();
        if (at.is_draining && now - at.drained_at > drain_bound + slack)
        {
            this->seen.report("DRAIN: work for " + at.instance() +
                              ", which is leaving");
        }
        const auto out = this->zones_out.find(at.form.zone);
        const bool is_out = out != this->zones_out.end() &&
                            now - out->second > evacuation_bound + slack;
        if (is_out)
        {
            this->seen.report("EVAC: work for " + at.instance());
        }
    }

    [[nodiscard]] bool is_store_calm() const
    {
        return steady_clock::now() - this->store_disturbed_until > calm_time;
    }

    /// Asks each calm node for the route of the newest version and for that of
    /// the one before.
    void probe()
    {
        const auto age = steady_clock::now() - this->written.back();
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            const auto& node = *this->nodes[i];
            if (!node.is_running() || node.is_stopping)
            {
                continue;
            }
            const bool is_due = node.is_calm(calm_time) &&
                                this->is_store_calm() &&
                                age > config_bound + slack;
            this->ask_version(
                i, this->version, is_due ? question::due : question::current);
            const auto seen = this->in_force.find({i, node.run});
            const bool has_current =
                seen != this->in_force.end() &&
                seen->second.version == this->version &&
                steady_clock::now() - seen->second.since > slack;
            if (has_current && this->version > 1)
            {
                this->ask_version(i, this->version - 1, question::replaced);
            }
        }
    }

    /// Why a node is asked for the route of a version.
    enum class question
    {
        current,  ///< written, perhaps not in force yet
        due,      ///< must be in force
        replaced, ///< the next one was seen in force at this node
    };

    void ask_version(std::size_t node, std::uint64_t asked, question why)
    {
        const auto link = adapters::http::connection::create(
            this->io, this->nodes[node]->callers());
        adapters::http::request message;
        message.target = own_path(asked) + "x";
        message.headers["host"] = "h.example";
        message.headers["x-request-id"] =
            "g" + std::to_string(this->all.next_id++);
        message.headers["x-deadline-ms"] = "400";
        request_record record;
        record.id = message.headers["x-request-id"];
        record.service = "desk";
        record.sent = steady_clock::now();
        record.node = node;
        record.run = this->nodes[node]->run;
        this->all.records.push_back(record);
        const auto run = record.run;
        link->send(std::move(message),
                   600ms,
                   [this, link, node, run, asked, why](const answer& reply)
                   {
                       // A refusal says nothing about the configuration.
                       if (reply && reply->status != 503)
                       {
                           this->on_version(
                               {node, run}, asked, why, reply->status != 404);
                       }
                   });
    }

    void on_version(std::pair<std::size_t, unsigned> where,
                    std::uint64_t asked,
                    question why,
                    bool is_in_force)
    {
        auto& newest = this->in_force[where];
        const auto text = "version " + std::to_string(asked) + " at node " +
                          std::to_string(where.first);
        const bool is_old = is_in_force && why == question::replaced;
        const bool is_lost =
            !is_in_force && newest.version == asked && asked == this->version;
        if (is_old || is_lost)
        {
            this->seen.report("CONFIG: went back to or from " + text);
        }
        if (is_in_force && newest.version < asked)
        {
            newest = {asked, steady_clock::now()};
        }
        if (why == question::due && !is_in_force && asked == this->version)
        {
            this->seen.report("CONFIG: not in force, " + text);
        }
    }

    void ask_directory()
    {
        auto& asked = this->any_node();
        if (!asked.is_calm(calm_time))
        {
            return;
        }
        const auto link =
            adapters::http::connection::create(this->io, asked.directory());
        adapters::http::request message;
        message.target = "/v1/resolve?name=h.example&region=r&zone=" +
                         zones[this->random() % zones.size()];
        link->send(std::move(message),
                   400ms,
                   [this, link, &asked](const answer& reply)
                   {
                       if (!reply || reply->status != 200)
                       {
                           return;
                       }
                       const auto parsed = json::parse(reply->body);
                       for (const auto& item : parsed.at("addrs").as_array())
                       {
                           this->check_named(asked,
                                             std::string(item.as_string()));
                       }
                   });
    }

    void check_named(const program& asked, const std::string& address)
    {
        for (const auto& node : this->nodes)
        {
            const bool is_gone =
                node->callers() == address && !node->is_running() &&
                steady_clock::now() - node->ended_at > directory_bound;
            if (is_gone)
            {
                this->seen.report("DRAIN: " + asked.name + " names " +
                                  node->name + ", which ended");
            }
        }
    }

    // --- checks at the end ---

    void check_service(steady_clock::time_point from)
    {
        std::size_t asked = 0;
        std::size_t served = 0;
        for (const auto& record : this->all.records)
        {
            if (record.sent >= from && record.status != 0)
            {
                ++asked;
                served += record.status == 200 ? 1 : 0;
            }
        }
        if (asked < 100 || served * 100 < asked * 97)
        {
            this->seen.report("RECOVER: " + std::to_string(served) + " of " +
                              std::to_string(asked) + " served at the end");
        }
    }

    void check_requests()
    {
        for (const auto& record : this->all.records)
        {
            const auto& services = this->seen.services[record.id];
            const bool is_refusal = record.status == 503 ||
                                    record.status == 429 ||
                                    record.status == 408;
            if (is_refusal && !services.empty())
            {
                this->seen.report("REFUSED: " + record.id + " has run");
            }
            const auto runs = this->seen.runs[record.id + "@desk"];
            if (record.is_once && runs > 1)
            {
                this->seen.report("TWICE: " + record.id + " ran " +
                                  std::to_string(runs) + " times");
            }
            for (const auto& service : services)
            {
                const bool is_allowed = record.service.empty()
                                            ? service != "desk"
                                            : service == record.service;
                if (!is_allowed)
                {
                    this->seen.report("ROUTE: " + record.id + " ran at " +
                                      service);
                }
            }
        }
        this->check_cut_requests();
        this->check_unasked();
    }

    /// Requests that a node took and passed on before its planned stop ended.
    void check_cut_requests()
    {
        for (const auto& record : this->all.records)
        {
            const bool is_cut = record.status == 0 &&
                                !record.was_refused_connection &&
                                record.ended != steady_clock::time_point{} &&
                                record.ended - record.sent < 500ms;
            if (!is_cut || this->seen.services[record.id].empty())
            {
                continue;
            }
            if (!this->killed.contains({record.node, record.run}))
            {
                this->seen.report("LOST: " + record.id + " was passed on by " +
                                  this->nodes[record.node]->name +
                                  " and cut off");
            }
        }
    }

    void check_unasked()
    {
        std::set<std::string> asked;
        for (const auto& record : this->all.records)
        {
            asked.insert(record.id);
        }
        for (const auto& item : this->seen.arrivals)
        {
            if (!asked.contains(item.id))
            {
                this->seen.report("UNASKED: " + item.id);
            }
        }
    }

    /// Arrivals beyond the first of a request at a service, in any window.
    void check_extras()
    {
        std::map<std::string, std::vector<steady_clock::time_point>> extras;
        std::map<std::string, std::vector<steady_clock::time_point>> requests;
        std::set<std::string> first;
        for (const auto& item : this->seen.arrivals)
        {
            if (!first.insert(item.service + "@" + item.id).second)
            {
                extras[item.service].push_back(item.at);
            }
        }
        for (const auto& record : this->all.records)
        {
            if (!record.service.empty())
            {
                requests[record.service].push_back(record.sent);
                continue;
            }
            for (const auto& shard : this->all.shards)
            {
                requests[shard].push_back(record.sent);
            }
        }
        for (auto& [service, times] : extras)
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
                      const std::vector<steady_clock::time_point>& extras,
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
        const auto begin = extras[from];
        const double allowed =
            extra_slack +
            extra_ratio * std::max({count(requests, begin),
                                    count(requests, begin - extra_window),
                                    count(requests, begin - extra_window / 2)});
        if (count(extras, begin) > allowed)
        {
            this->seen.report("BUDGET: " + service + " got " +
                              std::to_string(count(extras, begin)) + " of " +
                              std::to_string(allowed));
        }
    }

    int report()
    {
        std::map<unsigned, std::size_t> ends;
        for (const auto& record : this->all.records)
        {
            ++ends[record.status];
        }
        std::string line;
        for (const auto& [status, count] : ends)
        {
            line += " " + std::to_string(status) + ":" + std::to_string(count);
        }
        std::cout << "answers" << line << ", arrivals "
                  << this->seen.arrivals.size() << "\n";
        if (this->seen.broken.empty())
        {
            std::filesystem::remove_all(this->folder);
            return 0;
        }
        for (const auto& item : this->story)
        {
            std::cout << item << "\n";
        }
        for (const auto& item : this->seen.broken)
        {
            std::cout << "BROKEN " << item << "\n";
        }
        std::cout << "logs in " << this->folder << "\n";
        return 1;
    }

    // --- timers ---

    void after(std::chrono::milliseconds delay, std::function<void()> task)
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

    void every(std::chrono::milliseconds interval, std::function<void()> task)
    {
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(this->io, interval);
        timer->async_wait(
            [this, timer, interval, task = std::move(task)](const auto&)
            {
                task();
                this->every(interval, task);
            });
    }

    boost::asio::io_context io;
    std::mt19937_64 random;
    std::chrono::seconds length;
    witness seen;
    tests::support::platform_store store;
    std::string folder;
    std::string subnet;
    std::vector<std::unique_ptr<back_end>> back_ends;
    std::vector<std::unique_ptr<proxy>> store_links;
    std::vector<std::unique_ptr<program>> nodes;
    caller_context all;
    std::vector<std::unique_ptr<caller>> callers;
    std::list<std::shared_ptr<boost::asio::steady_timer>> timers;
    std::vector<std::string> story;
    std::vector<steady_clock::time_point> written;
    std::map<std::string, steady_clock::time_point> zones_out;
    struct seen_version
    {
        std::uint64_t version = 0;
        steady_clock::time_point since{};
    };
    std::map<std::pair<std::size_t, unsigned>, seen_version> in_force;
    std::set<std::pair<std::size_t, unsigned>> killed;
    steady_clock::time_point store_disturbed_until{};
    const steady_clock::time_point began = steady_clock::now();
    std::uint64_t version = 0;
    std::size_t last_replica = 0;
};

} // namespace

int main(int count, char** words)
{
    if (count < 2)
    {
        std::cerr << "soak SEED [SECONDS]\n";
        return 2;
    }
    const auto seed = std::strtoull(words[1], nullptr, 10);
    const auto length = count > 2 ? std::atoi(words[2]) : 25;
    return soak(seed, std::chrono::seconds(length)).run();
}
