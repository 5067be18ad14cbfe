// Tests of the account of clients: whom it closes, and what it refuses.
#define BOOST_TEST_MODULE client_budget
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include <core/relay/client_budget.hpp>

using namespace hawthornrelay::core;
using namespace std::chrono_literals;
using relay::client_budget;
using relay::client_closure;
using relay::client_phase;

namespace
{

constexpr std::size_t connection_bytes = 10;

/// Clients that free what they hold when they are closed.
struct clients
{
    explicit clients(std::size_t memory, std::size_t connections = 100)
        : budget({.memory = memory, .connections = connections})
    {
    }

    std::optional<client_budget::client_id> open(const std::string& name,
                                                 bool is_protected = false)
    {
        const auto id = std::make_shared<client_budget::client_id>(0);
        const auto added = this->budget.open(is_protected,
                                             connection_bytes,
                                             this->now,
                                             [this, name, id](client_closure)
                                             {
                                                 if (name == this->busy)
                                                 {
                                                     return false;
                                                 }
                                                 this->closed.push_back(name);
                                                 this->budget.close(*id);
                                                 return true;
                                             });
        *id = added.value_or(0);
        return added;
    }

    client_budget::client_id add(const std::string& name,
                                 client_phase phase,
                                 std::size_t bytes = connection_bytes)
    {
        const auto id = this->open(name);
        BOOST_TEST_REQUIRE(id.has_value());
        this->budget.set_phase(*id, phase, this->now);
        BOOST_TEST_REQUIRE(this->budget.try_hold(*id, bytes, this->now));
        return *id;
    }

    void check_closed(const std::vector<std::string>& expected)
    {
        BOOST_TEST(this->closed == expected, boost::test_tools::per_element());
    }

    base::time_point now{};
    std::string busy; ///< refuses to be closed
    std::vector<std::string> closed;
    client_budget budget;
};

} // namespace

BOOST_AUTO_TEST_SUITE(memory)

// Guards against: memory is taken from a client that makes progress.
BOOST_AUTO_TEST_CASE(the_client_without_progress_is_closed)
{
    clients all(1000);
    const auto moving = all.add("moving", client_phase::receiving, 500);
    all.add("stopped", client_phase::receiving, 300);
    all.add("kept", client_phase::kept);
    all.now += 1500ms;
    all.budget.on_progress(moving, 2000, all.now);
    const auto added = all.add("new", client_phase::receiving);
    BOOST_TEST(all.budget.try_hold(added, 400, all.now));
    all.check_closed({"stopped"});
    BOOST_TEST(all.budget.held() == 910U);
    BOOST_TEST(all.budget.closures(client_closure::memory) == 1U);
}

// Guards against: a few bytes now and then count as progress.
BOOST_AUTO_TEST_CASE(few_bytes_are_no_progress)
{
    clients all(1000);
    const auto slow = all.add("slow", client_phase::receiving, 300);
    const auto fast = all.add("fast", client_phase::receiving, 600);
    all.now += 1500ms;
    all.budget.on_progress(slow, 1, all.now);
    all.budget.on_progress(fast, 1024, all.now);
    all.add("new", client_phase::receiving, 200);
    all.check_closed({"slow"});
}

// Guards against: a small request is refused for large ones that arrive at the
// same time, or the large ones take turns.
BOOST_AUTO_TEST_CASE(of_clients_that_have_just_begun_the_largest_bears_the_cost)
{
    clients all(1000);
    all.add("large", client_phase::receiving, 700);
    const auto small = all.add("small", client_phase::receiving, 200);
    const auto huge = all.add("huge", client_phase::receiving);
    BOOST_TEST(!all.budget.try_hold(huge, 900, all.now));
    all.check_closed({});
    BOOST_TEST(all.budget.try_hold(small, 300, all.now));
    all.check_closed({"large"});
    BOOST_TEST(all.budget.closures(client_closure::refused) == 1U);
}

// Guards against: a request that runs is closed, which loses its outcome.
BOOST_AUTO_TEST_CASE(requests_that_were_handed_over_are_never_closed)
{
    clients all(1000);
    all.add("running", client_phase::handling, 980);
    all.now += 60s;
    BOOST_TEST(!all.budget.try_hold(
        all.add("new", client_phase::receiving), 200, all.now));
    all.check_closed({});
}

// Guards against: a response that exists already is not counted.
BOOST_AUTO_TEST_CASE(what_is_allocated_already_displaces_others)
{
    clients all(1000);
    const auto sender = all.add("sender", client_phase::sending, 100);
    all.add("stopped", client_phase::sending, 500);
    all.now += 2s;
    all.budget.set_phase(sender, client_phase::sending, all.now);
    all.budget.hold(sender, 600, all.now);
    all.check_closed({"stopped"});
    all.budget.hold(sender, 1200, all.now);
    all.check_closed({"stopped", "sender"});
    BOOST_TEST(all.budget.held() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(descriptors)

// Guards against: clients that hold connections lock out new callers.
BOOST_AUTO_TEST_CASE(
    a_new_connection_displaces_the_one_longest_without_progress)
{
    clients all(1000, 3);
    all.add("kept", client_phase::kept);
    all.now += 100ms;
    all.add("first", client_phase::unused);
    all.now += 100ms;
    all.add("second", client_phase::receiving);
    all.now += 1s;
    all.add("new", client_phase::receiving);
    all.check_closed({"first"});
    all.add("newer", client_phase::receiving);
    all.check_closed({"first", "second"});
    // Nobody else is stopped or slow.
    all.add("newest", client_phase::receiving);
    all.check_closed({"first", "second", "kept"});
}

// Guards against: a connection is closed whose request has just arrived.
BOOST_AUTO_TEST_CASE(a_client_that_must_not_be_closed_is_passed_over)
{
    clients all(1000, 2);
    all.add("arrived", client_phase::kept);
    all.now += 1s;
    all.add("other", client_phase::kept);
    all.now += 1s;
    all.busy = "arrived";
    BOOST_TEST(all.open("new").has_value());
    all.check_closed({"other"});
}

// Guards against: a flood displaces the connections of steady callers.
BOOST_AUTO_TEST_CASE(a_connection_that_was_just_used_is_kept)
{
    clients all(1000, 1);
    all.add("kept", client_phase::kept);
    all.now += 900ms;
    BOOST_TEST(!all.open("new").has_value());
    all.now += 100ms;
    BOOST_TEST(all.open("new").has_value());
    all.check_closed({"kept"});
}

BOOST_AUTO_TEST_CASE(a_flood_of_new_connections_is_refused_but_peers_are_not)
{
    clients all(1000, 2);
    all.add("first", client_phase::unused);
    all.add("second", client_phase::unused);
    BOOST_TEST(!all.open("third").has_value());
    BOOST_TEST(all.open("peer", true).has_value());
    all.check_closed({});
    BOOST_TEST(all.budget.connections() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(limits_follow_the_machine)
{
    const auto limits =
        relay::limits_of({.memory_share = 0.4, .descriptor_share = 0.6},
                         std::size_t{160} << 20U,
                         8000);
    BOOST_TEST(limits.memory == (std::size_t{64} << 20U));
    BOOST_TEST(limits.connections == 4680U);
    BOOST_TEST(relay::limits_of({}, 1000, 100).connections == 1U);
    BOOST_TEST(relay::limits_of({}, 1000, 0).connections == SIZE_MAX);
}
