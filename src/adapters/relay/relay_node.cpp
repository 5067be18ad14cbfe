#include <adapters/relay/relay_node.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include <adapters/asio/asio_runtime.hpp>
#include <adapters/http/server.hpp>
#include <adapters/log/stdout_log.hpp>
#include <adapters/relay/membership.hpp>
#include <adapters/relay/metrics_page.hpp>
#include <adapters/relay/peer_feed.hpp>
#include <adapters/relay/replica_pool.hpp>
#include <adapters/relay/store_view.hpp>
#include <core/relay/entry_choice.hpp>
#include <core/relay/request_engine.hpp>
#include <core/relay/store_follower.hpp>
#include <core/relay/store_mirror.hpp>
#include <platform/caller_wire.hpp>
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
          fleet({.io = io,
                 .runtime = this->runtime,
                 .store = this->store,
                 .log = this->log,
                 .mirror = this->mirror,
                 .follower = this->follower,
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
                 .crashes_to_tell =
                     [this]
                 {
                     return this->engine.crashes_to_tell();
                 },
                 .on_crashes =
                     [this](const std::vector<core::relay::crash_report>& of)
                 {
                     this->engine.merge_crashes(of);
                 },
                 .on_store_lost =
                     [this]
                 {
                     this->follower.note_trouble();
                     this->engine.counters.add(relay_counter::store_failures);
                 }},
                this->settings),
          view(this->runtime,
               this->engine,
               this->fleet.nodes,
               this->log,
               [this](const core::relay::caller_limits& limits)
               {
                   this->on_limits(limits);
               })
    {
    }

    result<void> start() override
    {
        this->pool.on_dropped = [this](const core::relay::replica_ptr& target)
        {
            this->engine.on_possible_restart(target);
        };
        auto opened = this->open_listeners();
        if (!opened)
        {
            return opened;
        }
        this->log.write(
            log_event::relay_started,
            {{"zone", this->settings.zone},
             {"callers", this->settings.callers.text()},
             {"run", std::to_string(this->fleet.nodes.self().run)},
             {"millicores", std::to_string(this->settings.millicores)},
             {"first_start", this->settings.is_first_start ? "1" : "0"}});
        this->fleet.start();
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
    void on_item(const ports::store_item& item);
    void on_limits(const core::relay::caller_limits& from);
    void share_bounds();
    void upkeep();
    void keep_connections();
    void note_cut(std::size_t far, std::size_t unreachable);
    void check_suspect(const core::relay::replica_ptr& target);
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
    core::relay::store_mirror mirror;
    peer_feed feed;
    core::relay::store_follower follower;
    membership fleet;
    store_view view;
    bool is_feed_due = false;
    bool is_cut_off = false;
    std::set<std::string> silent_zones;
    std::size_t directory_answers = 0;
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
    auto opened_peers = this->fleet.open();
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

void node::on_source_reach(bool is_reachable, const std::string& reason)
{
    this->log.write(is_reachable ? log_event::source_regained
                                 : log_event::source_lost,
                    {{"source", this->fleet.source_name()},
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
                                     this->fleet.on_mirror_complete();
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

void node::share_bounds()
{
    auto& nodes = this->fleet.nodes;
    const auto count = nodes.entry_count(this->runtime.now());
    const bool is_entry = nodes.self().is_entry;
    this->engine.set_division(count, is_entry);
    this->pool.set_bounds(
        this->engine.configuration_in_force(), count, is_entry);
}

void node::upkeep()
{
    this->engine.note_running();
    for (const auto& id : this->engine.registry.expire(this->runtime.now()))
    {
        this->log.write(log_event::replica_removed,
                        {{"replica", id}, {"reason", "lapsed"}});
    }
    this->fleet.report_silent();
    this->pool.drop_removed();
    this->share_bounds();
    if (this->fleet.nodes.self().is_entry)
    {
        this->keep_connections();
    }
    else
    {
        this->pool.close_idle();
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

void node::keep_connections()
{
    // Checked at once, replicas of a lost zone need not fail requests first.
    const auto now = this->runtime.now();
    const auto silent = this->fleet.nodes.silent_zones(now);
    const auto known = std::exchange(this->silent_zones, silent);
    std::size_t far = 0;
    std::size_t unreachable = 0;
    const auto& config = this->engine.configuration_in_force();
    for (const auto& listed : this->engine.registry.all())
    {
        const auto& target = listed.second;
        const bool is_in_use =
            config != nullptr &&
            config->services.contains(target->record.service) &&
            !target->record.is_draining;
        if (!is_in_use)
        {
            continue;
        }
        const auto& zone = target->record.zone;
        if (zone != this->settings.zone)
        {
            ++far;
            unreachable += target->health.is_unreachable(now) ? 1 : 0;
        }
        if (silent.contains(zone) && !known.contains(zone))
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
            this->pool.keep_warm(target);
        }
    }
    this->note_cut(far, unreachable);
}

void node::note_cut(std::size_t far, std::size_t unreachable)
{
    const bool is_cut = unreachable * 2 > far;
    if (is_cut != this->is_cut_off)
    {
        this->is_cut_off = is_cut;
        this->log.write(is_cut ? log_event::cut_off : log_event::cut_healed,
                        {{"replicas", std::to_string(far)},
                         {"unreachable", std::to_string(unreachable)}});
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
        this->fleet.nodes.usable(this->runtime.now()),
        question->zone,
        this->directory_answers++);
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
    this->engine.set_bounds(engine_settings_of(changed));
    this->fleet.set_seeds(changed.seeds);
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
    this->fleet.stop();
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
