// Tests that an accepted configuration change is in force on every node within
// seconds and is never reverted.
#define BOOST_TEST_MODULE configuration
#include <boost/test/unit_test.hpp>

#include <support/checks.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using core::config::item_key;
using core::config::item_kind;
using core::node::change_outcome;
using tests::support::fleet;
using tests::support::invariant_checks;

namespace
{

using outcome = core::base::result<change_outcome>;

struct running_fleet
{
    running_fleet()
    {
        this->cluster.start_all();
        this->cluster.loop.run_for(10s);
    }

    /// Changes a zone's item through a node; the result is set when the node
    /// reports the outcome.
    std::shared_ptr<std::optional<outcome>>
    change(std::size_t via,
           const std::string& zone,
           core::base::revision expected,
           const std::string& value)
    {
        auto result = std::make_shared<std::optional<outcome>>();
        this->cluster.node(via).change(
            {{item_kind::zone, zone}, expected, value, {}},
            [result](outcome received)
            {
                *result = std::move(received);
            });
        return result;
    }

    /// Number of ready nodes that do not have a revision in force.
    std::size_t ready_nodes_without(core::base::revision revision)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->cluster.shape.nodes; ++i)
        {
            const bool is_ready_node =
                this->cluster.is_running(i) && this->cluster.node(i).is_ready();
            const bool has_revision =
                is_ready_node &&
                this->cluster.node(i).control_state().store().current() >=
                    revision;
            count += is_ready_node && !has_revision ? 1 : 0;
        }
        return count;
    }

    fleet cluster{{}};
    invariant_checks invariants{cluster};
};

const std::string zone_out = R"({"out":true,"change_id":"a"})";
const std::string other_zone_out = R"({"out":true,"change_id":"b"})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(in_force, running_fleet)

BOOST_AUTO_TEST_CASE(a_change_is_in_force_everywhere_within_2_s)
{
    const auto result = this->change(0, "chiloe", 0, zone_out);
    this->cluster.loop.run_for(2s);
    BOOST_REQUIRE(result->has_value());
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST(this->ready_nodes_without((**result)->revision) == 0U);
    BOOST_TEST((**result)->in_force.size() * 2 > this->cluster.shape.nodes);
}

BOOST_AUTO_TEST_CASE(a_node_cut_off_does_not_act_on_the_old_one)
{
    this->cluster.isolate(7);
    this->cluster.platform_cuts = {7};
    const auto result = this->change(0, "chiloe", 0, zone_out);
    this->cluster.loop.run_for(4s);
    BOOST_REQUIRE(result->has_value());
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST(this->ready_nodes_without((**result)->revision) == 0U);
    this->cluster.heal();
    this->cluster.loop.run_for(3s);
    BOOST_TEST(this->cluster.node(7).control_state().store().current() >=
               (**result)->revision);
}

BOOST_AUTO_TEST_CASE(a_slow_platform_delays_but_loses_nothing)
{
    this->cluster.platform_delay = 600ms;
    this->cluster.loop.run_for(5s);
    const auto result = this->change(2, "chiloe", 0, zone_out);
    this->cluster.loop.run_for(4s);
    BOOST_REQUIRE(result->has_value());
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST(this->ready_nodes_without((**result)->revision) == 0U);
}

BOOST_AUTO_TEST_CASE(a_change_in_an_outage_is_refused)
{
    this->cluster.platform_down = true;
    this->cluster.loop.run_for(8s);
    const auto result = this->change(2, "chiloe", 0, zone_out);
    this->cluster.loop.run_for(2s);
    BOOST_REQUIRE(result->has_value());
    BOOST_REQUIRE(!(**result).has_value());
    BOOST_TEST(((**result).error().code == result_code::platform_unreachable));
}

BOOST_AUTO_TEST_CASE(a_change_right_before_an_outage_holds_everywhere)
{
    this->cluster.platform.compare_and_swap("config/zones/chiloe", 0, zone_out);
    const auto revision = this->cluster.platform.revision;
    // Only node 4 reads it before the platform outage.
    this->cluster.platform_cuts = {0, 1, 2, 3, 5, 6, 7};
    this->cluster.loop.run_for(20ms);
    this->cluster.platform_down = true;
    this->cluster.loop.run_for(4s);
    BOOST_TEST(this->ready_nodes_without(revision) == 0U);
    BOOST_TEST(this->invariants.violations.empty());
}

BOOST_AUTO_TEST_CASE(a_fresh_node_starts_with_the_newest)
{
    this->cluster.kill(6);
    this->cluster.loop.run_for(1s);
    const auto result = this->change(0, "chiloe", 0, zone_out);
    this->cluster.loop.run_for(2s);
    this->cluster.platform_down = true;
    this->cluster.loop.run_for(8s);
    this->cluster.start(6);
    this->cluster.loop.run_for(5s);
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST(this->cluster.node(6).control_state().store().current() >=
               (**result)->revision);
    BOOST_TEST(this->ready_nodes_without((**result)->revision) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(races, running_fleet)

BOOST_AUTO_TEST_CASE(one_of_two_racing_operators_is_told_of_the_conflict)
{
    const auto first = this->change(0, "chiloe", 0, zone_out);
    const auto second = this->change(5, "chiloe", 0, other_zone_out);
    this->cluster.loop.run_for(3s);
    BOOST_REQUIRE(first->has_value());
    BOOST_REQUIRE(second->has_value());
    BOOST_TEST((**first).has_value() != (**second).has_value());
    const auto& refused = (**first).has_value() ? **second : **first;
    BOOST_TEST((refused.error().code == result_code::revision_conflict));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_resolved_by_reading_back)
{
    this->cluster.platform_loses_answers = true;
    const auto result = this->change(3, "chiloe", 0, zone_out);
    this->cluster.loop.run_for(3s);
    BOOST_REQUIRE(result->has_value());
    BOOST_REQUIRE((**result).has_value());
    BOOST_TEST((**result)->revision ==
               this->cluster.platform.changes_since(0).to);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_in_a_race_names_the_winner)
{
    this->cluster.platform.compare_and_swap(
        "config/zones/chiloe", 0, other_zone_out);
    this->cluster.platform_loses_answers = true;
    const auto result = this->change(3, "chiloe", 0, zone_out);
    this->cluster.loop.run_for(3s);
    BOOST_REQUIRE(result->has_value());
    BOOST_REQUIRE(!(**result).has_value());
    BOOST_TEST(((**result).error().code == result_code::revision_conflict));
}

BOOST_AUTO_TEST_CASE(a_bad_value_is_refused_with_its_member)
{
    const auto result = this->change(3, "chiloe", 0, R"({"outt":true})");
    this->cluster.loop.run_for(1s);
    BOOST_REQUIRE(result->has_value());
    BOOST_REQUIRE(!(**result).has_value());
    BOOST_TEST(((**result).error().code == result_code::unknown_field));
    BOOST_TEST(((**result).error().detail.find("outt") != std::string::npos));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(cost, running_fleet)

BOOST_AUTO_TEST_CASE(calls_of_the_platform_are_bounded_at_rest)
{
    const auto before = this->cluster.platform.calls;
    this->cluster.loop.run_for(10s);
    const auto calls = this->cluster.platform.calls - before;
    // Two readers in each of four zones, each with one read in 400 ms.
    BOOST_TEST(calls <= 10 * 8 * 2.5 + 8);
    BOOST_TEST(calls > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
