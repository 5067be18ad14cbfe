// Tests that a target gets no more work than it can handle, and none after it
// was taken out.
#define BOOST_TEST_MODULE targets
#include <boost/test/unit_test.hpp>

#include <support/checks.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using tests::support::fleet;
using tests::support::invariant_checks;
using tests::support::traffic;

namespace
{

struct running_fleet
{
    running_fleet()
    {
        this->cluster.start_all();
        this->cluster.loop.run_for(10s);
        this->queries.start();
        this->cluster.loop.run_for(2s);
    }

    /// Time of the latest arrival of work at a target of a zone.
    tests::support::time_point last_arrival_in(const std::string& zone)
    {
        tests::support::time_point last;
        const auto& services =
            this->cluster.node(0).control_state().store().contents().services;
        for (const auto& [name, service] : services)
        {
            for (const auto& replica : service.replicas)
            {
                if (replica.zone == zone)
                {
                    last = std::max(
                        last,
                        this->cluster.targets.at(replica.address).last_arrival);
                }
            }
        }
        return last;
    }

    fleet cluster{{}};
    invariant_checks invariants{cluster};
    traffic queries{cluster, 0.35};
};

constexpr auto max_out_delay = 2s;

} // namespace

BOOST_FIXTURE_TEST_SUITE(cold_starts, running_fleet)

BOOST_AUTO_TEST_CASE(a_fleet_that_starts_on_cold_targets_overruns_none)
{
    BOOST_TEST(this->invariants.overload_crashes() == 0U);
    for (const auto& [address, model] : this->cluster.targets)
    {
        BOOST_TEST(!model.is_cold(), address);
    }
}

BOOST_AUTO_TEST_CASE(a_restarted_target_is_not_overloaded)
{
    for (const auto* address : {"s0-r0", "s3-r1", "s7-r0"})
    {
        this->cluster.stop_target(address, 500ms);
    }
    this->cluster.loop.run_for(10s);
    BOOST_TEST(this->invariants.overload_crashes() == 0U);
    BOOST_TEST(!this->cluster.targets.at("s0-r0").is_cold());
}

BOOST_AUTO_TEST_CASE(a_target_that_turns_cold_unannounced_is_not_overloaded)
{
    for (int round = 0; round < 20; ++round)
    {
        for (auto& [address, model] : this->cluster.targets)
        {
            model.turn_cold();
        }
        this->cluster.loop.run_for(2s);
    }
    BOOST_TEST(this->invariants.overload_crashes() == 0U);
}

BOOST_AUTO_TEST_CASE(all_entries_together_stay_within_slots_and_round_trip)
{
    traffic extra_traffic(this->cluster, 2.0);
    extra_traffic.start();
    this->cluster.loop.run_for(5s);
    BOOST_TEST(this->invariants.max_in_flight <=
               this->cluster.shape.target.slots + 1);
    BOOST_TEST(this->invariants.max_in_flight >
               this->cluster.shape.target.slots);
    BOOST_TEST(this->invariants.overload_crashes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(taken_out, running_fleet)

BOOST_AUTO_TEST_CASE(a_zone_taken_out_gets_no_work_within_seconds)
{
    const auto out_at = this->cluster.loop.now();
    this->cluster.write("config/zones/chiloe", R"({"out":true})");
    this->cluster.loop.run_for(10s);
    BOOST_TEST((this->last_arrival_in("chiloe") - out_at < max_out_delay));
    BOOST_TEST(this->queries.complete_fraction(
                   out_at + 3s, this->cluster.loop.now() - 2s) > 0.999);
}

BOOST_AUTO_TEST_CASE(a_zone_out_while_a_node_is_paused_stays_without_work)
{
    this->cluster.pause(3);
    const auto out_at = this->cluster.loop.now();
    this->cluster.write("config/zones/chiloe", R"({"out":true})");
    this->cluster.loop.run_for(5s);
    this->cluster.resume(3);
    this->cluster.loop.run_for(5s);
    BOOST_TEST((this->last_arrival_in("chiloe") - out_at < max_out_delay));
}

BOOST_AUTO_TEST_CASE(a_zone_out_is_in_force_at_a_node_cut_from_the_platform)
{
    this->cluster.platform_cuts = {2, 6};
    this->cluster.loop.run_for(2s);
    const auto out_at = this->cluster.loop.now();
    this->cluster.write("config/zones/chiloe", R"({"out":true})");
    this->cluster.loop.run_for(10s);
    BOOST_TEST((this->last_arrival_in("chiloe") - out_at < max_out_delay));
}

BOOST_AUTO_TEST_CASE(a_zone_that_comes_back_serves_again)
{
    const auto revision =
        this->cluster.write("config/zones/chiloe", R"({"out":true})");
    this->cluster.loop.run_for(5s);
    this->cluster.write("config/zones/chiloe", R"({"out":false})");
    const auto back_at = this->cluster.loop.now();
    this->cluster.loop.run_for(15s);
    BOOST_TEST(revision > 0U);
    BOOST_TEST((this->last_arrival_in("chiloe") > back_at));
    BOOST_TEST(this->invariants.overload_crashes() == 0U);
    BOOST_TEST(this->invariants.violations.empty());
}

BOOST_AUTO_TEST_CASE(a_leaving_target_gets_no_work_within_seconds)
{
    auto value = this->cluster.service_value(4);
    const std::string vm = R"("vm":"vm-s4-r1")";
    value.insert(value.find(vm) + vm.size(), R"(,"leaving":true)");
    const auto out_at = this->cluster.loop.now();
    this->cluster.write("config/services/s4", value);
    this->cluster.loop.run_for(10s);
    const auto last = this->cluster.targets.at("s4-r1").last_arrival;
    BOOST_TEST((last - out_at < max_out_delay));
    BOOST_TEST((last > out_at - 1s));
    BOOST_TEST(this->queries.complete_fraction(
                   out_at, this->cluster.loop.now() - 2s) > 0.999);
}

BOOST_AUTO_TEST_CASE(a_target_that_drains_by_itself_loses_no_query)
{
    const auto from = this->cluster.loop.now();
    this->cluster.targets.at("s2-r0").draining = true;
    this->cluster.loop.run_for(5s);
    BOOST_TEST(this->queries.complete_fraction(
                   from, this->cluster.loop.now() - 2s) > 0.999);
}

BOOST_AUTO_TEST_SUITE_END()
