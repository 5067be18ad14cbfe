// Tests that a fleet without faults answers queries completely.
#define BOOST_TEST_MODULE whole_path
#include <boost/test/unit_test.hpp>

#include <support/fleet.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using tests::support::fleet;

BOOST_AUTO_TEST_SUITE(whole_path)

BOOST_AUTO_TEST_CASE(every_node_becomes_ready_and_answers)
{
    fleet cluster({});
    cluster.start_all();
    cluster.loop.run_for(10s);
    for (std::size_t i = 0; i < cluster.shape.nodes; ++i)
    {
        BOOST_TEST(cluster.node(i).is_ready());
        std::optional<core::query::query_answer> answer;
        cluster.query(i,
                      "splitter",
                      1s,
                      [&](const core::query::query_answer& received)
                      {
                          answer = received;
                      });
        cluster.loop.run_for(1s);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST((answer->code == result_code::ok));
        BOOST_TEST(answer->answered == cluster.shape.services);
        BOOST_TEST(answer->version == 1U);
    }
}

BOOST_AUTO_TEST_CASE(every_share_has_exactly_one_holder)
{
    fleet cluster({});
    cluster.start_all();
    cluster.loop.run_for(10s);
    std::map<core::base::share_id, int> holders;
    for (std::size_t i = 0; i < cluster.shape.nodes; ++i)
    {
        for (const auto& [id, share] : cluster.node(i).share_state().all())
        {
            holders[id] += cluster.node(i).share_state().is_held(id) ? 1 : 0;
        }
    }
    BOOST_TEST(holders.size() >=
               cluster.shape.services * cluster.shape.replicas);
    for (const auto& [id, count] : holders)
    {
        BOOST_TEST(count == 1, core::base::to_string(id));
    }
}

BOOST_AUTO_TEST_SUITE_END()
