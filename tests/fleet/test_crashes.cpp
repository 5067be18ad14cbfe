// Tests that a request which crashes targets is quarantined before it brings
// down all replicas of a service.
#define BOOST_TEST_MODULE crashes
#include <boost/test/unit_test.hpp>

#include <support/checks.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using tests::support::fleet;
using tests::support::fleet_shape;

namespace
{

std::uint32_t crash_count(fleet& cluster, std::size_t service)
{
    std::uint32_t sum = 0;
    for (std::size_t r = 0; r < cluster.shape.replicas; ++r)
    {
        sum += cluster.targets.at(fleet::address(service, r)).crashes;
    }
    return sum;
}

fleet_shape shape_with_replicas(std::size_t count)
{
    fleet_shape shape;
    shape.services = 4;
    shape.replicas = count;
    return shape;
}

/// Sends the crashing request @p count times, to the nodes in turn.
std::vector<core::query::query_answer>
send_repeatedly(fleet& cluster, int count, tests::support::duration pause)
{
    auto answers = std::make_shared<std::vector<core::query::query_answer>>();
    for (int i = 0; i < count; ++i)
    {
        cluster.node(static_cast<std::size_t>(i) % 8)
            .query(fleet::key_digest(),
                   {{"s1"}, "crash me", 1s},
                   [answers](core::query::query_answer answer)
                   {
                       answers->push_back(std::move(answer));
                   });
        cluster.loop.run_for(pause);
    }
    cluster.loop.run_for(2s);
    return *answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

BOOST_AUTO_TEST_CASE(the_last_healthy_replica_survives)
{
    fleet cluster(shape_with_replicas(2));
    cluster.start_all();
    cluster.loop.run_for(12s);
    const auto answers = send_repeatedly(cluster, 20, 100ms);
    BOOST_TEST(crash_count(cluster, 1) == 1U);
    BOOST_TEST(answers.size() == 20U);
    BOOST_TEST(
        (answers.back().shards.at(0).code == result_code::request_quarantined));
    // Other requests of the service are answered.
    std::optional<std::size_t> answered;
    cluster.node(0).query(fleet::key_digest(),
                          {{"s1"}, "harmless", 1s},
                          [&](const core::query::query_answer& answer)
                          {
                              answered = answer.answered;
                          });
    cluster.loop.run_for(2s);
    BOOST_TEST(answered.value_or(0) == 1U);
}

BOOST_AUTO_TEST_CASE(two_crashes_at_most_among_many_replicas)
{
    fleet cluster(shape_with_replicas(4));
    cluster.start_all();
    cluster.loop.run_for(12s);
    send_repeatedly(cluster, 20, 100ms);
    BOOST_TEST(crash_count(cluster, 1) <= 2U);
    BOOST_TEST(crash_count(cluster, 1) >= 1U);
}

BOOST_AUTO_TEST_CASE(the_refusal_outlives_the_recovery_of_the_target)
{
    fleet cluster(shape_with_replicas(4));
    cluster.start_all();
    cluster.loop.run_for(12s);
    send_repeatedly(cluster, 10, 2000ms);
    BOOST_TEST(crash_count(cluster, 1) <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
