#include <adapters/relay/relay_node.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include <adapters/asio/asio_runtime.hpp>
#include <adapters/http/server.hpp>
#include <adapters/log/stdout_log.hpp>
#include <adapters/relay/beacon.hpp>
#include <adapters/relay/metrics_page.hpp>
#include <adapters/relay/peer_feed.hpp>
#include <adapters/relay/replica_pool.hpp>
#include <adapters/relay/source_switch.hpp>
#include <adapters/relay/store_view.hpp>
#include <core/relay/entry_choice.hpp>
#include <core/relay/node_directory.hpp>
#include <core/relay/node_lease.hpp>
#include <core/relay/request_engine.hpp>
#include <core/relay/store_follower.hpp>
#include <core/relay/store_mirror.hpp>
#include <platform/caller_wire.hpp>
#include <platform/names.hpp>
#include <platform/store_client.hpp>

namespace hawthornrelay::adapters::relay
{

namespace names = platform::names;
using core::base::log_event;
using core::base::result;
using core::base::result_code;
using core::relay::node_record;
using core::relay::relay_counter;
using core::relay::relay_settings;

namespace
{

/// Interval of the messages between nodes; three may be lost before a node is
/// taken for silent.
constexpr std::chrono::milliseconds beacon_interval{200};

/// Interval of keeping connections open and checking suspect replicas.
constexpr std::chrono::milliseconds upkeep_interval{250};

/// How long callers keep an answer of the directory.
constexpr std::chrono::seconds address_ttl{1};

/// Part of the time between SIGTERM and SIGKILL after which idle connections
/// are closed, and after which the process ends whatever is open.
constexpr double close_idle_after = 0.7;
constexpr double end_after = 0.93;

/// Interval of checking whether a stopping process has finished.
constexpr std::chrono::milliseconds stop_check{50};

std::uint64_t new_run()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

core::relay::engine_settings engine_settings_of(const relay_settings& from)
{
    core::relay::engine_settings result;
    result.zone = from.zone;
    result.extras.ratio = from.extra_ratio;
    result.extras.slack = from.extra_slack;
    result.extras.window = from.extra_window;
    result.knows_extra_history = from.is_first_start;
    result.cold_overshoot = from.cold_overshoot;
    result.cold_slack = from.cold_slack;
    return result;
}

node_record self_of(const relay_settings& from)
{
    node_record record;
    record.name = from.node_name;
    record.run = new_run();
    record.zone = from.zone;
    record.callers = from.callers.text();
    record.peers = from.peers.text();
    return record;
}

class node final : public relay_node
{
  public:
    node(boost::asio::io_context& io, relay_settings from)
        : settings(std::move(from)), io(io), runtime(io),
          log(this->settings.node_name, core::base::log_level::info, 1),
          pool(io, this->counters_of_pool),
          engine(engine_settings_of(this->settings),
                 this->runtime,
                 this->pool,
                 this->log),
          store(io,
                this->settings.store.text(),
                [this]
                {
                    this->engine.counters.add(relay_counter::store_calls);
                }),
          nodes(self_of(this->settings)),
          peers(io,
                [this](const node_record& record)
                {
                    this->on_heard(record);
                }),
          view(this->runtime,
               this->engine,
               this->nodes,
               this->log,
               [this](const core::relay::caller_limits& limits)
               {
                   this->on_limits(limits);
               }),
          mirror(
              [this](const ports::store_item& item)
              {
                  this->on_item(item);
              }),
          feed(this->runtime, this->mirror),
          follower(this->runtime,
                   this->mirror,
                   [this](bool is_reachable, const std::string& reason)
                   {
                       this->on_source_reach(is_reachable, reason);
                   }),
          lease(this->runtime,
                this->store,
                std::string(names::node_prefix) + this->settings.node_name,
                write_node_entry(this->nodes.self()),
                this->settings.shortest_lease,
                [this](bool is_reachable, const std::string& reason)
                {
                    this->on_store_reach(is_reachable, reason);
                }),
          source(io, this->runtime, this->store, this->follower, this->log)
    {
    }

    result<void> start() override
    {
        auto opened = this->open_listeners();
        if (!opened)
        {
            return opened;
        }
        this->log.write(
            log_event::relay_started,
            {{"zone", this->settings.zone},
             {"callers", this->settings.callers.text()},
             {"run", std::to_string(this->nodes.self().run)},
             {"first_start", this->settings.is_first_start ? "1" : "0"}});
        this->source.follow_store();
        this->lease.start();
        this->tell_others();
        this->upkeep();
        return {};
    }

    void reload(const relay_settings& changed) override;
    void stop(std::function<void()> done) override;

  private:
    result<void> open_listeners();
    result<std::unique_ptr<http::server>>
    open(const core::relay::socket_address& address,
         http::server_handlers handlers);
    void on_source_reach(bool is_reachable, const std::string& reason);
    void on_store_reach(bool is_reachable, const std::string& reason);
    void on_item(const ports::store_item& item);
    void on_limits(const core::relay::caller_limits& from);
    void on_heard(const node_record& record);
    void share_bounds();
    void update_self();
    void tell_others();
    void send_beacons();
    void upkeep();
    void serve_caller(http::request message, const http::responder& respond);
    void serve_directory(const http::request& message,
                         const http::responder& respond);
    void serve_readiness(const http::responder& respond);
    [[nodiscard]] bool is_ready() const;
    void wait_for_end(core::base::time_point close_at,
                      core::base::time_point end_at,
                      const std::function<void()>& done);

    relay_settings settings;
    boost::asio::io_context& io;
    asio::asio_runtime runtime;
    log::stdout_log log;
    core::relay::relay_counters counters_of_pool;
    replica_pool pool;
    core::relay::request_engine engine;
    platform::store_client store;
    core::relay::node_directory nodes;
    beacon peers;
    store_view view;
    core::relay::store_mirror mirror;
    peer_feed feed;
    core::relay::store_follower follower;
    core::relay::node_lease lease;
    source_switch source;
    bool is_feed_due = false;
    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> readiness;
    std::unique_ptr<http::server> directory;
    std::unique_ptr<http::server> metrics;
    std::unique_ptr<http::server> feed_server;
    std::map<std::uint64_t, std::uint64_t> runs_by_exchange;
    std::set<std::string> suspects;
    bool is_stopping = false;
    bool is_upkeep_pending = false;
    bool is_idle_closed = false;
};

result<std::unique_ptr<http::server>>
node::open(const core::relay::socket_address& address,
           http::server_handlers handlers)
{
    handlers.on_bad_input = [this](result_code code, const std::string& detail)
    {
        this->log.write(log_event::bad_input,
                        {{"code", std::string(core::base::name_of(code))},
                         {"error", detail}});
        return platform::write_bad_input(code, detail);
    };
    return http::server::listen(
        this->io, address.ip, address.port, std::move(handlers), {});
}

result<void> node::open_listeners()
{
    http::server_handlers for_callers;
    for_callers.on_request =
        [this](http::request message, const http::responder& respond)
    {
        this->serve_caller(std::move(message), respond);
    };
    for_callers.on_caller_gone = [this](std::uint64_t exchange)
    {
        const auto found = this->runs_by_exchange.find(exchange);
        if (found != this->runs_by_exchange.end())
        {
            const auto run = found->second;
            this->runs_by_exchange.erase(found);
            this->engine.on_caller_gone(run);
        }
    };
    http::server_handlers for_readiness;
    for_readiness.on_request =
        [this](const http::request&, const http::responder& respond)
    {
        this->serve_readiness(respond);
    };
    http::server_handlers for_directory;
    for_directory.on_request =
        [this](const http::request& message, const http::responder& respond)
    {
        this->serve_directory(message, respond);
    };
    http::server_handlers for_metrics;
    for_metrics.on_request =
        [this](const http::request&, const http::responder& respond)
    {
        http::response reply;
        reply.content_type = "text/plain; version=0.0.4";
        reply.body = write_metrics(this->engine.counters,
                                   this->counters_of_pool,
                                   this->engine.active(),
                                   this->log.dropped());
        respond(std::move(reply));
    };
    http::server_handlers for_feed;
    for_feed.on_request =
        [this](const http::request& message, const http::responder& respond)
    {
        this->feed.handle(message, respond);
    };
    auto opened_peers = this->peers.open(this->settings.peers.text());
    if (!opened_peers)
    {
        return opened_peers;
    }
    const auto keep = [](std::unique_ptr<http::server>& place)
    {
        return [&place](std::unique_ptr<http::server> opened)
        {
            place = std::move(opened);
        };
    };
    return this->open(this->settings.metrics, std::move(for_metrics))
        .map(keep(this->metrics))
        .and_then(
            [&]
            {
                return this->open(this->settings.peers, std::move(for_feed))
                    .map(keep(this->feed_server));
            })
        .and_then(
            [&]
            {
                return this
                    ->open(this->settings.readiness, std::move(for_readiness))
                    .map(keep(this->readiness));
            })
        .and_then(
            [&]
            {
                return this
                    ->open(this->settings.directory, std::move(for_directory))
                    .map(keep(this->directory));
            })
        .and_then(
            [&]
            {
                return this
                    ->open(this->settings.callers, std::move(for_callers))
                    .map(keep(this->callers));
            });
}

void node::on_store_reach(bool is_reachable, const std::string& reason)
{
    if (is_reachable)
    {
        this->log.write(log_event::store_regained, {});
        return;
    }
    this->follower.note_trouble();
    this->engine.counters.add(relay_counter::store_failures);
    this->log.write(log_event::store_lost, {{"reason", reason}});
}

void node::on_source_reach(bool is_reachable, const std::string& reason)
{
    this->log.write(is_reachable ? log_event::source_regained
                                 : log_event::source_lost,
                    {{"source", this->source.name()},
                     {"revision", std::to_string(this->mirror.revision())},
                     {"reason", reason}});
}

void node::on_item(const ports::store_item& item)
{
    this->view.apply(item);
    if (!this->is_feed_due)
    {
        // One answer carries all changes that came together.
        this->is_feed_due = true;
        this->runtime.call_after(core::base::duration(0),
                                 [this]
                                 {
                                     this->is_feed_due = false;
                                     this->feed.on_change();
                                     this->upkeep();
                                 });
    }
}

void node::on_limits(const core::relay::caller_limits& from)
{
    http::server_limits limits;
    limits.body_bytes = from.body_bytes;
    limits.header_bytes = static_cast<std::uint32_t>(from.header_bytes);
    limits.idle = from.idle_timeout;
    limits.header = from.header_timeout;
    this->callers->set_limits(limits);
}

void node::on_heard(const node_record& record)
{
    if (this->nodes.on_heard(record, this->runtime.now()))
    {
        this->log.write(log_event::node_heard, {{"peer", record.name}});
    }
}

void node::share_bounds()
{
    const auto count = this->nodes.count(this->runtime.now());
    this->engine.set_node_count(count);
    this->pool.set_bounds(this->engine.configuration_in_force(), count);
}

void node::update_self()
{
    const auto now = this->runtime.now();
    auto& self = this->nodes.self_to_change();
    self.is_stopping = this->is_stopping;
    self.is_ready = this->is_ready();
    self.reads_store = this->source.reads_store();
    // A renewed lease shows that the path to the store is whole.
    const auto known_at =
        std::max(this->follower.answered_at(), this->lease.answered_at());
    self.store_age = now - known_at;
}

void node::tell_others()
{
    this->update_self();
    this->source.update(this->nodes, this->lease.is_reachable());
    this->send_beacons();
    this->runtime.call_after(beacon_interval,
                             [this]
                             {
                                 this->tell_others();
                             });
}

void node::send_beacons()
{
    std::set<std::string> addresses;
    for (const auto& other : this->nodes.others())
    {
        addresses.insert(other.peers);
    }
    // A node that the store refuses finds others by its seeds.
    const bool needs_seeds = addresses.empty() || !this->mirror.is_complete();
    if (needs_seeds)
    {
        addresses.insert(this->settings.seeds.begin(),
                         this->settings.seeds.end());
    }
    for (const auto& address : addresses)
    {
        this->peers.send(address, this->nodes.self());
    }
}

void node::upkeep()
{
    const auto now = this->runtime.now();
    for (const auto& id : this->engine.registry.expire(now))
    {
        this->log.write(log_event::replica_removed,
                        {{"replica", id}, {"reason", "lapsed"}});
    }
    for (const auto& name : this->nodes.take_silent(now))
    {
        this->log.write(log_event::node_silent, {{"peer", name}});
    }
    this->pool.drop_removed();
    this->share_bounds();
    const auto& config = this->engine.configuration_in_force();
    for (const auto& listed : this->engine.registry.all())
    {
        const auto& id = listed.first;
        const auto& target = listed.second;
        const bool is_in_use =
            config != nullptr &&
            config->services.contains(target->record.service) &&
            !target->record.is_draining;
        if (!is_in_use)
        {
            continue;
        }
        if (!target->health.is_suspect())
        {
            this->suspects.erase(id);
            this->pool.keep_warm(target);
            continue;
        }
        if (this->suspects.insert(id).second)
        {
            this->log.write(
                log_event::replica_suspect,
                {{"replica", id}, {"service", target->record.service}});
        }
        this->pool.probe(target,
                         [this, target](bool is_healthy)
                         {
                             if (is_healthy)
                             {
                                 target->health.on_probe_ok();
                                 this->log.write(
                                     log_event::replica_recovered,
                                     {{"replica", target->record.id}});
                             }
                         });
    }
    this->log.flush();
    if (!this->is_upkeep_pending)
    {
        this->is_upkeep_pending = true;
        this->runtime.call_after(upkeep_interval,
                                 [this]
                                 {
                                     this->is_upkeep_pending = false;
                                     this->upkeep();
                                 });
    }
}

void node::serve_caller(http::request message, const http::responder& respond)
{
    const auto exchange = message.exchange;
    auto request = platform::read_caller_request(std::move(message));
    if (!request)
    {
        this->log.write(log_event::bad_input,
                        {{"error", request.error().detail}});
        respond(platform::write_bad_input(request.error().code,
                                          request.error().detail));
        return;
    }
    const auto is_answered = std::make_shared<bool>(false);
    const auto run = this->engine.start(
        std::move(*request),
        [this, exchange, respond, is_answered](
            core::relay::caller_answer answer)
        {
            *is_answered = true;
            this->runs_by_exchange.erase(exchange);
            respond(platform::write_caller_answer(std::move(answer)));
        });
    if (!*is_answered)
    {
        this->runs_by_exchange[exchange] = run;
    }
}

void node::serve_directory(const http::request& message,
                           const http::responder& respond)
{
    const auto question = platform::read_directory_question(message.target);
    if (!question)
    {
        respond(platform::write_bad_input(question.error().code,
                                          question.error().detail));
        return;
    }
    this->engine.counters.add(relay_counter::directory_answers);
    std::vector<std::string> addresses;
    const auto usable = core::relay::choose_entries(
        this->nodes.usable(this->runtime.now()), question->zone);
    addresses.reserve(usable.size());
    for (const auto& item : usable)
    {
        addresses.push_back(item.callers);
    }
    respond(platform::write_directory_answer(
        addresses, std::min(address_ttl, this->settings.longest_address_ttl)));
}

bool node::is_ready() const
{
    return !this->is_stopping &&
           this->engine.configuration_in_force() != nullptr;
}

void node::serve_readiness(const http::responder& respond)
{
    http::response reply;
    reply.status = this->is_ready() ? 200 : 503;
    reply.content_type.clear();
    respond(std::move(reply));
}

void node::reload(const relay_settings& changed)
{
    this->settings.stop_grace = changed.stop_grace;
    this->settings.longest_address_ttl = changed.longest_address_ttl;
    this->log.write(log_event::settings_reloaded, {});
}

void node::stop(std::function<void()> done)
{
    if (this->is_stopping)
    {
        return;
    }
    this->is_stopping = true;
    this->log.write(log_event::relay_stopping,
                    {{"active", std::to_string(this->engine.active())}});
    this->update_self();
    this->lease.stop();
    this->send_beacons();
    this->callers->drain();
    const auto now = this->runtime.now();
    const auto part = [this](double share)
    {
        return std::chrono::duration_cast<core::base::duration>(
            share * std::chrono::duration<double>(this->settings.stop_grace));
    };
    this->wait_for_end(
        now + part(close_idle_after), now + part(end_after), done);
}

void node::wait_for_end(core::base::time_point close_at,
                        core::base::time_point end_at,
                        const std::function<void()>& done)
{
    const auto now = this->runtime.now();
    if (now >= close_at && !this->is_idle_closed)
    {
        this->is_idle_closed = true;
        this->callers->close_idle();
    }
    const bool is_finished =
        this->is_idle_closed && this->callers->connections() == 0;
    if (is_finished || now >= end_at)
    {
        this->log.write(
            log_event::relay_stopped,
            {{"connections", std::to_string(this->callers->connections())}});
        this->log.flush();
        done();
        return;
    }
    this->runtime.call_after(stop_check,
                             [this, close_at, end_at, done]
                             {
                                 this->wait_for_end(close_at, end_at, done);
                             });
}

} // namespace

std::unique_ptr<relay_node> relay_node::create(boost::asio::io_context& io,
                                               relay_settings settings)
{
    return std::make_unique<node>(io, std::move(settings));
}

} // namespace hawthornrelay::adapters::relay
