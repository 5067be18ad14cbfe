// Tests that a request which ends the replicas that run it is refused by all
// nodes, however the replicas end and whatever else fails meanwhile, and that
// usual requests are not.
#define BOOST_TEST_MODULE crash_fleet
#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <optional>
#include <set>

#include <support/relay_patterns.hpp>

using namespace hawthornrelay::tests::support;

namespace
{

constexpr std::size_t node_count = 8;
constexpr std::chrono::milliseconds step{1};
constexpr std::chrono::milliseconds report_interval{200};
constexpr std::chrono::milliseconds check_interval{250};
/// From the start of a replica until nodes know its registration.
constexpr std::chrono::milliseconds registration_delay{800};
constexpr std::chrono::milliseconds caller_timeout{1500};
constexpr std::chrono::seconds test_length{40};

/// The platform counts repeats of a request from this long after it ended the
/// third replica, at nodes that have run for as long.
constexpr std::chrono::seconds settling_time{4};
constexpr std::size_t max_late_repeats = 3;

/// What a replica does when it runs the request.
struct ending
{
    scripted_reply reply;            ///< what the node sees
    duration check_takes{};          ///< time of a check without an answer
    duration downtime = 3s;          ///< until it has restarted
    std::string_view only_service{}; ///< other services' replicas survive
};

const ending by_reset{{send_result::broken, 1ms}, 1ms};
const ending by_silence{silent, 250ms};

/// Nodes that report crashes to each other and store refusals, in front of the
/// same replicas.
class crash_fleet
{
  public:
    explicit crash_fleet(ending how) : how(how)
    {
        for (std::size_t i = 0; i < node_count; ++i)
        {
            this->nodes.push_back(this->start_node(i));
        }
        this->started_at.fill(this->now() - settling_time);
    }

    [[nodiscard]] time_point now() const
    {
        return this->nodes.front()->loop.now();
    }

    void run_for(duration length)
    {
        const auto end = this->now() + length;
        while (this->now() < end)
        {
            const auto next = this->now() + step;
            for (const auto& node : this->nodes)
            {
                node->loop.run_until(next);
            }
            this->deliver_refusals();
            if (next.time_since_epoch() % report_interval == duration(0))
            {
                this->exchange_reports();
            }
            if (next.time_since_epoch() % check_interval == duration(0))
            {
                this->check_suspects();
                this->register_restarted();
            }
        }
    }

    void restart_node(std::size_t index)
    {
        auto started = this->start_node(index);
        started->loop.run_until(this->now());
        for (const auto refused : this->stored_refusals)
        {
            started->engine.set_quarantined(refused, true);
        }
        this->nodes[index] = std::move(started);
        this->started_at.at(index) = this->now();
    }

    /// Sends the request to one node after the other, for as long as `length`.
    void repeat_request(const std::string& path, duration gap, duration length)
    {
        for (auto left = length; left > duration(0); left -= gap)
        {
            this->send_request(path);
            this->run_for(gap);
        }
    }

    std::uint64_t send_request(const std::string& path)
    {
        const auto index = this->sent++;
        return this->nodes[index % node_count]->start(
            "crash-" + std::to_string(index),
            path,
            caller_timeout,
            {.address =
                 "10.0.0." + std::to_string(index % this->caller_addresses)});
    }

    /// The node to which the next request is sent.
    relay_simulation& next_node()
    {
        return *this->nodes[this->sent % node_count];
    }

    void skip_node()
    {
        ++this->sent;
    }

    /// Repeats that reached a replica although the request was to be known.
    [[nodiscard]] std::size_t late_repeats() const
    {
        return this->late.size();
    }

    ending how;
    std::size_t caller_addresses = 1; ///< used in turn
    bool is_store_away = false;       ///< refusals are not stored
    std::vector<std::unique_ptr<relay_simulation>> nodes;
    std::function<std::optional<scripted_reply>(const relay::replica&)>
        other_fault;

  private:
    std::unique_ptr<relay_simulation> start_node(std::size_t index)
    {
        auto node = std::make_unique<relay_simulation>(
            [this, index](const relay::replica& replica,
                          const std::string& request)
            {
                return this->reply(index, replica, request);
            });
        node->replicas.check_delay = this->how.check_takes;
        node->replicas.health = [this](const relay::replica& replica)
        {
            const bool is_up = this->now() >= this->up_at[replica.record.id];
            return hawthornrelay::ports::health_report{
                is_up, is_up, std::nullopt, !is_up};
        };
        node->engine.on_quarantined = [this](std::uint64_t refused)
        {
            if (!this->is_store_away)
            {
                this->stored_refusals.insert(refused);
                this->new_refusals.push_back(refused);
            }
        };
        return node;
    }

    /// Tells all nodes of the refusals that were stored since the last call.
    void deliver_refusals()
    {
        for (const auto refused : std::exchange(this->new_refusals, {}))
        {
            for (const auto& node : this->nodes)
            {
                node->engine.set_quarantined(refused, true);
            }
        }
    }

    void exchange_reports()
    {
        for (const auto& from : this->nodes)
        {
            const auto reports = from->engine.crashes_to_report();
            for (const auto& to : this->nodes)
            {
                if (to != from)
                {
                    to->engine.merge_crashes(reports);
                }
            }
        }
    }

    void check_suspects()
    {
        for (const auto& node : this->nodes)
        {
            for (const auto& [id, replica] : node->engine.registry.all())
            {
                if (replica->health.is_suspect())
                {
                    node->engine.check(replica);
                }
            }
        }
    }

    void register_restarted()
    {
        while (!this->restarts.empty() &&
               this->now() >=
                   this->restarts.front().second + registration_delay)
        {
            const auto [id, started_at] = this->restarts.front();
            this->restarts.pop_front();
            for (const auto& node : this->nodes)
            {
                auto record = node->engine.registry.all().at(id)->record;
                record.started_at = static_cast<std::uint64_t>(
                    started_at.time_since_epoch().count());
                node->engine.registry.put(record, this->now());
            }
        }
    }

    scripted_reply reply(std::size_t node,
                         const relay::replica& replica,
                         const std::string& request)
    {
        const auto now = this->now();
        auto& up_at = this->up_at[replica.record.id];
        if (now < up_at)
        {
            return this->how.reply.result == send_result::broken ? refused
                                                                 : silent;
        }
        if (this->other_fault)
        {
            if (const auto fault = this->other_fault(replica))
            {
                return *fault;
            }
        }
        const bool survives = !this->how.only_service.empty() &&
                              replica.record.service != this->how.only_service;
        if (!request.starts_with("crash") || survives)
        {
            return ok;
        }
        const bool is_late = this->third_crash &&
                             now > *this->third_crash + settling_time &&
                             now >= this->started_at.at(node) + settling_time;
        if (is_late)
        {
            this->late.insert(request);
        }
        if (++this->crashes == 3)
        {
            this->third_crash = now;
        }
        up_at = now + this->how.downtime;
        this->restarts.emplace_back(replica.record.id, up_at);
        return this->how.reply;
    }

    std::array<time_point, node_count> started_at{};
    std::map<std::string, time_point> up_at;
    std::deque<std::pair<std::string, time_point>> restarts;
    std::set<std::uint64_t> stored_refusals;
    std::vector<std::uint64_t> new_refusals;
    std::size_t sent = 0;
    std::size_t crashes = 0;
    std::optional<time_point> third_crash;
    std::set<std::string> late;
};

constexpr std::array repeat_gaps{100ms, 400ms, 1300ms};
const std::array<std::string, 2> lookup_and_search{"/l/x", "/s/x"};

/// Repeats the request at each pace, to one replica and as a search.
void check_repeats(const ending& how)
{
    for (const auto& path : lookup_and_search)
    {
        for (const auto gap : repeat_gaps)
        {
            BOOST_TEST_CONTEXT(path << " every " << gap.count() << " ms")
            {
                crash_fleet fleet(how);
                fleet.repeat_request(path, gap, test_length);
                BOOST_TEST(fleet.late_repeats() <= max_late_repeats);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeats_of_a_crashing_request)

BOOST_AUTO_TEST_CASE(replicas_that_reset)
{
    check_repeats(by_reset);
}

// Guards against: replicas that end without a reset leave no trace, and the
// request that ended them is sent on without limit.
BOOST_AUTO_TEST_CASE(replicas_that_fall_silent)
{
    check_repeats(by_silence);
}

// Guards against: the replica is up again when its silence is noticed, so its
// end goes unnoticed.
BOOST_AUTO_TEST_CASE(replicas_that_fall_silent_and_are_back_before_the_deadline)
{
    auto how = by_silence;
    how.downtime = 1000ms;
    check_repeats(how);
}

// Guards against: a replica that restarts at once answers the check after its
// end, so only its new registration shows it.
BOOST_AUTO_TEST_CASE(replicas_that_restart_at_once)
{
    for (auto how : {by_silence, by_reset})
    {
        how.check_takes = 1ms;
        how.downtime = how.reply.result == send_result::broken ? 1ms : 150ms;
        check_repeats(how);
    }
}

// Guards against: the end of a replica is not counted once its caller has left.
BOOST_AUTO_TEST_CASE(callers_that_leave_before_the_replica_ends)
{
    for (const auto gap : repeat_gaps)
    {
        auto how = by_reset;
        how.reply.after = 60ms;
        crash_fleet fleet(how);
        for (auto left = duration(test_length); left > duration(0); left -= gap)
        {
            auto& node = fleet.next_node();
            const auto number = fleet.send_request("/l/x");
            node.loop.after(30ms,
                            [&node, number]
                            {
                                node.engine.on_caller_disconnected(number);
                            });
            fleet.run_for(gap);
        }
        BOOST_TEST(fleet.late_repeats() <= max_late_repeats);
    }
}

// Guards against: attempts of a caller that connects from several addresses, or
// through several gateways, count as different requests.
BOOST_AUTO_TEST_CASE(callers_with_several_addresses)
{
    for (const auto& path : lookup_and_search)
    {
        for (const auto gap : repeat_gaps)
        {
            for (const std::size_t addresses : {3U, 70U})
            {
                crash_fleet fleet(by_reset);
                fleet.caller_addresses = addresses;
                fleet.repeat_request(path, gap, test_length);
                BOOST_TEST(fleet.late_repeats() <= max_late_repeats);
            }
        }
    }
}

// Guards against: a failure that a replica answers for another reason clears
// the request of its crashes.
BOOST_AUTO_TEST_CASE(replicas_that_also_fail_requests)
{
    for (const auto gap : repeat_gaps)
    {
        crash_fleet fleet(by_reset);
        std::size_t calls = 0;
        fleet.other_fault = [&calls](const relay::replica&)
        {
            const scripted_reply failure{send_result::answered, 1ms, 500};
            return ++calls % 3 == 0 ? std::optional(failure) : std::nullopt;
        };
        fleet.repeat_request("/l/x", gap, test_length);
        BOOST_TEST(fleet.late_repeats() <= max_late_repeats);
    }
}

// Guards against: the answers of a search's other shards clear it of the
// crashes at one of them.
BOOST_AUTO_TEST_CASE(a_search_that_ends_the_replicas_of_one_shard)
{
    for (const auto gap : repeat_gaps)
    {
        auto how = by_reset;
        how.only_service = "shard3";
        crash_fleet fleet(how);
        fleet.repeat_request("/s/x", gap, test_length);
        BOOST_TEST(fleet.late_repeats() <= max_late_repeats);
        auto& node = *fleet.nodes.front();
        node.start("crash-last", "/s/x", caller_timeout);
        fleet.run_for(1s);
        BOOST_TEST((node.answers.at("crash-last").code == result_code::ok));
        BOOST_TEST(node.answers.at("crash-last").missing_shards == 1U);
    }
}

// Guards against: a node that restarts is not told of the request, because many
// later crashes fill the reports.
BOOST_AUTO_TEST_CASE(nodes_that_restart_during_many_crashes)
{
    crash_fleet fleet(by_reset);
    fleet.is_store_away = true;
    fleet.repeat_request("/l/x", 1300ms, 10s);
    std::uint64_t other_request = 1;
    for (std::size_t i = 0; i < node_count; ++i)
    {
        std::vector<relay::crash_report> reports;
        for (int k = 0; k < 40; ++k)
        {
            ++other_request;
            reports.push_back({other_request, other_request, duration(0)});
        }
        fleet.nodes[(i + 1) % node_count]->engine.merge_crashes(reports);
        fleet.run_for(1s);
        fleet.restart_node(i);
        fleet.run_for(5s);
        fleet.nodes[i]->start(
            "crash-r" + std::to_string(i), "/l/x", caller_timeout);
        fleet.run_for(2s);
    }
    BOOST_TEST(fleet.late_repeats() <= max_late_repeats);
}

// Guards against: what the nodes know of the request ends with their processes.
BOOST_AUTO_TEST_CASE(restarts_of_all_nodes)
{
    crash_fleet fleet(by_reset);
    fleet.repeat_request("/l/x", 1300ms, 10s);
    for (int round = 0; round < 4; ++round)
    {
        for (std::size_t i = 0; i < node_count; ++i)
        {
            fleet.restart_node(i);
        }
        fleet.run_for(5s);
        fleet.repeat_request("/l/x", 1300ms, 10s);
    }
    BOOST_TEST(fleet.late_repeats() <= max_late_repeats);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(usual_requests)

// A usual request is sent on while both replicas of a service are silent for
// seconds: it is answered, in whole, once they are back.
BOOST_AUTO_TEST_CASE(a_silent_service_is_asked_again_when_it_is_back)
{
    struct usual_load
    {
        std::string path;
        std::string silent_service;
        duration gap{};
    };
    const std::array loads{usual_load{"/s/x", "shard3", 10ms},
                           usual_load{"/l/x", "book", 10ms},
                           usual_load{"/b/x", "book", 190ms}};
    for (const auto& load : loads)
    {
        crash_fleet fleet(by_silence);
        bool is_silent = true;
        const auto is_affected = [&](const relay::replica& replica)
        {
            return is_silent && replica.record.service == load.silent_service;
        };
        fleet.other_fault = [&](const relay::replica& replica)
        {
            return is_affected(replica) ? std::optional(silent) : std::nullopt;
        };
        for (const auto& member : fleet.nodes)
        {
            member->replicas.health = [&](const relay::replica& replica)
            {
                const bool is_up = !is_affected(replica);
                return hawthornrelay::ports::health_report{
                    is_up, is_up, std::nullopt, !is_up};
            };
        }
        for (auto left = duration(6s); left > duration(0); left -= load.gap)
        {
            fleet.next_node().start("q", load.path, caller_timeout);
            fleet.skip_node();
            fleet.run_for(load.gap);
        }
        is_silent = false;
        fleet.run_for(3s);
        for (const auto& member : fleet.nodes)
        {
            member->start("last", load.path, caller_timeout);
        }
        fleet.run_for(1s);
        for (const auto& member : fleet.nodes)
        {
            const auto& answer = member->answers.at("last");
            BOOST_TEST((answer.code == result_code::ok), load.path);
            BOOST_TEST(answer.missing_shards == 0U);
        }
    }
}

/// Replicas of a service that crash alternately, whatever they are sent.
class alternating_crashes
{
  public:
    alternating_crashes(crash_fleet& fleet, std::string service)
        : fleet(fleet), service(std::move(service))
    {
        fleet.other_fault = [this](const relay::replica& replica)
        {
            // What is in flight at the beginning is reset.
            return this->is_down(replica)
                       ? std::optional(this->is_beginning() ? reset : refused)
                       : std::nullopt;
        };
        for (const auto& member : fleet.nodes)
        {
            member->replicas.health = [this](const relay::replica& replica)
            {
                const bool is_up = !this->is_down(replica);
                return hawthornrelay::ports::health_report{
                    is_up, is_up, std::nullopt, !is_up};
            };
        }
    }

    /// True while the service's replica in the nodes' zone resets what it is
    /// sent.
    [[nodiscard]] bool is_near_replica_crashing() const
    {
        return this->cycle() < 5ms;
    }

  private:
    [[nodiscard]] bool is_beginning() const
    {
        return this->cycle() % 2000ms < 20ms;
    }

    [[nodiscard]] std::chrono::milliseconds cycle() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            this->fleet.now().time_since_epoch() % 4s);
    }

    [[nodiscard]] bool is_down(const relay::replica& replica) const
    {
        const auto since = replica.record.id.ends_with("-a") ? 0ms : 2000ms;
        return replica.record.service == this->service &&
               this->cycle() >= since && this->cycle() < since + 800ms;
    }

    crash_fleet& fleet;
    std::string service;
};

std::size_t count_lines(const relay_simulation& node, std::string_view event)
{
    return static_cast<std::size_t>(
        std::count_if(node.log.lines.begin(),
                      node.log.lines.end(),
                      [event](const std::string& line)
                      {
                          return line.starts_with(event);
                      }));
}

// The replicas of a shard crash alternately for another reason while all
// callers send the same search: it is answered in whole between the crashes.
BOOST_AUTO_TEST_CASE(a_shard_that_crashes_for_other_reasons_is_not_left_out)
{
    crash_fleet fleet(by_reset);
    const alternating_crashes crashes(fleet, "shard3");
    std::size_t crashes_found = 0;
    for (int i = 0; i < 4000; ++i)
    {
        fleet.nodes[i % node_count]->start("q" + std::to_string(i), "/s/x");
        fleet.run_for(5ms);
    }
    fleet.run_for(1s);
    for (const auto& member : fleet.nodes)
    {
        crashes_found += count_lines(*member, "crash_found");
        BOOST_TEST(count_lines(*member, "request_contained") == 0U);
    }
    BOOST_TEST(crashes_found > 0U);
}

// Guards against: a node that got a popular request only while its replicas
// crashed for another reason makes all nodes refuse it.
BOOST_AUTO_TEST_CASE(a_request_that_other_nodes_have_answered_is_not_refused)
{
    crash_fleet fleet(by_reset);
    const alternating_crashes crashes(fleet, "book");
    const auto& unlucky = fleet.nodes.back();
    for (int i = 0; i < 4000; ++i)
    {
        const auto id = "q" + std::to_string(i);
        fleet.nodes[i % (node_count - 1)]->start(id, "/b/x", caller_timeout);
        if (crashes.is_near_replica_crashing())
        {
            unlucky->start(id, "/b/x", caller_timeout);
        }
        fleet.run_for(5ms);
    }
    fleet.run_for(1s);
    BOOST_TEST(count_lines(*unlucky, "request_contained") > 0U);
    for (const auto& member : fleet.nodes)
    {
        if (member != unlucky)
        {
            BOOST_TEST(count_lines(*member, "request_contained") == 0U);
        }
    }
}

// A node that does not repeat checks sends to a replica that is still down.
BOOST_AUTO_TEST_CASE(a_replica_that_was_down_before_is_not_counted)
{
    relay_simulation node(always(silent));
    node.replicas.health = [](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{
            false, false, std::nullopt, true};
    };
    const auto count_crashes = [&node]
    {
        return std::count_if(node.log.lines.begin(),
                             node.log.lines.end(),
                             [](const std::string& line)
                             {
                                 return line.starts_with("crash_found");
                             });
    };
    node.start("first", "/l/x", caller_timeout);
    node.loop.run_for(4s);
    const auto before = count_crashes();
    BOOST_TEST(before > 0);
    node.start("second", "/l/y", caller_timeout);
    node.loop.run_for(4s);
    BOOST_TEST(node.replicas.count("second") > 0U);
    BOOST_TEST(count_crashes() == before);
}

BOOST_AUTO_TEST_SUITE_END()
