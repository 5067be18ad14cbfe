// Roll-outs over several nodes, with a simulated clock, store and replicas.
#define BOOST_TEST_MODULE rollouts
#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <set>

#include <core/relay/rollout_manager.hpp>
#include <support/relay_simulation.hpp>

using namespace hawthornrelay;
using namespace hawthornrelay::tests::support;
using namespace std::chrono_literals;
using relay::rollout_state;

namespace
{

const std::string decider_key = "decider";
const std::string status_prefix = "status/";

/// The store, shared by all nodes. Each write passes `on_write`, which may end
/// the writer.
struct simulated_store
{
    struct row
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    void put(const std::string& key,
             const std::string& value,
             std::uint64_t lease = 0)
    {
        this->rows[key] = {value, ++this->revision, lease};
        this->on_change(key);
    }

    void remove(const std::string& key)
    {
        this->rows.erase(key);
        ++this->revision;
        this->on_change(key);
    }

    void keep(std::uint64_t lease)
    {
        const auto until = this->loop.now() + this->leases.at(lease).second;
        this->leases.at(lease).first = until;
        this->loop.at(until,
                      [this, lease]
                      {
                          this->expire(lease);
                      });
    }

    void expire(std::uint64_t lease)
    {
        const auto found = this->leases.find(lease);
        if (found == this->leases.end() ||
            found->second.first > this->loop.now())
        {
            return;
        }
        this->leases.erase(found);
        std::vector<std::string> bound;
        for (const auto& [key, item] : this->rows)
        {
            if (item.lease == lease)
            {
                bound.push_back(key);
            }
        }
        for (const auto& key : bound)
        {
            this->remove(key);
        }
    }

    event_loop& loop;
    std::map<std::string, row> rows{};
    std::map<std::uint64_t, std::pair<time_point, duration>> leases{};
    std::uint64_t revision = 0;
    std::uint64_t last_lease = 0;
    bool is_away = false;
    std::size_t answers_to_lose = 0;
    std::function<void(const std::string& key)> on_change{};
};

/// One node's connection to the store.
class store_connection final : public ports::metadata_store
{
  public:
    explicit store_connection(simulated_store& store) : store(store)
    {
    }

    void list(const std::string&,
              ports::store_handler<ports::store_page>) override
    {
    }
    void watch(const ports::store_position&,
               std::chrono::milliseconds,
               ports::store_handler<ports::store_page>) override
    {
    }
    void put(const std::string&,
             const std::string&,
             ports::lease_id,
             ports::store_handler<std::uint64_t>) override
    {
    }

    void transact(const ports::store_transaction& transaction,
                  ports::store_handler<std::uint64_t> done) override
    {
        this->call<std::uint64_t>(
            std::move(done),
            [this, transaction]() -> core::base::result<std::uint64_t>
            {
                for (const auto& item : transaction.expected)
                {
                    const auto found = this->store.rows.find(item.key);
                    const auto known = found == this->store.rows.end()
                                           ? 0
                                           : found->second.revision;
                    if (known != item.revision)
                    {
                        return core::base::fail(
                            core::base::result_code::revision_conflict);
                    }
                }
                for (const auto& item : transaction.puts)
                {
                    this->store.put(item.key, item.value, item.lease);
                }
                return this->store.revision;
            });
    }

    void create_lease(std::chrono::milliseconds time_to_live,
                      ports::store_handler<ports::lease_id> done) override
    {
        this->call<ports::lease_id>(
            std::move(done),
            [this, time_to_live]() -> core::base::result<ports::lease_id>
            {
                const auto id = ++this->store.last_lease;
                this->store.leases[id] = {{}, time_to_live};
                this->store.keep(id);
                return id;
            });
    }

    void renew_lease(ports::lease_id lease,
                     ports::store_handler<bool> done) override
    {
        this->call<bool>(std::move(done),
                         [this, lease]() -> core::base::result<bool>
                         {
                             if (!this->store.leases.contains(lease))
                             {
                                 return core::base::fail(
                                     core::base::result_code::no_such_item);
                             }
                             this->store.keep(lease);
                             return true;
                         });
    }

    void end_lease(ports::lease_id, ports::store_handler<bool>) override
    {
    }

    bool is_alive = true;
    std::function<void()> before_transaction;

  private:
    template <typename T>
    void call(ports::store_handler<T> done,
              std::function<core::base::result<T>()> apply)
    {
        this->store.loop.after(
            5ms,
            [this, done = std::move(done), apply = std::move(apply)]
            {
                if (this->store.is_away || !this->is_alive)
                {
                    this->answer<T>(
                        done,
                        core::base::fail(
                            core::base::result_code::platform_unreachable));
                    return;
                }
                auto result = apply();
                if (this->store.answers_to_lose > 0)
                {
                    --this->store.answers_to_lose;
                    result = core::base::fail(
                        core::base::result_code::platform_answer_lost);
                }
                this->answer<T>(done, std::move(result));
            });
    }

    template <typename T>
    void answer(const ports::store_handler<T>& done,
                core::base::result<T> result)
    {
        this->store.loop.after(5ms,
                               [this, done, result]
                               {
                                   if (this->is_alive)
                                   {
                                       done(result);
                                   }
                               });
    }

    simulated_store& store;
};

std::string encode(const relay::rollout_status& status)
{
    std::string text = std::to_string(static_cast<int>(status.state)) + " " +
                       status.target_version + " " +
                       std::to_string(status.order) + " " +
                       std::to_string(status.elapsed.count());
    for (const auto& version : status.base_versions)
    {
        text += " " + version;
    }
    return text;
}

relay::rollout_status decode(const std::string& text)
{
    std::istringstream in(text);
    relay::rollout_status result;
    int state = 0;
    std::int64_t elapsed = 0;
    in >> state >> result.target_version >> result.order >> elapsed;
    result.state = static_cast<rollout_state>(state);
    result.elapsed = duration(elapsed);
    for (std::string version; in >> version;)
    {
        result.base_versions.insert(version);
    }
    return result;
}

struct response
{
    bool is_bad = false;
    duration latency = 10ms;
    bool is_usual = false; ///< a failure that v1 has as well
};

/// What a replica does with a request of a route at a time since the order.
using behaviour = std::function<response(
    const relay::replica_record&, const std::string& route, duration age)>;

struct simulated_node
{
    simulated_node(event_loop& loop,
                   simulated_store& store,
                   const std::string& name,
                   scripted_replicas::script script)
        : name(name), runtime(loop), connection(store),
          replicas(loop, std::move(script)),
          engine(relay_simulation::settings(1000), runtime, replicas, log),
          rollouts(runtime,
                   connection,
                   log,
                   engine.registry,
                   engine.counters,
                   name,
                   {decider_key, status_prefix, encode})
    {
        this->engine.rollouts = &this->rollouts;
        this->rollouts.set_bounds({}, 1s);
    }

    std::string name;
    bool is_alive = true;
    process_runtime runtime;
    recording_log log;
    store_connection connection;
    scripted_replicas replicas;
    relay::request_engine engine;
    relay::rollout_manager rollouts;
};

/// Four nodes, four replicas of v1 and four of v2 in two zones, two routes.
struct rollout_simulation
{
    static constexpr std::size_t node_count = 4;

    explicit rollout_simulation(behaviour behave) : behave(std::move(behave))
    {
        this->store.on_change = [this](const std::string& key)
        {
            this->on_change(key);
        };
        auto config = std::make_shared<relay::configuration>();
        config->version = 1;
        config->services["s"] = {.name = "s"};
        for (const auto* route : {"one", "two"})
        {
            relay::route item;
            item.name = route;
            item.host = "h.example";
            item.prefix = "/" + item.name + "/";
            item.is_idempotent = true;
            item.timeout = 1000ms;
            item.latency_objective = 400ms;
            item.max_replicas_per_attempt = 2;
            item.destinations = {{"s", 1.0}};
            config->routes.push_back(item);
        }
        this->config = config;
        for (std::size_t i = 0; i < node_count; ++i)
        {
            this->nodes.push_back(this->make_node("n" + std::to_string(i)));
        }
        this->send_messages();
        this->send_request();
    }

    std::unique_ptr<simulated_node> make_node(const std::string& name)
    {
        auto made = std::make_unique<simulated_node>(
            this->loop,
            this->store,
            name,
            [this](const relay::replica& target, const std::string& request)
            {
                return this->reply(target.record, request);
            });
        made->engine.set_configuration(this->config);
        made->engine.set_division(node_count, true);
        for (const auto* version : {"v1", "v2"})
        {
            for (int i = 0; i < 4; ++i)
            {
                this->add_replica(*made, version, i);
            }
        }
        return made;
    }

    void
    add_replica(simulated_node& node, const std::string& version, int i) const
    {
        relay::replica_record record;
        record.id = version + "-" + std::to_string(i);
        record.service = "s";
        record.address = "10.0.0.1:80";
        // Most replicas of v2 are in the zone that a test makes slow.
        const bool is_near = version == "v1" ? i % 2 == 0 : i == 0;
        record.zone = is_near ? "here" : "there";
        record.version = version;
        record.slots = 8;
        record.started_at = 1;
        node.engine.registry.put(record, this->loop.now());
    }

    void order(const std::string& version, std::chrono::seconds length)
    {
        this->ordered_at = this->loop.now();
        this->deadline = this->ordered_at + length;
        this->store.put("op/s", version);
    }

    void on_change(const std::string& key)
    {
        const auto found = this->store.rows.find(key);
        const bool is_removed = found == this->store.rows.end();
        const auto row = is_removed ? simulated_store::row{} : found->second;
        if (key == "status/s" && !is_removed)
        {
            this->states.push_back(decode(row.value).state);
            this->state_changed_at = this->loop.now();
        }
        if (this->on_write)
        {
            this->on_write(key);
        }
        for (const auto& node : this->nodes)
        {
            const bool is_late = node->name == this->late_mirror;
            this->loop.after(is_late ? 8s : 30ms,
                             [this, node = node.get(), key, row, is_removed]
                             {
                                 this->apply(*node, key, row, is_removed);
                             });
        }
    }

    void apply(simulated_node& node,
               const std::string& key,
               const simulated_store::row& row,
               bool is_removed) const
    {
        if (!node.is_alive)
        {
            return;
        }
        if (key == decider_key)
        {
            node.rollouts.on_decider(row.value);
        }
        else if (key == "op/s" && !is_removed)
        {
            node.rollouts.on_order(
                "s",
                relay::rollout_order{
                    "s",
                    row.value,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        this->deadline - this->ordered_at),
                    row.revision});
        }
        else if (key == "status/s")
        {
            auto status = decode(row.value);
            status.revision = row.revision;
            node.rollouts.on_status("s", status, false);
        }
    }

    void send_messages()
    {
        std::set<std::string> alive;
        for (const auto& node : this->nodes)
        {
            if (node->is_alive)
            {
                alive.insert(node->name);
            }
        }
        std::size_t rank = 0;
        for (const auto& node : this->nodes)
        {
            if (!node->is_alive)
            {
                continue;
            }
            auto others = alive;
            others.erase(node->name);
            node->rollouts.set_fleet(true, rank++, others);
            node->rollouts.tick();
            const auto message = node->rollouts.message_to_send();
            for (const auto& other : this->nodes)
            {
                if (other != node && other->is_alive)
                {
                    this->loop.after(
                        1ms,
                        [to = other.get(), from = node->name, message]
                        {
                            if (to->is_alive)
                            {
                                to->rollouts.on_message(from, 1, message);
                            }
                        });
                }
            }
        }
        this->loop.after(200ms,
                         [this]
                         {
                             this->send_messages();
                         });
    }

    void send_request()
    {
        ++this->request_count;
        auto& node = *this->nodes[this->request_count % node_count];
        if (node.is_alive)
        {
            const std::string route =
                this->request_count / node_count % 4 == 0 ? "two" : "one";
            auto message = std::make_shared<ports::forwarded_request>();
            message->id = route + "-" + std::to_string(this->request_count);
            message->method = "GET";
            message->target = "/" + route + "/x";
            message->host = "h.example";
            relay::caller_request request;
            request.message = message;
            request.time_left = 900ms;
            request.round_trip = 2ms;
            node.engine.start(std::move(request),
                              [this](const relay::caller_answer& answer)
                              {
                                  this->failures +=
                                      answer.code == core::base::result_code::ok
                                          ? 0
                                          : 1;
                              });
        }
        this->loop.after(4ms,
                         [this]
                         {
                             this->send_request();
                         });
    }

    scripted_reply reply(const relay::replica_record& target,
                         const std::string& request)
    {
        const auto now = this->loop.now();
        const auto answer = this->behave(target,
                                         request.substr(0, request.find('-')),
                                         now - this->ordered_at);
        if (now >= this->ordered_at)
        {
            this->arrivals.emplace_back(now, target.version);
        }
        if (answer.is_bad && !answer.is_usual && target.version == "v2")
        {
            this->bad_at.push_back(now + answer.latency);
        }
        // Responses differ by up to a half.
        const auto latency =
            answer.latency + answer.latency * (this->random() % 50) / 100;
        return {send_result::answered,
                latency,
                answer.is_bad && answer.latency < 30ms ? 500U : 200U};
    }

    [[nodiscard]] std::size_t
    count(const std::string& version, time_point from, time_point to) const
    {
        std::size_t result = 0;
        for (const auto& [at, served] : this->arrivals)
        {
            result += served == version && at >= from && at < to ? 1 : 0;
        }
        return result;
    }

    /// Replaces all nodes by new ones, which list the store.
    void restart_all()
    {
        for (auto& node : this->nodes)
        {
            kill(*node);
            this->ended.push_back(std::move(node));
        }
        this->nodes.clear();
        for (std::size_t i = 0; i < node_count; ++i)
        {
            this->nodes.push_back(this->make_node("n" + std::to_string(i)));
            for (const auto& [key, row] : this->store.rows)
            {
                this->apply(*this->nodes.back(), key, row, false);
            }
        }
    }

    /// Ends a node that decides, as SIGKILL does.
    void kill_decider()
    {
        for (const auto& node : this->nodes)
        {
            if (node->is_alive && node->rollouts.is_decider())
            {
                this->kill(*node);
            }
        }
    }

    static void kill(simulated_node& node)
    {
        node.is_alive = false;
        node.connection.is_alive = false;
    }

    void check_bad_is_rolled_back() const
    {
        BOOST_TEST_REQUIRE(!this->states.empty());
        BOOST_TEST((this->states.back() == rollout_state::rolled_back));
        BOOST_TEST((this->state_changed_at < this->deadline));
        const auto v2 = this->count("v2", this->ordered_at, this->deadline);
        const auto v1 = this->count("v1", this->ordered_at, this->deadline);
        BOOST_TEST(static_cast<double>(v2) <=
                   0.1 * static_cast<double>(v1 + v2) + 50);
        if (this->bad_at.size() >= 50)
        {
            const auto limit = this->bad_at[49] + 5s;
            BOOST_TEST(this->count("v2", limit, this->loop.now()) == 0U);
        }
        BOOST_TEST(this->count("v2",
                               this->state_changed_at + 100ms,
                               this->loop.now()) == 0U);
    }

    void check_good_is_completed() const
    {
        BOOST_TEST_REQUIRE(!this->states.empty());
        BOOST_TEST((this->states.back() == rollout_state::completed));
        BOOST_TEST((this->state_changed_at < this->deadline));
        BOOST_TEST(
            this->count("v1", this->state_changed_at, this->loop.now()) == 0U);
        BOOST_TEST(this->count("v2", this->state_changed_at, this->loop.now()) >
                   0U);
        BOOST_TEST(this->failures == 0U);
    }

    event_loop loop;
    simulated_store store{loop};
    behaviour behave;
    relay::configuration_ptr config;
    std::vector<std::unique_ptr<simulated_node>> nodes;
    std::vector<std::unique_ptr<simulated_node>> ended;
    std::string late_mirror; ///< name of a node that learns of changes late
    std::mt19937 random{7};
    std::size_t request_count = 0;
    std::size_t failures = 0;
    time_point ordered_at = time_point::max();
    time_point deadline{};
    time_point state_changed_at{};
    std::vector<rollout_state> states;
    std::vector<time_point> bad_at;
    std::vector<std::pair<time_point, std::string>> arrivals;
    std::function<void(const std::string& key)> on_write;
};

response good(const relay::replica_record&, const std::string&, duration)
{
    return {};
}

/// A part of the responses of v2 fails.
behaviour failing(unsigned percent,
                  duration from = duration(0),
                  const std::string& only_route = {})
{
    const auto counter = std::make_shared<unsigned>(0);
    return [=](const relay::replica_record& target,
               const std::string& route,
               duration age) -> response
    {
        const bool is_affected = target.version == "v2" && age >= from &&
                                 (only_route.empty() || route == only_route);
        return {is_affected && (*counter += percent) % 100 < percent};
    };
}

void run_bad(const behaviour& behave)
{
    rollout_simulation simulation(behave);
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(35s);
    simulation.check_bad_is_rolled_back();
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_versions)

BOOST_AUTO_TEST_CASE(bad_at_once)
{
    run_bad(failing(30));
}

BOOST_AUTO_TEST_CASE(bad_later)
{
    run_bad(failing(30, 12s));
}

BOOST_AUTO_TEST_CASE(bad_on_one_route)
{
    run_bad(failing(40, duration(0), "two"));
}

// Guards against a comparison over all routes, in which the failures of one
// route hide those of another.
BOOST_AUTO_TEST_CASE(bad_on_one_route_beside_failures_of_another)
{
    const auto bad = failing(30, duration(0), "two");
    const auto counter = std::make_shared<unsigned>(0);
    run_bad(
        [bad, counter](const relay::replica_record& target,
                       const std::string& route,
                       duration age) -> response
        {
            const bool is_failing = route == "one" && ++*counter % 4 == 0;
            return is_failing ? response{true, 10ms, true}
                              : bad(target, route, age);
        });
}

BOOST_AUTO_TEST_CASE(several_times_slower)
{
    const auto counter = std::make_shared<unsigned>(0);
    run_bad(
        [counter](const relay::replica_record& target,
                  const std::string&,
                  duration) -> response
        {
            const bool is_slow = target.version == "v2" && ++*counter % 3 == 0;
            return {is_slow, is_slow ? 50ms : 10ms};
        });
}

// Guards against a version that fails only with the whole traffic of its
// service, which the canary does not show.
BOOST_AUTO_TEST_CASE(bad_under_load)
{
    const auto recent = std::make_shared<std::deque<duration>>();
    const auto counter = std::make_shared<unsigned>(0);
    run_bad(
        [recent, counter](const relay::replica_record& target,
                          const std::string&,
                          duration age) -> response
        {
            if (target.version != "v2")
            {
                return {};
            }
            recent->push_back(age);
            while (recent->front() < age - 1s)
            {
                recent->pop_front();
            }
            return {recent->size() > 100 && ++*counter % 3 == 0};
        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(verdicts)

namespace
{

relay::rollout_count row(std::uint32_t zone,
                         std::uint32_t replica,
                         std::uint32_t responses,
                         std::uint32_t failed)
{
    return {.service = 1,
            .order = 1,
            .route = 1,
            .zone = zone,
            .replica = replica,
            .responses = responses,
            .failed = failed};
}

relay::rollout_verdict
verdict_on(const std::vector<relay::rollout_count>& counts)
{
    relay::rollout_judge judge;
    judge.on_counts("n", 1, counts);
    return judge.verdict();
}

} // namespace

// Guards against a verdict on the version because of one replica.
BOOST_AUTO_TEST_CASE(one_replica_is_not_the_version)
{
    const auto base = row(1, 0, 1000, 5);
    const auto faulty = row(1, 2, 40, 20);
    BOOST_TEST((verdict_on({base, faulty, row(1, 3, 100, 0)}) ==
                relay::rollout_verdict::good));
    BOOST_TEST((verdict_on({base, faulty, row(1, 3, 40, 10)}) ==
                relay::rollout_verdict::bad));
    BOOST_TEST((verdict_on({base, faulty}) == relay::rollout_verdict::bad));
}

// Guards against a fault of the site that the earlier versions, which have no
// requests at that time, do not show.
BOOST_AUTO_TEST_CASE(only_concurrent_responses_are_compared)
{
    relay::rollout_judge judge;
    const time_point start{1h};
    judge.record(start);
    judge.on_counts("n", 1, {row(1, 0, 1000, 5), row(1, 3, 50, 0)});
    judge.record(start + 3s);
    judge.on_counts("n", 1, {row(1, 0, 1000, 5), row(1, 3, 100, 25)});
    BOOST_TEST((judge.verdict() == relay::rollout_verdict::good));
    judge.on_counts("n", 1, {row(1, 0, 1050, 5), row(1, 3, 100, 25)});
    BOOST_TEST((judge.verdict() == relay::rollout_verdict::bad));
}

BOOST_AUTO_TEST_CASE(zones_are_compared_by_themselves)
{
    const auto near = row(1, 0, 1000, 5);
    const auto far = row(2, 0, 100, 40);
    BOOST_TEST((verdict_on({near, far, row(2, 3, 60, 25)}) ==
                relay::rollout_verdict::good));
    BOOST_TEST((verdict_on({near, far, row(1, 3, 60, 25)}) ==
                relay::rollout_verdict::bad));
    BOOST_TEST((verdict_on({near, row(1, 3, 5, 0)}) ==
                relay::rollout_verdict::undecided));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(good_versions)

BOOST_AUTO_TEST_CASE(good_is_completed)
{
    rollout_simulation simulation(good);
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(35s);
    const auto at = simulation.ordered_at;
    const auto canary = simulation.count("v2", at, at + 20s);
    BOOST_TEST(canary > 100U);
    BOOST_TEST(canary <= simulation.count("v1", at, at + 20s) / 10 + 50);
    // In the shift, 21 s to 22.5 s after the order, a tenth stays with v1.
    const auto control = simulation.count("v1", at + 21500ms, at + 22300ms);
    BOOST_TEST(control > 5U);
    BOOST_TEST(control < 60U);
    simulation.check_good_is_completed();
}

BOOST_AUTO_TEST_CASE(good_beside_a_slow_zone_and_failures_of_both_versions)
{
    const auto counter = std::make_shared<unsigned>(0);
    rollout_simulation simulation(
        [counter](const relay::replica_record& target,
                  const std::string&,
                  duration age) -> response
        {
            const bool is_slow =
                target.zone == "there" && age > 8s && age < 20s;
            return {++*counter % 40 == 0, is_slow ? 60ms : 10ms};
        });
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(35s);
    BOOST_TEST((simulation.states.back() == rollout_state::completed));
}

// Guards against a verdict on the version because of one replica.
BOOST_AUTO_TEST_CASE(good_with_one_faulty_replica)
{
    const auto counter = std::make_shared<unsigned>(0);
    rollout_simulation simulation(
        [counter](const relay::replica_record& target,
                  const std::string&,
                  duration) -> response
        {
            return {target.id == "v2-1" && ++*counter % 3 == 0};
        });
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(35s);
    BOOST_TEST((simulation.states.back() == rollout_state::completed));
}

// Guards against a comparison with responses of another time: the shift begins
// 21 s after the order.
BOOST_AUTO_TEST_CASE(good_beside_a_fault_that_begins_in_the_shift)
{
    const auto counter = std::make_shared<unsigned>(0);
    rollout_simulation simulation(
        [counter](const relay::replica_record& target,
                  const std::string&,
                  duration age) -> response
        {
            return {target.zone == "there" && age > 20500ms &&
                    ++*counter % 3 == 0};
        });
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(35s);
    BOOST_TEST((simulation.states.back() == rollout_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(faults)

// The decider ends when a write arrives at the store, before its answer: the
// first write is that of its own key, then running, then the end.
BOOST_AUTO_TEST_CASE(decider_killed_after_each_write)
{
    for (const std::size_t killed_write : {0U, 1U, 2U})
    {
        for (const bool is_bad : {false, true})
        {
            rollout_simulation simulation(is_bad ? failing(30) : good);
            std::size_t writes = 0;
            simulation.on_write = [&](const std::string& key)
            {
                const bool is_own = key == decider_key || key == "status/s";
                if (!is_own || !simulation.store.rows.contains(key) ||
                    writes++ != killed_write)
                {
                    return;
                }
                const auto decider = simulation.store.rows[decider_key].value;
                for (const auto& node : simulation.nodes)
                {
                    if (node->name == decider)
                    {
                        rollout_simulation::kill(*node);
                    }
                }
            };
            simulation.loop.run_for(2s);
            simulation.order("v2", 30s);
            simulation.loop.run_for(35s);
            BOOST_TEST_CONTEXT("write " << killed_write << ", bad " << is_bad)
            {
                if (is_bad)
                {
                    simulation.check_bad_is_rolled_back();
                }
                else
                {
                    simulation.check_good_is_completed();
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(decider_killed_between_writes)
{
    for (const auto age : {0ms, 500ms, 3000ms, 10000ms, 20500ms, 21500ms})
    {
        for (const bool is_bad : {false, true})
        {
            rollout_simulation simulation(is_bad ? failing(30, 9500ms) : good);
            simulation.loop.run_for(2s);
            simulation.order("v2", 30s);
            simulation.loop.run_for(age);
            simulation.kill_decider();
            simulation.loop.run_for(35s - age);
            BOOST_TEST_CONTEXT("killed at " << age.count() << ", bad "
                                            << is_bad)
            {
                if (is_bad)
                {
                    simulation.check_bad_is_rolled_back();
                }
                else
                {
                    simulation.check_good_is_completed();
                }
            }
        }
    }
}

// Guards against a decider that continues after a pause in which another node
// has taken over.
BOOST_AUTO_TEST_CASE(two_deciders)
{
    rollout_simulation simulation(failing(30, 9s));
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(5s);
    std::size_t deciders = 0;
    for (const auto& node : simulation.nodes)
    {
        if (node->rollouts.is_decider())
        {
            ++deciders;
            node->is_alive = false; // paused: neither sends nor receives
        }
    }
    BOOST_TEST(deciders == 1U);
    simulation.loop.run_for(3s);
    for (const auto& node : simulation.nodes)
    {
        node->is_alive = true;
    }
    simulation.loop.run_for(27s);
    simulation.check_bad_is_rolled_back();
    BOOST_TEST(std::count(simulation.states.begin(),
                          simulation.states.end(),
                          rollout_state::rolled_back) == 1);
}

BOOST_AUTO_TEST_CASE(store_away_and_answers_lost)
{
    for (const bool is_bad : {false, true})
    {
        rollout_simulation simulation(is_bad ? failing(30, 7s) : good);
        simulation.loop.run_for(2s);
        simulation.store.answers_to_lose = 3;
        simulation.order("v2", 30s);
        simulation.loop.run_for(6s);
        simulation.store.is_away = true;
        simulation.loop.run_for(5s);
        simulation.store.is_away = false;
        simulation.loop.run_for(24s);
        BOOST_TEST_CONTEXT("bad " << is_bad)
        {
            if (is_bad)
            {
                simulation.check_bad_is_rolled_back();
            }
            else
            {
                simulation.check_good_is_completed();
            }
        }
    }
}

// Guards against a share that stays without a decider.
BOOST_AUTO_TEST_CASE(no_decider_no_share)
{
    rollout_simulation simulation(good);
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(6s);
    simulation.store.is_away = true;
    simulation.kill_decider();
    simulation.loop.run_for(2s);
    const auto from = simulation.loop.now();
    simulation.loop.run_for(5s);
    BOOST_TEST(simulation.count("v2", from, simulation.loop.now()) == 0U);
    BOOST_TEST(simulation.count("v2", simulation.ordered_at, from) > 0U);
}

// Guards against a node that returns to replicas which have stopped, since it
// learns of the completion late.
BOOST_AUTO_TEST_CASE(a_late_mirror_after_completion)
{
    rollout_simulation simulation(good);
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(20s);
    simulation.late_mirror = "n3";
    simulation.loop.run_for(13s);
    simulation.check_good_is_completed();
}

// Guards against an order that begins again when all nodes have ended.
BOOST_AUTO_TEST_CASE(all_nodes_restart)
{
    rollout_simulation simulation(good);
    simulation.loop.run_for(2s);
    simulation.order("v2", 60s);
    simulation.loop.run_for(30s);
    simulation.restart_all();
    simulation.loop.run_for(29s);
    simulation.check_good_is_completed();
}

BOOST_AUTO_TEST_CASE(second_order)
{
    rollout_simulation simulation(failing(30));
    simulation.loop.run_for(2s);
    simulation.order("v2", 30s);
    simulation.loop.run_for(20s);
    simulation.check_bad_is_rolled_back();
    simulation.behave = good;
    simulation.arrivals.clear();
    simulation.bad_at.clear();
    simulation.failures = 0;
    simulation.order("v2", 30s);
    simulation.loop.run_for(35s);
    simulation.check_good_is_completed();
    // v1 is no version of the next order, though its replicas are registered.
    simulation.order("v3", 30s);
    simulation.loop.run_for(5s);
    BOOST_TEST(simulation.count(
                   "v1", simulation.ordered_at, simulation.loop.now()) == 0U);
    // Back to the first version while v2 carries the traffic.
    simulation.order("v1", 30s);
    simulation.loop.run_for(10s);
    const auto at = simulation.ordered_at;
    BOOST_TEST(simulation.count("v1", at, simulation.loop.now()) > 0U);
    BOOST_TEST(simulation.count("v2", at, simulation.loop.now()) > 2000U);
}

// Without an order all versions are used, and the order changes this at once.
BOOST_AUTO_TEST_CASE(without_an_order_nothing_changes)
{
    rollout_simulation simulation(good);
    simulation.ordered_at = simulation.loop.now();
    simulation.loop.run_for(2s);
    const auto now = simulation.loop.now();
    BOOST_TEST(simulation.count("v2", simulation.ordered_at, now) > 100U);
    BOOST_TEST(simulation.count("v1", simulation.ordered_at, now) > 100U);
    simulation.store.is_away = true;
    simulation.order("v2", 30s);
    simulation.loop.run_for(40ms);
    const auto known_at = simulation.loop.now();
    simulation.loop.run_for(5s);
    BOOST_TEST(simulation.count("v2", known_at, simulation.loop.now()) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
