/// @file
/// @brief A relay engine with scripted replicas on a simulated clock.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <core/relay/request_engine.hpp>
#include <ports/event_log.hpp>
#include <ports/replica_transport.hpp>
#include <support/event_loop.hpp>

namespace hawthornrelay::tests::support
{

namespace relay = core::relay;
using relay::send_result;

/// @brief Records the lines that are written.
class recording_log final : public ports::event_log
{
  public:
    bool is_enabled(core::base::log_event /*event*/) override
    {
        return true;
    }

    void write(core::base::log_event event,
               std::initializer_list<ports::log_field> fields) override
    {
        std::string line(core::base::name_of(event));
        for (const auto& field : fields)
        {
            line += " " + std::string(field.name) + "=" + field.value;
        }
        this->lines.push_back(std::move(line));
    }

    std::vector<std::string> lines;
};

/// @brief Scripted reply of a replica to one request.
struct scripted_reply
{
    send_result result = send_result::answered;
    core::base::duration after = std::chrono::milliseconds(5); ///< the send
    unsigned status = 200;
    std::optional<double> rate_limit = std::nullopt;
    bool is_leaving = false;
    std::optional<core::base::duration> back_off = std::nullopt;
    std::optional<relay::replica_load> load = std::nullopt;
};

/// @brief Replicas that reply to each request as a script says.
class scripted_replicas final : public ports::replica_transport
{
  public:
    using script = std::function<scripted_reply(const relay::replica& replica,
                                                const std::string& request)>;

    scripted_replicas(event_loop& loop, script script)
        : behaviour(std::move(script)), loop(loop)
    {
    }

    std::uint64_t send(const relay::replica_ptr& to,
                       std::shared_ptr<const ports::forwarded_request> request,
                       core::base::duration time_left,
                       handler done) override
    {
        const auto send_id = ++this->last_send_id;
        const auto reply = this->behaviour(*to, request->id);
        this->arrivals.push_back(
            {this->loop.now(), to->record.service, to->record.id, request->id});
        this->max_time_left = std::max(this->max_time_left, time_left);
        this->pending[send_id] = std::move(done);
        const auto id = to->record.id;
        this->loop.after(reply.after,
                         [this, send_id, reply, id, request]
                         {
                             this->finish(send_id, reply, id, request->id);
                         });
        return send_id;
    }

    void
    check_health(const relay::replica_ptr& to,
                 std::function<void(const ports::health_report&)> done) override
    {
        ++this->checks;
        this->loop.after(this->check_delay,
                         [this, to, done]
                         {
                             done(this->health(*to));
                         });
    }

    void cancel(std::uint64_t send) override
    {
        this->cancelled += this->pending.erase(send);
    }

    struct arrival
    {
        time_point at;
        std::string service;
        std::string replica;
        std::string request;
    };

    /// Counts the arrivals of a request at one service, or at all services if
    /// `service` is empty.
    [[nodiscard]] std::size_t count(const std::string& request,
                                    const std::string& service = {}) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->arrivals.begin(),
            this->arrivals.end(),
            [&](const arrival& item)
            {
                return item.request == request &&
                       (service.empty() || item.service == service);
            }));
    }

    script behaviour;
    std::vector<arrival> arrivals;
    std::size_t cancelled = 0;
    std::size_t checks = 0;
    core::base::duration check_delay = std::chrono::milliseconds(2);
    std::function<ports::health_report(const relay::replica&)> health =
        [](const relay::replica&)
    {
        return ports::health_report{true, true, std::nullopt};
    };
    core::base::duration max_time_left{};
    /// The load that a replica reports at the time of an answer, if set.
    std::function<std::optional<relay::replica_load>(const std::string& id)>
        load_of;

  private:
    void finish(std::uint64_t send_id,
                const scripted_reply& reply,
                const std::string& replica,
                const std::string& request)
    {
        const auto found = this->pending.find(send_id);
        if (found == this->pending.end())
        {
            return;
        }
        const auto done = std::move(found->second);
        this->pending.erase(found);
        ports::send_outcome outcome;
        outcome.result = reply.result;
        outcome.rate_limit = reply.rate_limit;
        outcome.is_leaving = reply.is_leaving;
        outcome.back_off = reply.back_off;
        outcome.load = this->load_of ? this->load_of(replica) : reply.load;
        outcome.detail = "scripted";
        outcome.answer.status = reply.status;
        outcome.answer.signature = replica + "." + request;
        outcome.answer.body = std::string(16, 'r');
        done(outcome);
    }

    event_loop& loop;
    std::uint64_t last_send_id = 0;
    std::map<std::uint64_t, handler> pending;
};

/// @brief How a caller presents itself.
struct simulated_caller
{
    std::string address = "10.0.0.1";
    std::string credentials{};
    std::string host = "h.example";
};

/// @brief A relay engine with three routes: a search over all shards, and two
///        to a single destination, of which only `lookup` is idempotent.
///        Each service has a replica in the engine's zone and one elsewhere.
struct relay_simulation
{
    /// @param slack extra sends that the nodes of the site may make besides
    ///        the ratio
    /// @param seed makes the random choices of nodes differ
    explicit relay_simulation(scripted_replicas::script script,
                              std::size_t shards = 20,
                              double slack = 56,
                              std::uint64_t seed = 0)
        : runtime(loop), replicas(loop, std::move(script)),
          engine(settings(slack, seed), runtime, replicas, log)
    {
        auto initial = std::make_shared<relay::configuration>();
        initial->version = 1;
        relay::route search;
        search.name = "search";
        search.host = "h.example";
        search.prefix = "/s/";
        search.is_idempotent = true;
        search.timeout = std::chrono::milliseconds(400);
        search.latency_objective = std::chrono::milliseconds(80);
        search.max_replicas_per_attempt = 2;
        search.result_limit = 20;
        search.min_shard_ratio = 0.89;
        for (std::size_t i = 0; i < shards; ++i)
        {
            const auto name = "shard" + std::to_string(i);
            search.shards.push_back(name);
            initial->services[name] = {.name = name};
            this->add_replica(name, name + "-a", "here");
            this->add_replica(name, name + "-b", "there");
        }
        relay::route single;
        single.name = "single";
        single.host = "h.example";
        single.prefix = "/b/";
        single.timeout = std::chrono::milliseconds(1500);
        single.latency_objective = std::chrono::milliseconds(250);
        single.max_replicas_per_attempt = 2;
        single.destinations = {{"book", 1.0}};
        initial->services["book"] = {.name = "book"};
        this->add_replica("book", "book-a", "here");
        this->add_replica("book", "book-b", "there");
        auto lookup = single;
        lookup.name = "lookup";
        lookup.prefix = "/l/";
        lookup.is_idempotent = true;
        initial->routes = {search, single, lookup};
        this->config = initial;
        this->engine.set_configuration(initial);
    }

    static relay::engine_settings settings(double slack, std::uint64_t seed = 0)
    {
        relay::engine_settings result;
        result.zone = "here";
        result.extras.slack = slack;
        result.seed = seed;
        result.is_extra_history_known = true;
        return result;
    }

    void add_replica(const std::string& service,
                     const std::string& id,
                     const std::string& zone)
    {
        relay::replica_record record;
        record.id = id;
        record.service = service;
        record.address = "10.0.0.1:80";
        record.zone = zone;
        record.slots = 2;
        record.started_at = 1;
        this->engine.registry.put(record, this->loop.now());
    }

    /// Starts a request; its answer is recorded under its id.
    std::uint64_t
    start(const std::string& id,
          const std::string& target,
          std::chrono::milliseconds time_left = std::chrono::milliseconds(400),
          const simulated_caller& caller = {})
    {
        auto message = std::make_shared<ports::forwarded_request>();
        message->id = id;
        message->method = "GET";
        message->target = target;
        message->host = caller.host;
        relay::caller_request request;
        request.message = message;
        request.caller_address = caller.address;
        request.credentials = caller.credentials;
        request.time_left = time_left;
        request.round_trip = std::chrono::milliseconds(2);
        const auto sent_at = this->loop.now();
        return this->engine.start(
            std::move(request),
            [this, id, sent_at](relay::caller_answer answer)
            {
                ++this->answer_count[id];
                this->answers[id] = std::move(answer);
                this->latencies[id] = this->loop.now() - sent_at;
            });
    }

    event_loop loop;
    process_runtime runtime;
    recording_log log;
    scripted_replicas replicas;
    relay::request_engine engine;
    relay::configuration_ptr config;
    std::map<std::string, relay::caller_answer> answers;
    std::map<std::string, std::size_t> answer_count;
    std::map<std::string, core::base::duration> latencies;
};

} // namespace hawthornrelay::tests::support
