// Tests that a request that crashes the replicas that run it is quarantined,
// and that requests which only coincide with crashes are not.
#define BOOST_TEST_MODULE relay_crashes
#include <boost/test/unit_test.hpp>

#include <set>

#include <support/relay_simulation.hpp>

using namespace std::chrono_literals;
using namespace hawthornrelay::tests::support;
using hawthornrelay::core::base::result_code;

namespace
{

constexpr std::chrono::milliseconds caller_timeout{1500};

/// Replicas that crash on requests whose id begins with "crash" and restart
/// after a downtime.
struct crashing_replicas
{
    explicit crashing_replicas(std::chrono::milliseconds downtime = 2000ms)
        : simulation(
              [this, downtime](const relay::replica& replica,
                               const std::string& request)
              {
                  const auto now = this->simulation.loop.now();
                  auto& restarts_at = this->restarts_at[replica.record.id];
                  if (now < restarts_at)
                  {
                      return scripted_reply{send_result::not_sent, 1ms};
                  }
                  if (!request.starts_with("crash"))
                  {
                      return scripted_reply{};
                  }
                  ++this->crashes;
                  restarts_at = now + downtime;
                  return scripted_reply{send_result::broken, 1ms};
              })
    {
        this->simulation.replicas.health = [this](const relay::replica& replica)
        {
            const bool is_up = this->simulation.loop.now() >=
                               this->restarts_at[replica.record.id];
            return hawthornrelay::ports::health_report{
                is_up, is_up, std::nullopt, !is_up};
        };
    }

    /// Sends a request and waits until crashed replicas have restarted.
    relay::caller_answer run_request(const std::string& id,
                                     const std::string& path,
                                     const simulated_caller& caller = {})
    {
        this->simulation.start(id, path, caller_timeout, caller);
        this->simulation.loop.run_for(5s);
        return this->simulation.answers.at(id);
    }

    std::map<std::string, time_point> restarts_at;
    std::size_t crashes = 0;
    relay_simulation simulation;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

BOOST_AUTO_TEST_CASE(the_third_attempt_is_refused_as_not_run)
{
    crashing_replicas fixture;
    fixture.run_request("crash-1", "/l/x");
    fixture.run_request("crash-2", "/l/x");
    const auto before = fixture.crashes;
    BOOST_TEST(before == 3U);
    for (const auto* id : {"crash-3", "crash-4", "crash-5"})
    {
        const auto answer = fixture.run_request(id, "/l/x");
        BOOST_TEST((answer.code == result_code::request_quarantined));
        BOOST_TEST(answer.is_not_run);
        BOOST_TEST((answer.retry_after > 30s));
    }
    BOOST_TEST(fixture.crashes == before);
    BOOST_TEST((fixture.run_request("other", "/l/y").code == result_code::ok));
}

// Guards against: the first search that crashes replicas ends both replicas of
// nearly every shard, since broken parts are sent again at once.
BOOST_AUTO_TEST_CASE(the_first_search_leaves_a_replica_of_each_shard)
{
    crashing_replicas fixture;
    fixture.run_request("crash-1", "/s/x");
    // 20 shards; one attempt more before the second part breaks off.
    BOOST_TEST(fixture.crashes >= 20U);
    BOOST_TEST(fixture.crashes <= 22U);
}

// Guards against: parts that break off as replicas of one zone end are not sent
// to the other zone.
BOOST_AUTO_TEST_CASE(a_search_is_completed_after_half_of_its_replicas_ended)
{
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.id.ends_with("-a")
                       ? scripted_reply{send_result::broken, 1ms}
                       : scripted_reply{};
        });
    simulation.start("q", "/s/x", caller_timeout);
    simulation.loop.run_for(1s);
    const auto& answer = simulation.answers.at("q");
    BOOST_TEST((answer.code == result_code::ok));
    BOOST_TEST(answer.missing_shards == 0U);
}

// Guards against: a request counts as another one if its host is spelled
// differently, although its route is the same.
BOOST_AUTO_TEST_CASE(a_host_in_another_spelling_is_the_same_request)
{
    crashing_replicas fixture;
    fixture.run_request("crash-1", "/l/x", {.host = "h.example"});
    fixture.run_request("crash-2", "/l/x", {.host = "H.Example:8080"});
    BOOST_TEST(fixture.crashes == 3U);
    BOOST_TEST(
        (fixture.run_request("crash-3", "/l/x", {.host = "h.EXAMPLE"}).code ==
         result_code::request_quarantined));
}

// What another caller asks for at the same path may be something else.
BOOST_AUTO_TEST_CASE(a_caller_with_other_credentials_is_served)
{
    crashing_replicas fixture;
    const simulated_caller first{.credentials = "Bearer one"};
    const simulated_caller second{.credentials = "Bearer two"};
    fixture.run_request("crash-1", "/l/x", first);
    fixture.run_request("crash-2", "/l/x", first);
    BOOST_TEST((fixture.run_request("crash-3", "/l/x", first).code ==
                result_code::request_quarantined));
    BOOST_TEST(
        (fixture.run_request("other", "/l/x", second).code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(a_second_attempt_crashes_one_replica_only)
{
    crashing_replicas fixture;
    fixture.run_request("crash-1", "/l/x");
    BOOST_TEST(fixture.crashes == 2U);
    fixture.run_request("crash-2", "/l/x");
    BOOST_TEST(fixture.crashes == 3U);
}

BOOST_AUTO_TEST_CASE(a_search_that_crashes_shards_is_refused)
{
    crashing_replicas fixture;
    fixture.run_request("crash-1", "/s/x");
    fixture.run_request("crash-2", "/s/x");
    const auto before = fixture.crashes;
    BOOST_TEST((fixture.run_request("crash-3", "/s/x").code ==
                result_code::request_quarantined));
    BOOST_TEST(fixture.crashes == before);
}

BOOST_AUTO_TEST_CASE(lost_answers_are_no_crashes)
{
    relay_simulation simulation(
        [](const relay::replica&, const std::string& request)
        {
            return scripted_reply{request.starts_with("lost")
                                      ? send_result::broken
                                      : send_result::answered,
                                  1ms};
        });
    for (const auto* id : {"lost-1", "lost-2", "lost-3"})
    {
        simulation.start(id, "/l/x", caller_timeout);
        simulation.loop.run_for(2s);
        BOOST_TEST(
            (simulation.answers.at(id).code == result_code::target_failed));
    }
    simulation.start("fine", "/l/x", caller_timeout);
    simulation.loop.run_for(2s);
    BOOST_TEST((simulation.answers.at("fine").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(a_request_beside_a_crashing_one_is_served_again)
{
    crashing_replicas fixture(500ms);
    fixture.simulation.replicas.behaviour =
        [&fixture, first = fixture.simulation.replicas.behaviour](
            const relay::replica& replica, const std::string& request)
    {
        // Still in flight at replica a when the other request crashes it.
        const bool is_in_flight =
            request == "bystander" && replica.record.id.ends_with("-a");
        return is_in_flight ? scripted_reply{send_result::broken, 3ms}
                            : first(replica, request);
    };
    fixture.simulation.start("bystander", "/l/y", caller_timeout);
    fixture.run_request("crash-1", "/l/x");
    BOOST_TEST((fixture.run_request("again", "/l/y").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(a_usual_request_hit_by_unrelated_crashes_is_not_refused)
{
    // Many callers send the same request, while the two replicas crash
    // alternately for another reason.
    crashing_replicas fixture(800ms);
    fixture.simulation.replicas.behaviour =
        [&fixture, first = fixture.simulation.replicas.behaviour](
            const relay::replica& replica, const std::string& request)
    {
        const auto now = fixture.simulation.loop.now();
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
            now.time_since_epoch());
        const bool is_crashing =
            now >= fixture.restarts_at[replica.record.id] + 3s &&
            replica.record.id.ends_with(second.count() % 4 < 2 ? "-a" : "-b");
        return first(replica, is_crashing ? "crash" : request);
    };
    std::size_t served = 0;
    for (int i = 0; i < 2000; ++i)
    {
        const auto id = "usual-" + std::to_string(i);
        fixture.simulation.start(id, "/l/x", caller_timeout);
        fixture.simulation.loop.run_for(10ms);
    }
    fixture.simulation.loop.run_for(2s);
    for (const auto& [id, answer] : fixture.simulation.answers)
    {
        BOOST_TEST((answer.code != result_code::request_quarantined));
        served += answer.code == result_code::ok ? 1 : 0;
    }
    BOOST_TEST(fixture.crashes > 4U);
    BOOST_TEST(served > 1900U);
}

BOOST_AUTO_TEST_CASE(other_nodes_refuse_it_too)
{
    crashing_replicas first;
    crashing_replicas second;
    first.run_request("crash-1", "/l/x");
    second.simulation.engine.merge_crashes(
        first.simulation.engine.crashes_to_report());
    second.run_request("crash-2", "/l/x");
    const auto reports = second.simulation.engine.crashes_to_report();
    BOOST_TEST(reports.size() == 2U);
    crashing_replicas third;
    third.simulation.engine.merge_crashes(reports);
    // A crash that is reported twice counts once.
    third.simulation.engine.merge_crashes(reports);
    BOOST_TEST((third.run_request("crash-3", "/l/x").code ==
                result_code::request_quarantined));
    BOOST_TEST(third.crashes == 0U);
}

BOOST_AUTO_TEST_CASE(reports_that_are_read_late_are_no_new_crashes)
{
    // A paused node reads pending reports only when it resumes, so their
    // crashes look newer than they are.
    relay::crash_tracker first;
    relay::crash_tracker paused;
    const time_point begin{100s};
    first.on_unanswered(
        "r", {.subject = {7, 7}, .caller_attempt = "attempt"}, begin);
    BOOST_TEST(
        first.on_check("r", relay::check_outcome::gone, begin, begin).size() ==
        1U);
    const std::vector<std::vector<relay::crash_report>> sent{
        first.reports_to_send(begin),
        first.reports_to_send(begin + 1s),
        first.reports_to_send(begin + 2s)};
    paused.merge(sent.front(), begin);
    for (const auto& reports : sent)
    {
        paused.merge(reports, begin + 6s);
    }
    BOOST_TEST(paused.crashes_of(7, begin + 6s) == 1U);
    // Crashes of a request that has been answered since are not reported.
    first.on_answered({7, 7}, begin + 7s);
    BOOST_TEST(first.crashes_of(7, begin + 7s) == 0U);
    BOOST_TEST(first.reports_to_send(begin + 7s).empty());
}

// Guards against: after many sends without an answer, crashes are not recorded.
BOOST_AUTO_TEST_CASE(many_lost_answers_leave_room_for_crashes)
{
    relay::crash_tracker tracker;
    const time_point begin{100s};
    for (std::uint64_t i = 0; i < 10000; ++i)
    {
        const auto request = i << 50U;
        tracker.on_unanswered(
            "r", {.subject = {request + i, request + i}}, begin);
    }
    tracker.on_unanswered("crashed", {.subject = {7, 7}}, begin);
    tracker.on_check("crashed", relay::check_outcome::gone, begin, begin);
    BOOST_TEST(tracker.crashes_of(7, begin) == 1U);
}

BOOST_AUTO_TEST_CASE(it_is_tried_again_after_two_minutes)
{
    crashing_replicas fixture;
    fixture.run_request("crash-1", "/l/x");
    fixture.run_request("crash-2", "/l/x");
    fixture.simulation.loop.run_for(121s);
    const auto before = fixture.crashes;
    fixture.run_request("crash-3", "/l/x");
    BOOST_TEST(fixture.crashes > before);
}

BOOST_AUTO_TEST_SUITE_END()
