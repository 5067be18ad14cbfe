// Tests that a non-idempotent request runs at most once and that its reported
// outcome is correct.
#define BOOST_TEST_MODULE once
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

/// Callers that send bookings, which are non-idempotent requests, and resend
/// each of them four times to random nodes.
class booking_callers
{
  public:
    explicit booking_callers(fleet& cluster) : cluster(cluster)
    {
    }

    void book()
    {
        const auto entry = this->ready_node();
        const auto key =
            this->cluster.node(entry).issue_key(fleet::key_digest());
        if (!key)
        {
            return;
        }
        const auto number = this->outcomes.size();
        this->outcomes.emplace_back();
        this->send(entry, number, *key, 4);
    }

    void check(bool expect_all_done)
    {
        std::map<std::string, int> executions;
        for (const auto& [address, model] : this->cluster.targets)
        {
            for (const auto& [body, count] : model.executions)
            {
                executions[body] += count;
            }
        }
        std::size_t done = 0;
        for (std::size_t i = 0; i < this->outcomes.size(); ++i)
        {
            const auto run_count = executions["book-" + std::to_string(i)];
            BOOST_TEST(run_count <= 1);
            for (const auto code : this->outcomes[i])
            {
                BOOST_TEST((code != result_code::ok || run_count == 1));
            }
            const bool last_is_refusal =
                !this->outcomes[i].empty() &&
                proves_not_run(this->outcomes[i].back());
            BOOST_TEST((!last_is_refusal || run_count == 0));
            done += run_count == 1 ? 1 : 0;
        }
        BOOST_TEST(!this->outcomes.empty());
        BOOST_TEST((!expect_all_done || done == this->outcomes.size()));
        this->done_count = done;
    }

    std::vector<std::vector<result_code>> outcomes;
    std::size_t done_count = 0;

  private:
    std::size_t ready_node()
    {
        for (int draws = 0; draws < 64; ++draws)
        {
            const auto i = this->random() % this->cluster.shape.nodes;
            if (this->cluster.is_running(i) && this->cluster.node(i).is_ready())
            {
                return i;
            }
        }
        return 0;
    }

    void send(std::size_t entry,
              std::size_t number,
              const std::string& key,
              int resends)
    {
        const auto service = "s" + std::to_string(number % 20);
        const auto body = "book-" + std::to_string(number);
        this->cluster.node(entry).submit_keyed(
            fleet::key_digest(),
            {key, service, body, 300ms},
            [this, number](const core::idempotency::keyed_outcome& outcome)
            {
                this->outcomes[number].push_back(outcome.code);
            });
        if (resends > 0)
        {
            // The caller stops waiting early and asks another node.
            this->cluster.loop.after(
                std::chrono::milliseconds(20 + this->random() % 200),
                [this, number, key, resends]
                {
                    this->send(this->ready_node(), number, key, resends - 1);
                });
        }
    }

    fleet& cluster;
    std::mt19937_64 random{5};
};

struct running_fleet
{
    running_fleet()
    {
        this->cluster.start_all();
        this->cluster.loop.run_for(10s);
        this->queries.start();
        this->cluster.loop.run_for(2s);
    }

    void book_for(std::chrono::milliseconds time)
    {
        const auto end = this->cluster.loop.now() + time;
        while (this->cluster.loop.now() < end)
        {
            this->callers.book();
            this->cluster.loop.run_for(10ms);
        }
    }

    fleet cluster{{}};
    invariant_checks invariants{cluster};
    traffic queries{cluster, 0.3};
    booking_callers callers{cluster};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(at_most_once, running_fleet)

BOOST_AUTO_TEST_CASE(resent_bookings_run_once)
{
    this->book_for(2000ms);
    this->cluster.loop.run_for(3s);
    this->callers.check(true);
}

BOOST_AUTO_TEST_CASE(outcomes_stay_correct_after_kills)
{
    this->book_for(300ms);
    this->cluster.kill(2);
    this->book_for(300ms);
    this->cluster.kill(5);
    this->book_for(300ms);
    this->cluster.start(2);
    this->book_for(1000ms);
    this->cluster.loop.run_for(3s);
    this->callers.check(false);
    BOOST_TEST(this->callers.done_count > this->callers.outcomes.size() / 2);
}

BOOST_AUTO_TEST_CASE(a_paused_node_runs_nothing_twice)
{
    this->book_for(300ms);
    this->cluster.pause(1);
    this->book_for(3000ms);
    this->cluster.loop.run_for(8s);
    this->cluster.resume(1);
    this->book_for(1000ms);
    this->cluster.loop.run_for(3s);
    this->callers.check(false);
}

BOOST_AUTO_TEST_CASE(cuts_run_nothing_twice)
{
    this->book_for(300ms);
    this->cluster.isolate(6);
    this->book_for(1500ms);
    this->cluster.heal();
    this->book_for(500ms);
    this->cluster.loop.run_for(3s);
    this->callers.check(false);
}

BOOST_AUTO_TEST_CASE(targets_that_die_leave_the_outcome_unknown)
{
    this->book_for(300ms);
    for (std::size_t s = 0; s < 20; ++s)
    {
        this->cluster.stop_target(fleet::address(s, 0), 200ms);
        this->book_for(50ms);
    }
    this->cluster.loop.run_for(3s);
    this->callers.check(false);
}

BOOST_AUTO_TEST_CASE(work_lost_at_a_target_is_not_retried)
{
    for (int round = 0; round < 5; ++round)
    {
        for (std::size_t s = 0; s < 20; ++s)
        {
            this->callers.book();
        }
        this->cluster.loop.run_for(6ms); // the targets process the bookings
        for (std::size_t s = 0; s < 20; ++s)
        {
            this->cluster.stop_target(
                fleet::address(s, static_cast<std::size_t>(round) % 2), 100ms);
        }
        this->cluster.loop.run_for(3s);
    }
    this->callers.check(false);
}

BOOST_AUTO_TEST_CASE(a_key_serves_one_request)
{
    const auto key = *this->cluster.node(0).issue_key(fleet::key_digest());
    std::vector<result_code> codes;
    for (const auto* body : {"one", "other"})
    {
        this->cluster.node(0).submit_keyed(
            fleet::key_digest(),
            {key, "s0", body, 500ms},
            [&](const core::idempotency::keyed_outcome& outcome)
            {
                codes.push_back(outcome.code);
            });
        this->cluster.loop.run_for(1s);
    }
    BOOST_REQUIRE(codes.size() == 2U);
    BOOST_TEST((codes[0] == result_code::ok));
    BOOST_TEST((codes[1] == result_code::key_reused));
}

BOOST_AUTO_TEST_CASE(a_key_of_an_earlier_incarnation_is_unknown)
{
    const auto key = *this->cluster.node(3).issue_key(fleet::key_digest());
    this->cluster.kill(3);
    this->cluster.start(3);
    this->cluster.loop.run_for(12s);
    std::optional<result_code> code;
    this->cluster.node(0).submit_keyed(
        fleet::key_digest(),
        {key, "s0", "late", 500ms},
        [&](const core::idempotency::keyed_outcome& outcome)
        {
            code = outcome.code;
        });
    this->cluster.loop.run_for(1s);
    BOOST_REQUIRE(code.has_value());
    BOOST_TEST((*code == result_code::outcome_unknown));
}

BOOST_AUTO_TEST_SUITE_END()
