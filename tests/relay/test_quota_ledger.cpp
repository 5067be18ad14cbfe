// Model tests of quotas: many ledgers on a simulated clock, with lost
// datagrams, partitions, and nodes that are killed, restarted and added.
#define BOOST_TEST_MODULE quota_ledger
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include <support/quota_simulation.hpp>

using namespace std::chrono_literals;
using hawthornrelay::core::relay::quota_limit;
using hawthornrelay::tests::support::quota_fleet;

namespace
{

constexpr auto window = 5s;

/// The platform's bound with the usual overshoot and slack.
double bound_of(const quota_limit& limit)
{
    return (limit.rate_per_second * 5 + limit.burst) * 1.1 + 20;
}

/// Sends requests at even intervals to one node, or to a random one.
void send_evenly(quota_fleet& fleet,
                 double per_second,
                 quota_fleet::duration length,
                 const quota_limit& limit,
                 bool is_one_node,
                 const std::string& organisation = "acme")
{
    const auto step = quota_fleet::duration(
        static_cast<quota_fleet::duration::rep>(1e6 / per_second));
    for (auto when = fleet.clock; when < fleet.clock + length; when += step)
    {
        fleet.at(when,
                 [&fleet, limit, is_one_node, organisation]
                 {
                     const auto index =
                         is_one_node ? 0 : fleet.random() % fleet.nodes.size();
                     fleet.request(index, organisation, limit);
                 });
    }
}

void print(const char* what, const quota_fleet& fleet, double bound)
{
    BOOST_TEST_MESSAGE(what << ": most " << fleet.most_in("acme", window)
                            << " of " << bound << ", admitted "
                            << fleet.arrivals.at("acme").size() << ", refused "
                            << fleet.refusals.size() << ", datagrams "
                            << fleet.datagrams);
}

const quota_limit few{3, 5};
const quota_limit some{40, 40};

} // namespace

BOOST_AUTO_TEST_SUITE(within_quota)

// Guards against quota that is lost because one node receives all callers of an
// organisation, or each of many nodes a few of them.
BOOST_DATA_TEST_CASE(all_requests_are_admitted,
                     boost::unit_test::data::make({1, 8, 87}) *
                         boost::unit_test::data::make({true, false}) *
                         boost::unit_test::data::make({3.0, 40.0}),
                     count,
                     is_one_node,
                     rate)
{
    const quota_limit limit{rate, rate};
    quota_fleet fleet(static_cast<std::size_t>(count), 1);
    fleet.run_until(fleet.clock + 3s);
    // The whole burst at once, then the rate, then a pause and both again.
    for (int i = 0; i < 2; ++i)
    {
        send_evenly(
            fleet, 2000, 500us * static_cast<int>(rate), limit, is_one_node);
        send_evenly(fleet, rate, 10s, limit, is_one_node);
        fleet.run_until(fleet.clock + 20s);
    }
    print("within quota", fleet, bound_of(limit));
    BOOST_TEST(fleet.refusals.size() == 0U);
    BOOST_TEST(fleet.most_in("acme", window) <= bound_of(limit));
}

// Guards against quota that is lost with datagrams.
BOOST_DATA_TEST_CASE(lost_datagrams,
                     boost::unit_test::data::make({0.05, 0.2}) ^
                         boost::unit_test::data::make({12U, 60U}),
                     loss,
                     most_refused)
{
    quota_fleet fleet(8, 2);
    fleet.run_until(fleet.clock + 3s);
    fleet.loss = loss;
    send_evenly(fleet, some.rate_per_second, 30s, some, false);
    fleet.run_until(fleet.clock + 31s);
    print("datagrams lost", fleet, bound_of(some));
    BOOST_TEST(fleet.refusals.size() <= most_refused); // of 1,200
}

// Guards against a killed, restarted or added node that takes the quota of an
// organisation away for longer than a lease.
BOOST_AUTO_TEST_CASE(killed_and_added_nodes)
{
    quota_fleet fleet(8, 3);
    fleet.run_until(fleet.clock + 3s);
    send_evenly(fleet, some.rate_per_second, 40s, some, true);
    for (std::size_t i = 1; i < 8; ++i)
    {
        fleet.after(5s * i,
                    [&fleet, i]
                    {
                        fleet.kill(i);
                    });
        fleet.after(5s * i + 1s,
                    [&fleet, i]
                    {
                        fleet.start(i, false, true);
                    });
    }
    fleet.after(20s,
                [&fleet]
                {
                    fleet.add();
                });
    fleet.run_until(fleet.clock + 45s);
    print("killed and added", fleet, bound_of(some));
    // Of 1,600 at exactly the rate: each killed node takes an eighth of the
    // quota with it until it runs again, and one of them pools the quota.
    BOOST_TEST(fleet.refusals.size() <= 100U);
    BOOST_TEST(fleet.most_in("acme", window) <= bound_of(some));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bound)

// Guards against a sum over all nodes above the bound while the organisation
// sends 7.5 times its limit, and against quota that is not used meanwhile.
BOOST_DATA_TEST_CASE(too_many_requests,
                     boost::unit_test::data::make({1, 8, 87}) *
                         boost::unit_test::data::make({true, false}) *
                         boost::unit_test::data::make({3.0, 40.0}),
                     count,
                     is_one_node,
                     rate)
{
    const quota_limit limit{rate, rate};
    quota_fleet fleet(static_cast<std::size_t>(count), 4);
    fleet.run_until(fleet.clock + 3s);
    send_evenly(fleet, 7.5 * rate, 6500ms, limit, is_one_node);
    fleet.run_until(fleet.clock + 10s);
    print("7.5 times", fleet, bound_of(limit));
    BOOST_TEST(fleet.most_in("acme", window) <= bound_of(limit));
    // Allowed: burst and rate for 6.5 s.
    BOOST_TEST(fleet.arrivals["acme"].size() >= 7.4 * rate);
}

// Guards against a bound that holds only while nodes hear each other, run on
// and keep their state.
BOOST_DATA_TEST_CASE(faults, boost::unit_test::data::xrange(24), seed)
{
    const auto& limit = seed % 2 == 0 ? some : few;
    quota_fleet fleet(seed % 3 == 0 ? 20 : 8, 10 + static_cast<unsigned>(seed));
    fleet.run_until(fleet.clock + 3s);
    fleet.loss = 0.02 * (seed % 4);
    send_evenly(fleet, 7.5 * limit.rate_per_second, 60s, limit, false);
    for (int i = 1; i < 40; ++i)
    {
        fleet.after(1500ms * i,
                    [&fleet]
                    {
                        const auto index = fleet.random() % fleet.nodes.size();
                        switch (fleet.random() % 6)
                        {
                        case 0:
                            fleet.kill(index);
                            break;
                        case 1:
                            fleet.kill(index);
                            fleet.start(index, false, true);
                            break;
                        case 2:
                            for (auto& item : fleet.nodes)
                            {
                                item.side =
                                    static_cast<int>(fleet.random() % 3 == 0);
                            }
                            break;
                        case 3:
                            for (std::size_t k = 0; k < fleet.nodes.size(); ++k)
                            {
                                fleet.nodes[k].side = static_cast<int>(k);
                            }
                            break;
                        case 4:
                            for (auto& item : fleet.nodes)
                            {
                                item.side = 0;
                            }
                            break;
                        default:
                            if (!fleet.nodes[index].is_running)
                            {
                                fleet.start(index, false, true);
                            }
                        }
                    });
    }
    fleet.run_until(fleet.clock + 65s);
    print("faults", fleet, bound_of(limit));
    BOOST_TEST(fleet.most_in("acme", window) <= bound_of(limit));
}

// Guards against two sides of a partition that both use the whole quota.
BOOST_AUTO_TEST_CASE(partition)
{
    quota_fleet fleet(8, 5);
    fleet.run_until(fleet.clock + 3s);
    send_evenly(fleet, 300, 40s, some, false);
    fleet.after(10s,
                [&fleet]
                {
                    for (std::size_t i = 0; i < 3; ++i)
                    {
                        fleet.nodes[i].side = 1;
                    }
                });
    fleet.run_until(fleet.clock + 42s);
    print("partition", fleet, bound_of(some));
    BOOST_TEST(fleet.most_in("acme", window) <= bound_of(some));
    BOOST_TEST(fleet.arrivals["acme"].size() >= 1200U);
}

// Guards against a restart of all nodes that gives the burst once more.
BOOST_AUTO_TEST_CASE(restart_of_all_nodes)
{
    quota_fleet fleet(8, 6);
    fleet.run_until(fleet.clock + 3s);
    send_evenly(fleet, 300, 20s, {3, 100}, false);
    for (int i = 1; i < 10; ++i)
    {
        fleet.after(2s * i,
                    [&fleet]
                    {
                        for (std::size_t k = 0; k < 8; ++k)
                        {
                            fleet.start(k, false, true);
                        }
                    });
    }
    fleet.run_until(fleet.clock + 22s);
    print("restart of all", fleet, bound_of({3, 100}));
    BOOST_TEST(fleet.most_in("acme", window) <= bound_of({3, 100}));
}

// Guards against a lowered limit that is not binding one window later.
BOOST_AUTO_TEST_CASE(lowered_limit)
{
    quota_fleet fleet(8, 7);
    fleet.run_until(fleet.clock + 3s);
    send_evenly(fleet, 300, 10s, {100, 200}, false);
    fleet.run_until(fleet.clock + 10s);
    const auto lowered_at = fleet.clock;
    send_evenly(fleet, 300, 20s, few, false);
    fleet.run_until(fleet.clock + 22s);
    BOOST_TEST(fleet.most_in("acme", window, lowered_at + window) <=
               bound_of(few));
}

BOOST_AUTO_TEST_SUITE_END()
