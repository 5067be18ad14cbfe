// Tests of the slow start of replicas, alone and in front of replicas that are
// shared by several nodes.
#define BOOST_TEST_MODULE replica_pace
#include <boost/test/unit_test.hpp>

#include <functional>

#include <support/shared_replicas.hpp>

using namespace hawthornrelay::tests::support;

namespace
{

constexpr relay::replica_load idle{1, 0, 4, 1.0};
constexpr relay::replica_load crowded{4, 4, 4, 1.0};
const time_point start(1h);

/// Asks for the share every 20 ms and records an answer with the ratio that the
/// share and the time since the start give.
void answer(relay::replica_pace& pace,
            duration length,
            const std::function<double(double, duration)>& ratio)
{
    for (auto at = start; at < start + length; at += 20ms)
    {
        pace.on_answer(ratio(pace.share(at), at - start), idle, at);
    }
}

/// Starts another incarnation of a replica at all nodes.
void restart(shared_replicas& replicas, std::size_t index, bool is_slow_start)
{
    const auto id = shared_replicas::id_of(index);
    replicas.machines[id];
    for (const auto& node : replicas.fleet.nodes)
    {
        auto& registry = node->engine.registry;
        auto record = registry.all().begin()->second->record;
        record.id = id;
        record.service = "book";
        record.zone = "here";
        record.started_at = 2;
        registry.put(record, node->loop.now());
        if (!is_slow_start)
        {
            registry.all().at(id)->health.pace() = {};
        }
    }
}

/// The most requests at once at a machine that joins four others, of which 750
/// requests a second take 94 %, and is cold for 3 s.
std::size_t most_at_joining_machine(bool is_slow_start)
{
    shared_replicas replicas(87, 4, true);
    replicas.run(750, 3s);
    restart(replicas, 4, is_slow_start);
    replicas.at(4).slowness = 1.6;
    replicas.run(750, 3s);
    BOOST_TEST(replicas.at(4).served > 100U);
    replicas.at(4).slowness = 1;
    replicas.run(750, 3s);
    return replicas.at(4).most_at_once;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slow_start)

// Guards against: a replica that is cold for long, or always, is left idle.
BOOST_AUTO_TEST_CASE(cold_replicas_get_their_share)
{
    for (const duration cold : {500ms, 3000ms, 60'000ms})
    {
        relay::replica_pace pace;
        pace.begin(start);
        BOOST_TEST(pace.share(start) < 0.1);
        answer(pace,
               5s,
               [cold](double /*share*/, duration since)
               {
                   return since < cold ? 1.6 : 1.0;
               });
        BOOST_TEST(pace.share(start + 5s) == 1.0);
    }
}

// Guards against: a slow machine among equals is taken for an overloaded one.
BOOST_AUTO_TEST_CASE(a_slow_machine_is_not_held_back)
{
    for (const bool is_reported : {true, false})
    {
        relay::replica_health health;
        health.on_started({}, start);
        for (auto at = start; at < start + 5s; at += 20ms)
        {
            const double work = 1 + 4 * health.pace().share(at);
            health.on_load({1, 0, 4, is_reported ? work : 1.0}, at);
            health.on_result(1, send_result::answered, work, at);
        }
        BOOST_TEST((health.pace().share(start + 5s) == 1.0) == is_reported);
    }
}

// Guards against: the share grows although answers get slower with it.
BOOST_AUTO_TEST_CASE(a_share_that_makes_answers_slow_is_reduced)
{
    relay::replica_pace pace;
    pace.begin(start);
    double sum = 0;
    answer(pace,
           30s,
           [&sum](double share, duration /*since*/)
           {
               sum += share;
               return share > 0.4 ? 4.0 : 1.0;
           });
    const double mean = sum / 1500;
    BOOST_TEST(mean > 0.2);
    BOOST_TEST(mean < 0.5);
}

// Guards against: a replica that ends above some share ends again at each
// return.
BOOST_AUTO_TEST_CASE(a_replica_that_ends_above_its_share_ends_less_often)
{
    relay::replica_pace pace;
    pace.begin(start);
    std::vector<duration> ends;
    double sum = 0;
    for (auto at = start; at < start + 120s; at += 20ms)
    {
        const double share = pace.share(at);
        sum += share;
        if (share > 0.4)
        {
            ends.push_back(at - start);
            pace.on_ended(at);
            at += 1s;
            pace.begin(at);
        }
    }
    // Doubling alone would reach 0.4 every 2.5 s, 48 times.
    BOOST_TEST(ends.size() <= 10U);
    BOOST_TEST(std::count_if(ends.begin(),
                             ends.end(),
                             [](duration at)
                             {
                                 return at > 60s;
                             }) <= 3);
    BOOST_TEST(sum / 6000 > 0.15);
}

// Guards against: many nodes that each see few answers overload a replica
// together, or leave it idle.
BOOST_AUTO_TEST_CASE(many_nodes_with_few_answers_find_the_share_together)
{
    for (const std::size_t nodes : {87U, 300U})
    {
        // Each node would send one request a second; a third of that fits.
        std::vector<relay::replica_pace> paces(nodes);
        std::mt19937 random(1);
        std::uniform_real_distribution<double> draw;
        for (auto& pace : paces)
        {
            pace.begin(start);
        }
        std::size_t recent = 0;
        std::size_t later = 0;
        bool is_crowded = false;
        for (auto at = start; at < start + 60s; at += 10ms)
        {
            if ((at - start) % 200ms == duration(0))
            {
                is_crowded = static_cast<double>(recent) >
                             static_cast<double>(nodes) / 15;
                recent = 0;
            }
            for (auto& pace : paces)
            {
                if (draw(random) < pace.share(at) / 100)
                {
                    pace.on_answer(1.0, is_crowded ? crowded : idle, at);
                    ++recent;
                    later += at >= start + 20s ? 1 : 0;
                }
            }
        }
        const double share =
            static_cast<double>(later) / 40 / static_cast<double>(nodes);
        BOOST_TEST_MESSAGE(nodes << " nodes: share " << share);
        BOOST_TEST(share > 0.2);
        BOOST_TEST(share < 0.45);
    }
}

// Guards against: all nodes send their next requests to a replica that joins,
// because it has none yet.
BOOST_AUTO_TEST_CASE(a_joining_replica_is_not_flooded)
{
    const auto with_start = most_at_joining_machine(true);
    const auto without = most_at_joining_machine(false);
    BOOST_TEST_MESSAGE("most: " << with_start << ", without " << without);
    BOOST_TEST(with_start * 2 <= without);
}

// Guards against: requests are refused because all replicas start slowly.
BOOST_AUTO_TEST_CASE(replicas_that_return_together_serve_all_requests)
{
    shared_replicas replicas(10, 4, true);
    replicas.run(200, 3s);
    for (std::size_t i = 0; i < 4; ++i)
    {
        restart(replicas, i, true);
    }
    replicas.run(200, 4s);
    replicas.fleet.run_for(1s);
    BOOST_TEST(replicas.latencies().size() == replicas.sent);
    BOOST_TEST(replicas.latency_quantile(0.95) <= 50);
}

BOOST_AUTO_TEST_SUITE_END()
