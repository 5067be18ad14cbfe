// Tests that all nodes together admit no more than a customer's plan allows,
// and not much less.
#define BOOST_TEST_MODULE limits
#include <boost/test/unit_test.hpp>

#include <support/checks.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using tests::support::fleet;
using tests::support::fleet_shape;
using tests::support::invariant_checks;

namespace
{

fleet_shape shape_with_plan(double rate, std::uint32_t concurrency)
{
    fleet_shape shape;
    shape.rate = rate;
    shape.burst = 10;
    shape.concurrency = concurrency;
    return shape;
}

struct admissions
{
    std::size_t admitted = 0;
    std::size_t refused = 0;
    std::size_t open = 0;
    std::size_t max_open = 0;
};

/// Sends queries at a steady rate; @p pick_node chooses the node of each.
template <typename PickNode>
admissions send_queries(fleet& cluster,
                        std::size_t count,
                        tests::support::duration gap,
                        PickNode pick_node)
{
    auto result = std::make_shared<admissions>();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto entry = pick_node(i);
        if (cluster.is_running(entry))
        {
            ++result->open;
            cluster.query(
                entry,
                "q" + std::to_string(i),
                500ms,
                [result](const core::query::query_answer& answer)
                {
                    --result->open;
                    const bool is_refused = answer.code != result_code::ok;
                    ++(is_refused ? result->refused : result->admitted);
                });
        }
        cluster.loop.run_for(gap);
    }
    cluster.loop.run_for(1s);
    return *result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rates)

BOOST_AUTO_TEST_CASE(a_caller_that_uses_every_node_stays_within_its_plan)
{
    fleet cluster(shape_with_plan(50, 100));
    cluster.start_all();
    cluster.loop.run_for(12s);
    const auto counts = send_queries(cluster,
                                     2000,
                                     5ms,
                                     [](std::size_t i)
                                     {
                                         return i % 8;
                                     });
    BOOST_TEST(counts.admitted <= 50 * 10 + 10);
    BOOST_TEST(counts.admitted >= 50 * 10 * 0.95);
}

BOOST_AUTO_TEST_CASE(a_caller_that_uses_one_node_is_not_starved)
{
    fleet cluster(shape_with_plan(50, 100));
    cluster.start_all();
    cluster.loop.run_for(12s);
    const auto counts = send_queries(cluster,
                                     2000,
                                     5ms,
                                     [](std::size_t)
                                     {
                                         return 3U;
                                     });
    BOOST_TEST(counts.admitted <= 50 * 10 + 10);
    BOOST_TEST(counts.admitted >= 50 * 10 * 0.95);
}

BOOST_AUTO_TEST_CASE(a_home_node_lost_never_adds_to_the_plan)
{
    fleet cluster(shape_with_plan(50, 100));
    cluster.start_all();
    cluster.loop.run_for(12s);
    const auto homes =
        cluster.node(0).route_state().home_nodes_of("lenadora", 2);
    const auto home = static_cast<std::size_t>(homes[0].back() - '0');
    const auto counts = send_queries(cluster,
                                     2400,
                                     5ms,
                                     [&](std::size_t i)
                                     {
                                         if (i == 400)
                                         {
                                             cluster.kill(home);
                                         }
                                         return (home + 1 + i % 7) % 8;
                                     });
    BOOST_TEST(counts.admitted <= 50 * 12 + 10);
    BOOST_TEST(counts.admitted >= 50 * 12 / 2);
}

BOOST_AUTO_TEST_CASE(concurrency_is_bounded_over_all_nodes)
{
    fleet cluster(shape_with_plan(5000, 6));
    cluster.start_all();
    cluster.loop.run_for(12s);
    std::size_t max_open = 0;
    cluster.loop.after_each = [&]
    {
        std::size_t open = 0;
        for (std::size_t i = 0; i < 8; ++i)
        {
            open += cluster.node(i).open_queries();
        }
        max_open = std::max(max_open, open);
    };
    const auto counts = send_queries(cluster,
                                     1000,
                                     2ms,
                                     [](std::size_t i)
                                     {
                                         return i % 8;
                                     });
    BOOST_TEST(max_open <= 6U);
    BOOST_TEST(max_open == 6U);
    BOOST_TEST(counts.refused > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
