#include <adapters/relay/relay_node.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include <adapters/asio/asio_runtime.hpp>
#include <adapters/http/server.hpp>
#include <adapters/log/stdout_log.hpp>
#include <adapters/relay/client_report.hpp>
#include <adapters/relay/membership.hpp>
#include <adapters/relay/metrics_page.hpp>
#include <adapters/relay/peer_feed.hpp>
#include <adapters/relay/quota_exchange.hpp>
#include <adapters/relay/replica_pool.hpp>
#include <adapters/relay/store_change_handler.hpp>
#include <core/base/hash.hpp>
#include <core/relay/entry_choice.hpp>
#include <core/relay/quarantine_writer.hpp>
#include <core/relay/request_engine.hpp>
#include <core/relay/rollout_manager.hpp>
#include <core/relay/store_follower.hpp>
#include <core/relay/store_mirror.hpp>
#include <platform/caller_wire.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <platform/store_client.hpp>

namespace hawthornrelay::adapters::relay
{

using core::base::log_event;
using core::base::result;
using core::base::result_code;
using core::relay::relay_counter;
using core::relay::relay_settings;

namespace
{

/// Interval of opening missing connections and checking suspect replicas.
constexpr std::chrono::milliseconds maintenance_interval{250};

/// How long callers may cache an answer of the directory, and the least. Asking
/// again costs a caller two round trips before its next request.
constexpr std::chrono::seconds address_ttl{3};
constexpr std::chrono::seconds min_address_ttl{1};

/// Fractions of the time between SIGTERM and SIGKILL after which idle
/// connections are closed, all requests have been answered, and the process
/// exits regardless.
constexpr double close_idle_fraction = 0.7;
constexpr double answer_fraction = 0.9;
constexpr double exit_fraction = 0.93;

/// Interval at which a stopping process checks its open connections.
constexpr std::chrono::milliseconds stop_poll_interval{50};

/// Replicas' answers may use this part of the process's memory limit.
constexpr std::size_t answer_memory_divisor = 10;

core::relay::engine_settings to_engine_settings(const relay_settings& settings)
{
    core::relay::engine_settings result;
    result.zone = settings.zone;
    result.extras.ratio = settings.extra_ratio;
    result.extras.slack = settings.extra_slack;
    result.extras.window = settings.extra_window;
    result.is_extra_history_known = settings.is_first_start;
    result.cold_overshoot = settings.cold_overshoot;
    result.cold_slack = settings.cold_slack;
    result.seed = core::base::hash_of(settings.node_name);
    return result;
}

http::server_limits to_server_limits(const core::relay::caller_limits& limits)
{
    http::server_limits result;
    result.body_bytes = limits.body_bytes;
    result.header_bytes = static_cast<std::uint32_t>(limits.header_bytes);
    result.idle = limits.idle_timeout;
    result.header = limits.header_timeout;
    return result;
}

core::relay::client_limits to_client_limits(const relay_settings& settings)
{
    return core::relay::limits_of(
        settings.clients, settings.memory_limit, settings.descriptor_limit);
}

/// Who connects to a listener.
enum class listener_kind
{
    untrusted,
    internal
};

core::relay::quota_settings
to_quota_settings(const relay_settings& settings,
                  const core::relay::node_record& self)
{
    core::relay::quota_settings result;
    result.node = self.name;
    result.incarnation = self.incarnation;
    result.is_first_start = settings.is_first_start;
    result.window = settings.quota_window;
    result.overshoot = settings.quota_overshoot;
    result.slack = settings.quota_slack;
    return result;
}

class node final : public relay_node
{
  public:
    node(boost::asio::io_context& io, relay_settings initial)
        : settings(std::move(initial)), io(io), runtime(io),
          log(this->settings.node_name, core::base::log_level::info, 1),
          clients(std::make_shared<core::relay::client_budget>(
              to_client_limits(this->settings))),
          pool(io,
               this->pool_counters,
               std::make_shared<core::relay::answer_memory>(
                   this->settings.memory_limit / answer_memory_divisor)),
          engine(to_engine_settings(this->settings),
                 this->runtime,
                 this->pool,
                 this->log),
          store(io,
                this->settings.store.text(),
                [this]
                {
                    this->engine.counters.add(relay_counter::store_calls);
                }),
          quarantine(this->runtime,
                     this->store,
                     this->log,
                     std::string(platform::names::quarantine_prefix)),
          rollouts(this->runtime,
                   this->store,
                   this->log,
                   this->engine.registry,
                   this->engine.counters,
                   this->settings.node_name,
                   {std::string(platform::names::rollout_decider_key),
                    std::string(platform::names::rollout_status_prefix),
                    platform::encode_rollout_status}),
          mirror(this->log,
                 [this](const ports::store_item& item)
                 {
                     this->on_item(item);
                 }),
          feed(this->runtime, this->mirror, this->follower),
          availability(this->settings.heartbeat_interval),
          follower(this->runtime,
                   this->log,
                   this->mirror,
                   this->availability,
                   [this](bool is_reachable, const std::string& reason)
                   {
                       this->on_source_status(is_reachable, reason);
                   }),
          members(
              {.io = io,
               .runtime = this->runtime,
               .store = this->store,
               .log = this->log,
               .mirror = this->mirror,
               .follower = this->follower,
               .availability = this->availability,
               .window = this->window,
               .is_ready =
                   [this]
               {
                   return this->is_ready();
               },
               .is_cut_off =
                   [this]
               {
                   return this->is_cut_off;
               },
               .crashes_to_report =
                   [this]
               {
                   return this->engine.crashes_to_report();
               },
               .on_crashes =
                   [this](const std::vector<core::relay::crash_report>& reports)
               {
                   this->engine.merge_crashes(reports);
               },
               .rollouts_to_report =
                   [this]
               {
                   return this->advance_rollouts();
               },
               .on_rollouts =
                   [this](const core::relay::node_record& record)
               {
                   this->rollouts.on_message(
                       record.name, record.incarnation, record.rollouts);
               },
               .on_quota =
                   [this](const core::relay::quota_message& message)
               {
                   this->quotas.on_message(message);
               },
               .on_store_lost =
                   [this]
               {
                   this->engine.counters.add(relay_counter::store_failures);
               }},
              this->settings),
          quotas(to_quota_settings(this->settings, this->members.nodes.self()),
                 this->runtime,
                 this->log,
                 this->members,
                 this->engine.counters),
          change_handler(this->runtime,
                         this->engine,
                         this->members.nodes,
                         this->log,
                         this->settings.heartbeat_interval,
                         [this](const core::relay::caller_limits& limits)
                         {
                             this->on_limits(limits);
                         })
    {
    }

    result<void> start() override
    {
        this->pool.on_closed_by_peer =
            [this](const core::relay::replica_ptr& target)
        {
            this->engine.on_possible_restart(target);
        };
        this->engine.on_quarantined = [this](core::base::fingerprint refused)
        {
            this->quarantine.write(refused);
        };
        this->change_handler.on_refusal_lost =
            [this](core::base::fingerprint refused)
        {
            // The other nodes follow those that read the store.
            if (this->members.reads_store())
            {
                this->quarantine.write(refused);
            }
        };
        this->engine.rollouts = &this->rollouts;
        this->engine.window = &this->window;
        this->change_handler.rollouts = &this->rollouts;
        this->rollouts.set_bounds(this->settings.rollouts,
                                  this->settings.min_lease);
        this->engine.rank_among_entries = [this](const std::string& replica)
        {
            return this->members.nodes.rank_among_entries(replica,
                                                          this->runtime.now());
        };
        auto opened = this->open_listeners();
        if (!opened)
        {
            return opened;
        }
        this->log.write(
            log_event::relay_started,
            {{"zone", this->settings.zone},
             {"callers", this->settings.caller_address.text()},
             {"run", std::to_string(this->members.nodes.self().incarnation)},
             {"millicores", std::to_string(this->settings.millicores)},
             {"first_start", this->settings.is_first_start ? "1" : "0"}});
        this->members.start();
        this->engine.quotas = &this->quotas.ledger;
        this->quotas.start();
        this->maintain();
        return {};
    }

    void reload(const relay_settings& changed) override;
    void stop(std::function<void()> done) override;

  private:
    result<void> open_listeners();
    result<std::unique_ptr<http::server>>
    open(const core::relay::socket_address& address,
         http::server_handlers handlers,
         listener_kind kind);
    void on_source_status(bool is_reachable, const std::string& reason);
    void on_item(const ports::store_item& item);
    void on_limits(const core::relay::caller_limits& changed);
    void update_bounds();
    /// Advances the roll-outs and returns what other nodes need of them.
    core::relay::rollout_message advance_rollouts();
    void maintain();
    void maintain_connections();
    void update_cut_off(std::size_t remote_count,
                        std::size_t unreachable_count);
    void check_suspect(const core::relay::replica_ptr& target);
    void serve_caller(http::request message, const http::responder& respond);
    void serve_directory(const http::request& message,
                         const http::responder& respond);
    void serve_readiness(const http::responder& respond);
    [[nodiscard]] std::chrono::seconds current_address_ttl() const;
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] core::base::duration time_in_grace(double fraction) const;
    void await_connections_closed(core::base::time_point close_idle_at,
                                  core::base::time_point exit_at,
                                  const std::function<void()>& done);

    relay_settings settings;
    boost::asio::io_context& io;
    asio::asio_runtime runtime;
    log::stdout_log log;
    std::shared_ptr<core::relay::client_budget> clients;
    client_report clients_reported;
    core::relay::relay_counters pool_counters;
    replica_pool pool;
    core::relay::request_engine engine;
    platform::store_client store;
    core::relay::quarantine_writer quarantine;
    core::relay::rollout_manager rollouts;
    core::relay::store_mirror mirror;
    peer_feed feed;
    core::relay::store_availability availability;
    core::relay::part_window window;
    bool had_cold_part = false;
    core::relay::store_follower follower;
    membership members;
    quota_exchange quotas;
    store_change_handler change_handler;
    bool is_change_pending = false;
    bool is_cut_off = false;
    std::set<std::string> silent_zones;
    std::size_t directory_answers = 0;
    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> readiness;
    std::unique_ptr<http::server> directory;
    std::unique_ptr<http::server> metrics;
    std::unique_ptr<http::server> feed_server;
    std::map<std::uint64_t, std::uint64_t> requests_by_exchange;
    std::set<std::string> suspects;
    bool is_stopping = false;
    bool is_maintenance_pending = false;
    bool is_idle_closed = false;
};

result<std::unique_ptr<http::server>>
node::open(const core::relay::socket_address& address,
           http::server_handlers handlers,
           listener_kind kind)
{
    handlers.on_bad_input = [this](result_code code, const std::string& detail)
    {
        // Refusals for limits are logged together by client_report.
        if (code != result_code::overloaded)
        {
            this->log.write(log_event::bad_input,
                            {{"code", std::string(core::base::name_of(code))},
                             {"error", detail}});
        }
        return platform::write_bad_input(code, detail);
    };
    handlers.on_exception = [this](const std::string& what)
    {
        this->engine.counters.add(relay_counter::handler_failures);
        this->log.write(log_event::handler_failed, {{"error", what}});
    };
    const bool is_internal = kind == listener_kind::internal;
    return http::server::listen(
        this->io,
        address.ip,
        address.port,
        std::move(handlers),
        is_internal ? http::server_limits{}
                    : to_server_limits(core::relay::caller_limits{}),
        {.budget = this->clients, .is_protected = is_internal});
}

result<void> node::open_listeners()
{
    http::server_handlers caller_handlers;
    caller_handlers.on_request =
        [this](http::request message, const http::responder& respond)
    {
        this->serve_caller(std::move(message), respond);
    };
    caller_handlers.on_caller_disconnected = [this](std::uint64_t exchange)
    {
        const auto found = this->requests_by_exchange.find(exchange);
        if (found != this->requests_by_exchange.end())
        {
            const auto request_number = found->second;
            this->requests_by_exchange.erase(found);
            this->engine.on_caller_disconnected(request_number);
        }
    };
    http::server_handlers readiness_handlers;
    readiness_handlers.on_request =
        [this](const http::request&, const http::responder& respond)
    {
        this->serve_readiness(respond);
    };
    http::server_handlers directory_handlers;
    directory_handlers.on_request =
        [this](const http::request& message, const http::responder& respond)
    {
        this->serve_directory(message, respond);
    };
    http::server_handlers metrics_handlers;
    metrics_handlers.on_request =
        [this](const http::request&, const http::responder& respond)
    {
        http::response reply;
        reply.content_type = "text/plain; version=0.0.4";
        reply.body = write_metrics(this->engine.counters,
                                   this->pool_counters,
                                   this->engine.active(),
                                   this->log.dropped()) +
                     write_client_metrics(*this->clients);
        respond(std::move(reply));
    };
    http::server_handlers feed_handlers;
    feed_handlers.on_request =
        [this](const http::request& message, const http::responder& respond)
    {
        this->feed.handle(message, respond);
    };
    auto opened_beacons = this->members.open();
    if (!opened_beacons)
    {
        return opened_beacons;
    }
    const auto store_in = [](std::unique_ptr<http::server>& member)
    {
        return [&member](std::unique_ptr<http::server> opened)
        {
            member = std::move(opened);
        };
    };
    return this
        ->open(this->settings.metrics,
               std::move(metrics_handlers),
               listener_kind::untrusted)
        .map(store_in(this->metrics))
        .and_then(
            [&]
            {
                return this
                    ->open(this->settings.peers,
                           std::move(feed_handlers),
                           listener_kind::internal)
                    .map(store_in(this->feed_server));
            })
        .and_then(
            [&]
            {
                return this
                    ->open(this->settings.readiness,
                           std::move(readiness_handlers),
                           listener_kind::untrusted)
                    .map(store_in(this->readiness));
            })
        .and_then(
            [&]
            {
                return this
                    ->open(this->settings.directory,
                           std::move(directory_handlers),
                           listener_kind::untrusted)
                    .map(store_in(this->directory));
            })
        .and_then(
            [&]
            {
                return this
                    ->open(this->settings.caller_address,
                           std::move(caller_handlers),
                           listener_kind::untrusted)
                    .map(store_in(this->callers));
            });
}

void node::on_source_status(bool is_reachable, const std::string& reason)
{
    this->log.write(
        is_reachable ? log_event::source_regained : log_event::source_lost,
        {{"source", this->members.source_name()},
         {"revision", std::to_string(this->mirror.position().revision)},
         {"reason", reason}});
}

void node::on_item(const ports::store_item& item)
{
    this->change_handler.apply(item);
    if (!this->is_change_pending)
    {
        // Changes of one page go out in one answer to each waiting peer.
        this->is_change_pending = true;
        this->runtime.call_after(core::base::duration(0),
                                 [this]
                                 {
                                     this->is_change_pending = false;
                                     this->members.on_mirror_complete();
                                     this->feed.on_change();
                                     this->maintain();
                                 });
    }
}

void node::on_limits(const core::relay::caller_limits& changed)
{
    const auto limits = to_server_limits(changed);
    this->callers->set_limits(limits);
    this->readiness->set_limits(limits);
    this->directory->set_limits(limits);
}

void node::update_bounds()
{
    auto& nodes = this->members.nodes;
    const auto count = nodes.entry_count(this->runtime.now());
    const bool is_entry = nodes.self().is_entry;
    this->engine.set_division(count, is_entry);
    const bool has_cold_bounds = this->engine.has_cold_bounds();
    this->follower.set_fresh(is_entry && has_cold_bounds);
    const bool has_cold_part = has_cold_bounds && is_entry &&
                               this->window.is_open(this->runtime.now());
    if (std::exchange(this->had_cold_part, has_cold_part) != has_cold_part)
    {
        this->log.write(has_cold_part ? log_event::cold_part_begun
                                      : log_event::cold_part_ended,
                        {{"entries", std::to_string(count)}});
    }
    this->pool.set_bounds(
        this->engine.configuration_in_force(), count, is_entry);
}

core::relay::rollout_message node::advance_rollouts()
{
    if (this->rollouts.is_idle())
    {
        return {};
    }
    const auto now = this->runtime.now();
    auto& nodes = this->members.nodes;
    std::set<std::string> others;
    for (const auto& entry : nodes.running_entries(now))
    {
        others.insert(entry.name);
    }
    this->rollouts.set_fleet(
        nodes.self().is_entry,
        nodes.rank_among_entries(
            std::string(platform::names::rollout_decider_key), now),
        std::move(others));
    this->rollouts.tick();
    return this->rollouts.message_to_send();
}

void node::maintain()
{
    this->engine.record_running();
    this->change_handler.apply_due();
    for (const auto& id : this->engine.registry.expire(this->runtime.now()))
    {
        this->log.write(log_event::replica_removed,
                        {{"replica", id}, {"reason", "lapsed"}});
    }
    this->members.log_silent_nodes();
    this->pool.close_removed();
    this->update_bounds();
    this->pool.close_idle();
    if (this->members.nodes.self().is_entry)
    {
        this->maintain_connections();
        this->engine.refresh_limits();
    }
    this->clients_reported.write(
        *this->clients, this->log, this->runtime.now());
    this->log.flush();
    if (!this->is_maintenance_pending)
    {
        this->is_maintenance_pending = true;
        this->runtime.call_after(maintenance_interval,
                                 [this]
                                 {
                                     this->is_maintenance_pending = false;
                                     this->maintain();
                                 });
    }
}

void node::maintain_connections()
{
    // Replicas of a zone that has just fallen silent are checked at once, so
    // that they are found unreachable before requests fail on them.
    const auto now = this->runtime.now();
    const auto silent_now = this->members.nodes.silent_zones(now);
    const auto silent_before = std::exchange(this->silent_zones, silent_now);
    std::size_t remote_count = 0;
    std::size_t unreachable_count = 0;
    const auto& config = this->engine.configuration_in_force();
    for (const auto& listed : this->engine.registry.all())
    {
        const auto& target = listed.second;
        const bool is_in_use =
            config != nullptr &&
            config->services.contains(target->record.service) &&
            !target->record.is_draining && !target->is_leaving &&
            target->back_off_until <= now;
        if (!is_in_use)
        {
            continue;
        }
        const auto& zone = target->record.zone;
        if (zone != this->settings.zone)
        {
            ++remote_count;
            unreachable_count += target->health.is_unreachable(now) ? 1 : 0;
        }
        if (silent_now.contains(zone) && !silent_before.contains(zone))
        {
            this->engine.check(target);
        }
        if (target->health.is_suspect())
        {
            this->check_suspect(target);
        }
        else if (target->may_be_cold)
        {
            this->engine.check(target);
        }
        else
        {
            this->suspects.erase(listed.first);
            this->pool.keep_connected(target);
        }
    }
    this->update_cut_off(remote_count, unreachable_count);
}

void node::update_cut_off(std::size_t remote_count,
                          std::size_t unreachable_count)
{
    const bool is_now_cut_off = unreachable_count * 2 > remote_count;
    if (is_now_cut_off != this->is_cut_off)
    {
        this->is_cut_off = is_now_cut_off;
        this->log.write(is_now_cut_off ? log_event::cut_off
                                       : log_event::cut_healed,
                        {{"replicas", std::to_string(remote_count)},
                         {"unreachable", std::to_string(unreachable_count)}});
    }
}

void node::check_suspect(const core::relay::replica_ptr& target)
{
    const auto& id = target->record.id;
    if (this->suspects.insert(id).second)
    {
        this->log.write(log_event::replica_suspect,
                        {{"replica", id}, {"service", target->record.service}});
    }
    this->engine.check(target);
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
    const auto request_number = this->engine.start(
        std::move(*request),
        [this, exchange, respond, is_answered](
            core::relay::caller_answer answer)
        {
            *is_answered = true;
            this->requests_by_exchange.erase(exchange);
            respond(platform::write_caller_answer(std::move(answer)));
        });
    if (!*is_answered)
    {
        this->requests_by_exchange[exchange] = request_number;
    }
}

void node::serve_directory(const http::request& message,
                           const http::responder& respond)
{
    const auto query = platform::read_directory_query(message.target);
    if (!query)
    {
        respond(platform::write_bad_input(query.error().code,
                                          query.error().detail));
        return;
    }
    this->engine.counters.add(relay_counter::directory_answers);
    std::vector<std::string> addresses;
    const auto usable = core::relay::choose_entries(
        this->members.nodes.usable(this->runtime.now()),
        query->zone,
        this->directory_answers++);
    addresses.reserve(usable.size());
    for (const auto& item : usable)
    {
        addresses.push_back(item.caller_address);
    }
    respond(platform::write_directory_answer(addresses,
                                             this->current_address_ttl()));
}

std::chrono::seconds node::current_address_ttl() const
{
    // Addresses expire before a stopping node closes its idle connections.
    const auto until_idle_close =
        std::chrono::duration_cast<std::chrono::seconds>(
            this->time_in_grace(close_idle_fraction));
    return std::max(
        min_address_ttl,
        std::min(
            {address_ttl, this->settings.max_address_ttl, until_idle_close}));
}

core::base::duration node::time_in_grace(double fraction) const
{
    return std::chrono::duration_cast<core::base::duration>(
        fraction * std::chrono::duration<double>(this->settings.stop_grace));
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
    this->settings.max_address_ttl = changed.max_address_ttl;
    this->clients->set_limits(to_client_limits(changed));
    this->engine.set_bounds(to_engine_settings(changed));
    this->quotas.ledger.set_bounds(
        changed.quota_window, changed.quota_overshoot, changed.quota_slack);
    this->rollouts.set_bounds(changed.rollouts, changed.min_lease);
    this->members.set_seeds(changed.seeds);
    this->log.write(log_event::settings_reloaded,
                    {{"extra_ratio", std::to_string(changed.extra_ratio)},
                     {"extra_slack", std::to_string(changed.extra_slack)}});
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
    this->members.stop();
    this->callers->drain();
    const auto now = this->runtime.now();
    this->engine.close_at(now + this->time_in_grace(answer_fraction));
    this->await_connections_closed(now +
                                       this->time_in_grace(close_idle_fraction),
                                   now + this->time_in_grace(exit_fraction),
                                   done);
}

void node::await_connections_closed(core::base::time_point close_idle_at,
                                    core::base::time_point exit_at,
                                    const std::function<void()>& done)
{
    const auto now = this->runtime.now();
    if (now >= close_idle_at && !this->is_idle_closed)
    {
        this->is_idle_closed = true;
        this->callers->close_idle();
    }
    const bool is_finished =
        this->is_idle_closed && this->callers->connections() == 0;
    if (is_finished || now >= exit_at)
    {
        this->log.write(
            log_event::relay_stopped,
            {{"connections", std::to_string(this->callers->connections())}});
        this->log.flush();
        done();
        return;
    }
    this->runtime.call_after(stop_poll_interval,
                             [this, close_idle_at, exit_at, done]
                             {
                                 this->await_connections_closed(
                                     close_idle_at, exit_at, done);
                             });
}

} // namespace

std::unique_ptr<relay_node> relay_node::create(boost::asio::io_context& io,
                                               relay_settings settings)
{
    return std::make_unique<node>(io, std::move(settings));
}

} // namespace hawthornrelay::adapters::relay
