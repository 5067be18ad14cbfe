// Tests of the request engine under load and failures of replicas, on a
// simulated clock.
#define BOOST_TEST_MODULE relay_requests
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <set>

#include <support/relay_patterns.hpp>

using namespace hawthornrelay::tests::support;
using namespace std::chrono_literals;
using hawthornrelay::core::base::duration;
using hawthornrelay::core::base::result_code;

namespace
{

/// The most extra sends at one service in any window of 10 s.
std::size_t max_extra_sends(const relay_simulation& simulation,
                            const std::string& service)
{
    std::vector<time_point> extras;
    std::set<std::string> seen;
    for (const auto& item : simulation.replicas.arrivals)
    {
        if (item.service == service && !seen.insert(item.request).second)
        {
            extras.push_back(item.at);
        }
    }
    std::size_t max_count = 0;
    for (std::size_t first = 0, last = 0; last < extras.size(); ++last)
    {
        while (extras[last] - extras[first] >= 10s)
        {
            ++first;
        }
        max_count = std::max(max_count, last - first + 1);
    }
    return max_count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(searches)

BOOST_AUTO_TEST_CASE(all_parts_are_merged_and_named)
{
    relay_simulation simulation(always(ok));
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    const auto& answer = simulation.answers.at("q");
    BOOST_TEST((answer.code == result_code::ok));
    BOOST_TEST(answer.signatures.size() == 20U);
    BOOST_TEST(answer.missing_shards == 0U);
    BOOST_TEST(answer.content.body.size() == 20U * 16U);
    BOOST_TEST((simulation.latencies["q"] <= 6ms));
}

BOOST_AUTO_TEST_CASE(a_paused_replica_is_hedged_within_the_objective)
{
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.id == "shard3-a"
                       ? scripted_reply{send_result::answered, 100ms}
                       : ok;
        });
    BOOST_TEST(served_in_time(simulation, 100, 20ms) == 1.0);
    std::size_t partial = 0;
    for (const auto& [id, answer] : simulation.answers)
    {
        partial += answer.missing_shards > 0;
    }
    BOOST_TEST(partial == 0U);
}

BOOST_AUTO_TEST_CASE(a_silent_shard_is_left_out_at_the_objective)
{
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.service == "shard3" ? silent : ok;
        });
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    const auto& answer = simulation.answers.at("q");
    BOOST_TEST((answer.code == result_code::ok));
    BOOST_TEST(answer.missing_shards == 1U);
    BOOST_TEST((simulation.latencies["q"] <= 78ms));
    BOOST_TEST((simulation.latencies["q"] >= 60ms));
}

BOOST_AUTO_TEST_CASE(the_cut_allows_for_time_that_the_caller_has_used)
{
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.service == "shard3" ? silent : ok;
        });
    auto longer = std::make_shared<relay::configuration>(*simulation.config);
    longer->version = 2;
    longer->routes.front().timeout = 900ms;
    simulation.engine.set_configuration(longer);
    for (int i = 0; i < 40; ++i)
    {
        simulation.start("first" + std::to_string(i), "/s/x", 400ms);
        simulation.loop.run_for(200ms);
    }
    simulation.start("again", "/s/x", 370ms);
    simulation.loop.run_for(1s);
    BOOST_TEST((simulation.latencies["first39"] >= 70ms));
    BOOST_TEST((simulation.latencies["first39"] <= 78ms));
    BOOST_TEST((simulation.latencies["again"] >= 40ms));
    BOOST_TEST((simulation.latencies["again"] <= 48ms));
}

BOOST_AUTO_TEST_CASE(too_many_dead_shards_fail_at_once)
{
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            const auto& name = replica.record.service;
            const bool is_broken =
                name == "shard1" || name == "shard2" || name == "shard3";
            return is_broken ? reset : ok;
        });
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    BOOST_TEST((simulation.answers.at("q").code == result_code::target_failed));
    BOOST_TEST(!simulation.answers.at("q").is_not_run);
    BOOST_TEST((simulation.latencies["q"] <= 20ms));
}

BOOST_AUTO_TEST_CASE(a_cut_zone_is_refused_at_once_and_served_after_it)
{
    bool is_cut = true;
    const auto is_in_cut_zone = [](const relay::replica& replica)
    {
        const auto& name = replica.record.service;
        return name == "shard1" || name == "shard2" || name == "shard3";
    };
    relay_simulation simulation(
        [&](const relay::replica& replica, const std::string&)
        {
            return is_cut && is_in_cut_zone(replica) ? silent : ok;
        });
    simulation.replicas.health = [&](const relay::replica& replica)
    {
        const bool is_reachable = !(is_cut && is_in_cut_zone(replica));
        return hawthornrelay::ports::health_report{
            is_reachable, is_reachable, std::nullopt};
    };
    const auto check_all = [&]
    {
        for (const auto& item : simulation.engine.registry.all())
        {
            simulation.engine.check(item.second);
        }
        simulation.loop.run_for(10ms);
    };
    check_all();
    simulation.start("q", "/s/x");
    BOOST_TEST(simulation.answers.at("q").is_not_run);
    BOOST_TEST((simulation.answers.at("q").retry_after > duration(0)));
    BOOST_TEST(simulation.replicas.arrivals.empty());
    BOOST_TEST((simulation.log.lines.back().find(
                    "detail=17 of 20 services are reachable, 18 are needed") !=
                std::string::npos),
               simulation.log.lines.back());
    is_cut = false;
    check_all();
    simulation.start("after", "/s/x");
    simulation.loop.run_for(1s);
    BOOST_TEST((simulation.answers.at("after").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(replicas_without_repeated_checks_are_used_again)
{
    relay_simulation simulation(
        [](const relay::replica&, const std::string&)
        {
            return ok;
        });
    simulation.replicas.health = [](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{};
    };
    for (const auto& item : simulation.engine.registry.all())
    {
        simulation.engine.check(item.second);
    }
    // A standby keeps no connections and does not repeat health checks.
    simulation.loop.run_for(2s);
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    BOOST_TEST((simulation.answers.at("q").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(replicas_that_answer_an_unhealthy_check_are_used)
{
    relay_simulation simulation(
        [](const relay::replica&, const std::string&)
        {
            return ok;
        });
    simulation.replicas.health = [](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{true, false, std::nullopt};
    };
    for (const auto& item : simulation.engine.registry.all())
    {
        simulation.engine.check(item.second);
    }
    simulation.loop.run_for(10ms);
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    BOOST_TEST((simulation.answers.at("q").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(shedding_across_all_shards_stays_within_the_bound)
{
    std::srand(7);
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            return is_replica_a(replica) && std::rand() % 10 < 6 ? shed : ok;
        });
    const auto served = served_in_time(simulation, 1100, 11ms);
    BOOST_TEST(served >= 0.9);
    // 0.2 x 909 requests in 10 s, plus a slack of 56.
    for (std::size_t i = 0; i < 20; ++i)
    {
        BOOST_TEST(max_extra_sends(simulation, "shard" + std::to_string(i)) <=
                   238U);
    }
}

BOOST_AUTO_TEST_CASE(a_reset_storm_stays_within_the_bound)
{
    std::srand(11);
    relay_simulation simulation(
        [](const relay::replica&, const std::string&)
        {
            return std::rand() % 10 < 4 ? reset : ok;
        });
    served_in_time(simulation, 1100, 11ms);
    for (std::size_t i = 0; i < 20; ++i)
    {
        BOOST_TEST(max_extra_sends(simulation, "shard" + std::to_string(i)) <=
                   238U);
    }
}

BOOST_AUTO_TEST_CASE(lost_answers_of_both_replicas_are_asked_for_again)
{
    std::map<std::string, int> sends;
    relay_simulation simulation(
        [&](const relay::replica& replica, const std::string& request)
        {
            const bool is_lost = replica.record.service.ends_with("3") &&
                                 ++sends[replica.record.service + request] < 3;
            return is_lost ? reset : ok;
        });
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    BOOST_TEST(simulation.answers.at("q").missing_shards == 0U);
    BOOST_TEST(simulation.replicas.count("q", "shard3") == 3U);
    std::set<std::string> receivers;
    for (const auto& item : simulation.replicas.arrivals)
    {
        if (item.service == "shard3")
        {
            receivers.insert(item.replica);
        }
    }
    BOOST_TEST(receivers.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_slow_tail_is_hedged_with_few_sends)
{
    std::srand(3);
    relay_simulation simulation(
        [](const relay::replica&, const std::string&)
        {
            return std::rand() % 100 < 2
                       ? scripted_reply{send_result::answered, 150ms}
                       : ok;
        });
    BOOST_TEST(served_in_time(simulation, 500, 11ms) >= 0.99);
    BOOST_TEST(simulation.replicas.arrivals.size() <= 500U * 20U * 110U / 100U);
}

BOOST_AUTO_TEST_CASE(parts_come_from_one_version_of_the_configuration)
{
    relay_simulation simulation(always({send_result::answered, 20ms}));
    simulation.start("q", "/s/x");
    auto next = std::make_shared<relay::configuration>(*simulation.config);
    next->version = 2;
    next->routes.front().shards = {"other"};
    simulation.engine.set_configuration(next);
    simulation.loop.run_for(1s);
    BOOST_TEST(simulation.answers.at("q").signatures.size() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_never_sent_again)
{
    for (const auto& outcome : {reset, silent})
    {
        relay_simulation simulation(always(outcome));
        simulation.start("b", "/b/x", 1500ms);
        simulation.loop.run_for(3s);
        BOOST_TEST(simulation.replicas.count("b") == 1U);
        BOOST_TEST((simulation.answers.at("b").code != result_code::ok));
        BOOST_TEST(!simulation.answers.at("b").is_not_run);
        BOOST_TEST(simulation.answer_count["b"] == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_shed_request_goes_to_another_replica)
{
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            return is_replica_a(replica) ? shed : ok;
        });
    simulation.start("b", "/b/x", 1500ms);
    simulation.loop.run_for(1s);
    BOOST_TEST((simulation.answers.at("b").code == result_code::ok));
}

// Guards against: a replica that turned a request away for some time gets more
// requests before that time has passed.
BOOST_AUTO_TEST_CASE(a_replica_that_asks_for_a_pause_gets_one)
{
    relay_simulation simulation(
        [&simulation](const relay::replica& replica, const std::string&)
        {
            auto reply = is_replica_a(replica) ? shed : ok;
            const auto now = simulation.loop.now();
            if (is_replica_a(replica) && now < time_point(1h) + 10s)
            {
                reply.status = 503;
                reply.back_off = 3s;
            }
            else
            {
                reply = ok;
            }
            return reply;
        });
    const auto arrivals_at_a = [&simulation]
    {
        return std::count_if(simulation.replicas.arrivals.begin(),
                             simulation.replicas.arrivals.end(),
                             [](const auto& arrival)
                             {
                                 return arrival.replica.ends_with("-a");
                             });
    };
    for (int i = 0; i < 900; ++i)
    {
        const auto id = "q" + std::to_string(i);
        simulation.start(id, i % 2 == 0 ? "/l/x" : "/b/x", 1500ms);
        simulation.loop.run_for(10ms);
        BOOST_TEST((simulation.answers.at(id).code == result_code::ok));
    }
    BOOST_TEST(arrivals_at_a() <= 3);
    for (int i = 0; i < 500; ++i)
    {
        simulation.start("r" + std::to_string(i), "/l/x", 1500ms);
        simulation.loop.run_for(10ms);
    }
    BOOST_TEST(arrivals_at_a() > 50);
}

// If all replicas of a service have asked for a pause, callers are refused at
// once and told when to come back.
BOOST_AUTO_TEST_CASE(a_service_that_asks_for_a_pause_is_refused_at_once)
{
    auto reply = shed;
    reply.status = 503;
    reply.back_off = 5s;
    relay_simulation simulation(always(reply));
    for (int i = 0; i < 100; ++i)
    {
        const auto id = "q" + std::to_string(i);
        simulation.start(id, "/l/x", 1500ms);
        simulation.loop.run_for(20ms);
        BOOST_TEST(simulation.answers.at(id).is_not_run);
        if (i > 0)
        {
            BOOST_TEST((simulation.latencies.at(id) == 0ms));
            BOOST_TEST((simulation.answers.at(id).retry_after > 20ms));
            BOOST_TEST((simulation.answers.at(id).retry_after <= 1s));
        }
    }
    BOOST_TEST(simulation.replicas.arrivals.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_that_everyone_sheds_is_refused_as_not_run)
{
    relay_simulation simulation(always(shed));
    simulation.start("b", "/b/x", 1500ms);
    simulation.loop.run_for(1s);
    BOOST_TEST(simulation.answers.at("b").is_not_run);
    BOOST_TEST((simulation.answers.at("b").retry_after > duration(0)));
    BOOST_TEST((simulation.latencies["b"] <= 60ms));
}

BOOST_AUTO_TEST_CASE(unreachable_replicas_cost_no_extra_sends)
{
    relay_simulation simulation(always(refused), 20, 0);
    simulation.start("b", "/b/x", 1500ms);
    simulation.loop.run_for(1s);
    BOOST_TEST(simulation.replicas.count("b") == 2U);
    BOOST_TEST(simulation.answers.at("b").is_not_run);
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_replica_is_passed_on)
{
    relay_simulation simulation(always({send_result::answered, 5ms, 500}));
    simulation.start("b", "/b/x", 1500ms);
    simulation.loop.run_for(1s);
    BOOST_TEST(simulation.answers.at("b").content.status == 500U);
    BOOST_TEST(simulation.replicas.count("b") == 1U);
}

BOOST_AUTO_TEST_CASE(a_refusal_status_that_may_have_run_is_not_passed_on)
{
    for (const unsigned status : {408U, 421U, 429U, 503U})
    {
        relay_simulation simulation(
            always({send_result::answered, 5ms, status}));
        simulation.start("b", "/b/x", 1500ms);
        simulation.loop.run_for(1s);
        BOOST_TEST(
            (simulation.answers.at("b").code == result_code::target_failed));
        BOOST_TEST(!simulation.answers.at("b").is_not_run);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(time_and_callers)

BOOST_AUTO_TEST_CASE(the_route_timeout_ends_a_request)
{
    relay_simulation simulation(always(silent));
    simulation.start("l", "/l/x", 10'000ms);
    simulation.loop.run_for(3s);
    BOOST_TEST(
        (simulation.answers.at("l").code == result_code::deadline_expired));
    BOOST_TEST((simulation.latencies["l"] <= 1500ms));
    BOOST_TEST((simulation.replicas.max_time_left <= 1500ms));
}

// A planned stop with slow replicas: requests from before and after its begin
// are answered before the process ends.
BOOST_AUTO_TEST_CASE(all_requests_are_answered_before_the_process_ends)
{
    relay_simulation simulation(always({send_result::answered, 3s}));
    const auto begin = simulation.loop.now();
    for (const auto* path : {"/l/", "/b/", "/s/"})
    {
        simulation.start("before" + std::string(path), path, 1500ms);
    }
    simulation.loop.run_for(100ms);
    simulation.engine.close_at(begin + 1s);
    for (const auto* path : {"/l/", "/b/", "/s/"})
    {
        simulation.start("after" + std::string(path), path, 1500ms);
    }
    BOOST_TEST(
        (simulation.answers.at("after/b/").code == result_code::node_stopping));
    BOOST_TEST(simulation.answers.at("after/b/").is_not_run);
    BOOST_TEST(simulation.replicas.count("after/b/") == 0U);
    simulation.loop.run_until(begin + 1s);
    BOOST_TEST(simulation.answers.size() == 6U);
    BOOST_TEST(simulation.engine.active() == 0U);
    for (const auto& [id, answer] : simulation.answers)
    {
        BOOST_TEST(simulation.answer_count.at(id) == 1U);
        BOOST_TEST((answer.code != result_code::ok), id);
    }
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_caller_has_left)
{
    relay_simulation simulation(always({send_result::answered, 900ms}));
    const auto request = simulation.start("l", "/l/x", 1500ms);
    simulation.loop.run_for(10ms);
    const auto before = simulation.replicas.arrivals.size();
    simulation.engine.on_caller_disconnected(request);
    simulation.loop.run_for(450ms);
    BOOST_TEST(simulation.replicas.arrivals.size() == before);
    BOOST_TEST(simulation.replicas.cancelled == before);
    BOOST_TEST(simulation.answers.empty());
    BOOST_TEST(simulation.engine.active() == 0U);
}

BOOST_AUTO_TEST_CASE(
    an_unknown_path_is_refused_and_an_unknown_configuration_too)
{
    relay_simulation simulation(always(ok));
    simulation.start("q", "/nowhere/x");
    BOOST_TEST((simulation.answers.at("q").code == result_code::no_such_path));
    relay::request_engine unconfigured(relay_simulation::settings(0),
                                       simulation.runtime,
                                       simulation.replicas,
                                       simulation.log);
    relay::caller_answer answer;
    relay::caller_request request;
    request.message =
        std::make_shared<hawthornrelay::ports::forwarded_request>();
    request.time_left = 400ms;
    unconfigured.start(std::move(request),
                       [&](relay::caller_answer received)
                       {
                           answer = std::move(received);
                       });
    BOOST_TEST((answer.code == result_code::node_not_ready));
    BOOST_TEST(answer.is_not_run);
}

BOOST_AUTO_TEST_CASE(a_request_without_time_is_refused_without_a_send)
{
    relay_simulation simulation(always(ok));
    simulation.start("q", "/s/x", 1ms);
    BOOST_TEST(simulation.answers.at("q").is_not_run);
    BOOST_TEST(simulation.replicas.arrivals.empty());
}

BOOST_AUTO_TEST_CASE(the_log_shows_why_a_request_failed)
{
    relay_simulation simulation(always(reset));
    simulation.start("b", "/b/x", 1500ms);
    simulation.loop.run_for(1s);
    std::vector<std::string> events;
    for (const auto& line : simulation.log.lines)
    {
        if (line.find("request=b ") != std::string::npos)
        {
            events.push_back(line.substr(0, line.find(' ')));
        }
    }
    const std::vector<std::string> expected{"request_started",
                                            "send_unanswered",
                                            "send_failed",
                                            "request_answered",
                                            "crash_ruled_out"};
    BOOST_TEST(events == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
