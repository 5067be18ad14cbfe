// Requests of a relay under the patterns of load and failure that their names
// state, on a paused clock.
#define BOOST_TEST_MODULE relay_requests
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <set>

#include <support/relay_world.hpp>

using namespace hawthornrelay::tests::support;
using namespace std::chrono_literals;
using hawthornrelay::core::base::duration;
using hawthornrelay::core::base::result_code;

namespace
{

const treatment ok{};
const treatment shed{send_result::shed, 1ms};
const treatment refused{send_result::not_sent, 1ms};
const treatment reset{send_result::broken, 3ms};
const treatment silent{send_result::answered, 3600s};

/// The same treatment by all replicas.
scripted_replicas::script always(treatment how)
{
    return [how](const relay::replica&, const std::string&)
    {
        return how;
    };
}

bool is_a(const relay::replica& replica)
{
    return replica.record.id.ends_with("-a");
}

/// Runs `count` searches, one each `gap`, and returns the share that got an
/// answer within the objective.
double served_in_time(relay_world& world, std::size_t count, duration gap)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        world.start("q" + std::to_string(i), "/s/x");
        world.loop.run_for(gap);
    }
    world.loop.run_for(1s);
    std::size_t good = 0;
    for (const auto& [id, answer] : world.answers)
    {
        good += answer.code == result_code::ok && world.taken[id] <= 80ms;
    }
    return static_cast<double>(good) / static_cast<double>(count);
}

/// Sends beyond the first of a request at one service, in any window of 10 s.
std::size_t most_extras(const relay_world& world, const std::string& service)
{
    std::vector<time_point> extras;
    std::set<std::string> seen;
    for (const auto& item : world.replicas.arrivals)
    {
        if (item.service == service && !seen.insert(item.request).second)
        {
            extras.push_back(item.at);
        }
    }
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < extras.size(); ++last)
    {
        while (extras[last] - extras[first] >= 10s)
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(searches)

BOOST_AUTO_TEST_CASE(all_parts_are_merged_and_named)
{
    relay_world world(always(ok));
    world.start("q", "/s/x");
    world.loop.run_for(1s);
    const auto& answer = world.answers.at("q");
    BOOST_TEST((answer.code == result_code::ok));
    BOOST_TEST(answer.signatures.size() == 20U);
    BOOST_TEST(answer.missing_shards == 0U);
    BOOST_TEST(answer.content.body.size() == 20U * 16U);
    BOOST_TEST((world.taken["q"] <= 6ms));
}

BOOST_AUTO_TEST_CASE(a_paused_replica_is_hedged_within_the_objective)
{
    relay_world world(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.id == "shard3-a"
                       ? treatment{send_result::answered, 100ms}
                       : ok;
        });
    BOOST_TEST(served_in_time(world, 100, 20ms) == 1.0);
    std::size_t partial = 0;
    for (const auto& [id, answer] : world.answers)
    {
        partial += answer.missing_shards > 0;
    }
    BOOST_TEST(partial == 0U);
}

BOOST_AUTO_TEST_CASE(a_dark_shard_is_left_out_at_the_cut)
{
    relay_world world(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.service == "shard3" ? silent : ok;
        });
    world.start("q", "/s/x");
    world.loop.run_for(1s);
    const auto& answer = world.answers.at("q");
    BOOST_TEST((answer.code == result_code::ok));
    BOOST_TEST(answer.missing_shards == 1U);
    BOOST_TEST((world.taken["q"] <= 78ms));
    BOOST_TEST((world.taken["q"] >= 60ms));
}

BOOST_AUTO_TEST_CASE(the_cut_allows_for_time_that_the_caller_has_used)
{
    relay_world world(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.service == "shard3" ? silent : ok;
        });
    auto longer = std::make_shared<relay::configuration>(*world.config);
    longer->version = 2;
    longer->routes.front().timeout = 900ms;
    world.engine.set_configuration(longer);
    for (int i = 0; i < 40; ++i)
    {
        world.start("first" + std::to_string(i), "/s/x", 400ms);
        world.loop.run_for(200ms);
    }
    world.start("again", "/s/x", 370ms);
    world.loop.run_for(1s);
    BOOST_TEST((world.taken["first39"] >= 70ms));
    BOOST_TEST((world.taken["first39"] <= 78ms));
    BOOST_TEST((world.taken["again"] >= 40ms));
    BOOST_TEST((world.taken["again"] <= 48ms));
}

BOOST_AUTO_TEST_CASE(too_many_dead_shards_fail_at_once)
{
    relay_world world(
        [](const relay::replica& replica, const std::string&)
        {
            const auto& name = replica.record.service;
            const bool is_dead =
                name == "shard1" || name == "shard2" || name == "shard3";
            return is_dead ? reset : ok;
        });
    world.start("q", "/s/x");
    world.loop.run_for(1s);
    BOOST_TEST((world.answers.at("q").code == result_code::target_failed));
    BOOST_TEST(!world.answers.at("q").is_not_run);
    BOOST_TEST((world.taken["q"] <= 20ms));
}

BOOST_AUTO_TEST_CASE(a_cut_zone_is_refused_at_once_and_served_after_it)
{
    bool is_cut = true;
    const auto is_behind = [](const relay::replica& replica)
    {
        const auto& name = replica.record.service;
        return name == "shard1" || name == "shard2" || name == "shard3";
    };
    relay_world world(
        [&](const relay::replica& replica, const std::string&)
        {
            return is_cut && is_behind(replica) ? silent : ok;
        });
    world.replicas.health = [&](const relay::replica& replica)
    {
        const bool is_reached = !(is_cut && is_behind(replica));
        return hawthornrelay::ports::health_report{
            is_reached, is_reached, std::nullopt};
    };
    const auto check_all = [&]
    {
        for (const auto& item : world.engine.registry.all())
        {
            world.engine.check(item.second);
        }
        world.loop.run_for(10ms);
    };
    check_all();
    world.start("q", "/s/x");
    BOOST_TEST(world.answers.at("q").is_not_run);
    BOOST_TEST((world.answers.at("q").retry_after > duration(0)));
    BOOST_TEST(world.replicas.arrivals.empty());
    is_cut = false;
    check_all();
    world.start("after", "/s/x");
    world.loop.run_for(1s);
    BOOST_TEST((world.answers.at("after").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(replicas_that_nobody_checks_again_are_tried)
{
    relay_world world(
        [](const relay::replica&, const std::string&)
        {
            return ok;
        });
    world.replicas.health = [](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{};
    };
    for (const auto& item : world.engine.registry.all())
    {
        world.engine.check(item.second);
    }
    // A standby keeps no connections and repeats no checks.
    world.loop.run_for(2s);
    world.start("q", "/s/x");
    world.loop.run_for(1s);
    BOOST_TEST((world.answers.at("q").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(replicas_that_say_ill_but_answer_are_used)
{
    relay_world world(
        [](const relay::replica&, const std::string&)
        {
            return ok;
        });
    world.replicas.health = [](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{true, false, std::nullopt};
    };
    for (const auto& item : world.engine.registry.all())
    {
        world.engine.check(item.second);
    }
    world.loop.run_for(10ms);
    world.start("q", "/s/x");
    world.loop.run_for(1s);
    BOOST_TEST((world.answers.at("q").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(shedding_across_all_shards_stays_within_the_bound)
{
    std::srand(7);
    relay_world world(
        [](const relay::replica& replica, const std::string&)
        {
            return is_a(replica) && std::rand() % 10 < 6 ? shed : ok;
        });
    const auto served = served_in_time(world, 1100, 11ms);
    BOOST_TEST(served >= 0.9);
    // 0.2 x 909 requests in 10 s + 56.
    for (std::size_t i = 0; i < 20; ++i)
    {
        BOOST_TEST(most_extras(world, "shard" + std::to_string(i)) <= 238U);
    }
}

BOOST_AUTO_TEST_CASE(a_reset_storm_stays_within_the_bound)
{
    std::srand(11);
    relay_world world(
        [](const relay::replica&, const std::string&)
        {
            return std::rand() % 10 < 4 ? reset : ok;
        });
    served_in_time(world, 1100, 11ms);
    for (std::size_t i = 0; i < 20; ++i)
    {
        BOOST_TEST(most_extras(world, "shard" + std::to_string(i)) <= 238U);
    }
}

BOOST_AUTO_TEST_CASE(lost_answers_of_both_replicas_are_asked_for_again)
{
    std::map<std::string, int> sends;
    relay_world world(
        [&](const relay::replica& replica, const std::string& request)
        {
            const bool is_lost = replica.record.service.ends_with("3") &&
                                 ++sends[replica.record.service + request] < 3;
            return is_lost ? reset : ok;
        });
    world.start("q", "/s/x");
    world.loop.run_for(1s);
    BOOST_TEST(world.answers.at("q").missing_shards == 0U);
    BOOST_TEST(world.replicas.count("q", "shard3") == 3U);
    std::set<std::string> ran;
    for (const auto& item : world.replicas.arrivals)
    {
        if (item.service == "shard3")
        {
            ran.insert(item.replica);
        }
    }
    BOOST_TEST(ran.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_slow_tail_is_hedged_with_few_sends)
{
    std::srand(3);
    relay_world world(
        [](const relay::replica&, const std::string&)
        {
            return std::rand() % 100 < 2
                       ? treatment{send_result::answered, 150ms}
                       : ok;
        });
    BOOST_TEST(served_in_time(world, 500, 11ms) >= 0.99);
    BOOST_TEST(world.replicas.arrivals.size() <= 500U * 20U * 110U / 100U);
}

BOOST_AUTO_TEST_CASE(parts_come_from_one_version_of_the_configuration)
{
    relay_world world(always({send_result::answered, 20ms}));
    world.start("q", "/s/x");
    auto next = std::make_shared<relay::configuration>(*world.config);
    next->version = 2;
    next->routes.front().shards = {"other"};
    world.engine.set_configuration(next);
    world.loop.run_for(1s);
    BOOST_TEST(world.answers.at("q").signatures.size() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(replicas)

BOOST_AUTO_TEST_CASE(nothing_more_is_sent_where_another_replica_answers)
{
    const treatment other_here{send_result::other_here, 1ms};
    relay_world world(
        [&](const relay::replica& replica, const std::string&)
        {
            return replica.record.id == "shard3-a" ? other_here : ok;
        });
    served_in_time(world, 100, 11ms);
    const auto count = std::count_if(world.replicas.arrivals.begin(),
                                     world.replicas.arrivals.end(),
                                     [](const scripted_replicas::arrival& item)
                                     {
                                         return item.replica == "shard3-a";
                                     });
    BOOST_TEST(count == 1);
}

BOOST_AUTO_TEST_CASE(a_cold_return_stays_within_the_bound_over_all_nodes)
{
    relay_world world(always(ok));
    auto config = std::make_shared<relay::configuration>(*world.config);
    config->version = 2;
    config->services["shard3"].cold_requests_per_second = 10;
    world.engine.set_configuration(config);
    world.engine.set_division(8, true);
    for (const auto& target :
         world.engine.registry.usable("shard3", world.loop.now()))
    {
        target->cold_until = world.loop.now() + 3s;
    }
    served_in_time(world, 270, 11ms);
    std::map<std::string, std::vector<time_point>> sends;
    for (const auto& item : world.replicas.arrivals)
    {
        if (item.service == "shard3")
        {
            sends[item.replica].push_back(item.at);
        }
    }
    for (const auto& sent : sends)
    {
        const auto& times = sent.second;
        for (std::size_t i = 0; i < times.size(); ++i)
        {
            const auto in_second =
                std::count_if(times.begin(),
                              times.end(),
                              [&](time_point at)
                              {
                                  return at >= times[i] && at < times[i] + 1s;
                              });
            // An eighth of 10 x 1.5 + 5.
            BOOST_TEST(in_second <= 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_replica_that_came_back_unseen_is_taken_for_cold)
{
    // Its first send after the restart meets the old connection's end.
    bool has_restarted = false;
    relay_world world(
        [&](const relay::replica& replica, const std::string&)
        {
            const bool is_broken =
                replica.record.id == "shard3-a" && !has_restarted;
            return is_broken ? reset : ok;
        });
    auto config = std::make_shared<relay::configuration>(*world.config);
    config->version = 2;
    config->services["shard3"].cold_requests_per_second = 10;
    world.engine.set_configuration(config);
    world.engine.set_division(8, true);
    world.replicas.health = [&](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{true, true, duration(3s)};
    };
    served_in_time(world, 1, 11ms);
    has_restarted = true;
    const auto back = world.loop.now();
    for (int i = 0; i < 90; ++i)
    {
        world.start("back" + std::to_string(i), "/s/x");
        world.loop.run_for(11ms);
    }
    const auto count =
        std::count_if(world.replicas.arrivals.begin(),
                      world.replicas.arrivals.end(),
                      [&](const scripted_replicas::arrival& item)
                      {
                          return item.replica == "shard3-a" && item.at >= back;
                      });
    // An eighth of 10 x 1.5 + 5 in a second.
    BOOST_TEST(count <= 2);
}

BOOST_AUTO_TEST_CASE(what_was_sent_before_a_cold_return_was_known_counts)
{
    relay_world world(always(ok));
    auto config = std::make_shared<relay::configuration>(*world.config);
    config->version = 2;
    config->services["shard3"].cold_requests_per_second = 10;
    world.engine.set_configuration(config);
    world.engine.set_division(8, true);
    const auto ask = [&world](const std::string& id)
    {
        world.start(id, "/s/x");
        world.loop.run_for(5ms);
    };
    for (int i = 0; i < 20; ++i)
    {
        ask("unaware" + std::to_string(i));
    }
    for (const auto& [id, target] : world.engine.registry.all())
    {
        target->cold_until = world.loop.now() + 3s;
    }
    std::map<std::string, std::size_t> sent;
    const auto count = [&]
    {
        sent.clear();
        for (const auto& item : world.replicas.arrivals)
        {
            ++sent[item.replica];
        }
        return sent;
    };
    auto before = count();
    for (int i = 0; i < 20; ++i)
    {
        ask("aware" + std::to_string(i));
    }
    auto after = count();
    // An eighth of 10 x 1.5 + 5 in a second, with those from before.
    constexpr std::size_t most = 2;
    BOOST_TEST(before["shard3-a"] > most);
    for (const auto* id : {"shard3-a", "shard3-b"})
    {
        BOOST_TEST(after[id] <= std::max(before[id], most));
    }
}

BOOST_AUTO_TEST_CASE(a_node_that_was_paused_takes_replicas_for_cold)
{
    relay_world world(always(ok));
    auto config = std::make_shared<relay::configuration>(*world.config);
    config->version = 2;
    config->services["book"].cold_requests_per_second = 10;
    world.engine.set_configuration(config);
    world.engine.set_division(8, true);
    world.engine.note_running();
    world.loop.run_for(4s);
    // The requests of its kept connections are read before anything else.
    for (int i = 0; i < 20; ++i)
    {
        world.start("q" + std::to_string(i), "/l/x", 1500ms);
    }
    // An eighth of 10 x 1.5 + 5 at each of two replicas.
    BOOST_TEST(world.replicas.arrivals.size() <= 4U);
    world.loop.run_for(1s);
    world.engine.note_running();
    for (int i = 0; i < 20; ++i)
    {
        world.start("later" + std::to_string(i), "/l/x", 1500ms);
        world.loop.run_for(10ms);
    }
    world.loop.run_for(1s);
    BOOST_TEST((world.answers.at("later19").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(a_standby_finds_out_that_a_replica_is_warm)
{
    bool is_broken = true;
    relay_world world(
        [&](const relay::replica&, const std::string&)
        {
            return is_broken ? reset : ok;
        });
    auto config = std::make_shared<relay::configuration>(*world.config);
    config->version = 2;
    config->services["book"].cold_requests_per_second = 10;
    world.engine.set_configuration(config);
    world.engine.set_division(8, false);
    world.replicas.health = [&](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{
            !is_broken, !is_broken, std::nullopt};
    };
    for (const auto* id : {"broken-a", "broken-b"})
    {
        world.start(id, "/l/" + std::string(id), 1500ms);
        world.loop.run_for(2s);
    }
    is_broken = false;
    std::size_t served = 0;
    for (int i = 0; i < 50; ++i)
    {
        const auto id = "after-" + std::to_string(i);
        world.start(id, "/l/x", 1500ms);
        world.loop.run_for(100ms);
        served += world.answers.at(id).code == result_code::ok ? 1 : 0;
    }
    // The first ones ask the replicas for their health.
    BOOST_TEST(served >= 45U);
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_out_gets_nothing)
{
    relay_world world(always(ok));
    world.engine.registry.set_zone_out("here", true);
    served_in_time(world, 50, 11ms);
    for (const auto& item : world.replicas.arrivals)
    {
        BOOST_TEST(item.replica.ends_with("-b"));
    }
}

BOOST_AUTO_TEST_CASE(a_draining_replica_gets_nothing)
{
    relay_world world(always(ok));
    for (const auto& [id, target] : world.engine.registry.all())
    {
        target->record.is_draining = id.ends_with("-a");
    }
    served_in_time(world, 50, 11ms);
    BOOST_TEST(!world.replicas.arrivals.empty());
    for (const auto& item : world.replicas.arrivals)
    {
        BOOST_TEST(item.replica.ends_with("-b"));
    }
}

BOOST_AUTO_TEST_CASE(equal_replicas_prefer_the_own_zone)
{
    relay_world world(always(ok));
    served_in_time(world, 100, 30ms);
    const auto near = std::count_if(world.replicas.arrivals.begin(),
                                    world.replicas.arrivals.end(),
                                    [](const scripted_replicas::arrival& item)
                                    {
                                        return item.replica.ends_with("-a");
                                    });
    BOOST_TEST(near == 2000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_never_sent_again)
{
    for (const auto& how : {reset, silent})
    {
        relay_world world(always(how));
        world.start("b", "/b/x", 1500ms);
        world.loop.run_for(3s);
        BOOST_TEST(world.replicas.count("b") == 1U);
        BOOST_TEST((world.answers.at("b").code != result_code::ok));
        BOOST_TEST(!world.answers.at("b").is_not_run);
        BOOST_TEST(world.answer_count["b"] == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_shed_request_goes_to_another_replica)
{
    relay_world world(
        [](const relay::replica& replica, const std::string&)
        {
            return is_a(replica) ? shed : ok;
        });
    world.start("b", "/b/x", 1500ms);
    world.loop.run_for(1s);
    BOOST_TEST((world.answers.at("b").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(a_request_that_everyone_sheds_is_refused_as_not_run)
{
    relay_world world(always(shed));
    world.start("b", "/b/x", 1500ms);
    world.loop.run_for(1s);
    BOOST_TEST(world.answers.at("b").is_not_run);
    BOOST_TEST((world.answers.at("b").retry_after > duration(0)));
    BOOST_TEST((world.taken["b"] <= 60ms));
}

BOOST_AUTO_TEST_CASE(unreachable_replicas_cost_no_extra_sends)
{
    relay_world world(always(refused), 20, 0);
    world.start("b", "/b/x", 1500ms);
    world.loop.run_for(1s);
    BOOST_TEST(world.replicas.count("b") == 2U);
    BOOST_TEST(world.answers.at("b").is_not_run);
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_replica_is_passed_on)
{
    relay_world world(always({send_result::answered, 5ms, 500}));
    world.start("b", "/b/x", 1500ms);
    world.loop.run_for(1s);
    BOOST_TEST(world.answers.at("b").content.status == 500U);
    BOOST_TEST(world.replicas.count("b") == 1U);
}

BOOST_AUTO_TEST_CASE(a_refusal_status_that_may_have_run_is_not_passed_on)
{
    for (const unsigned status : {408U, 421U, 429U, 503U})
    {
        relay_world world(always({send_result::answered, 5ms, status}));
        world.start("b", "/b/x", 1500ms);
        world.loop.run_for(1s);
        BOOST_TEST((world.answers.at("b").code == result_code::target_failed));
        BOOST_TEST(!world.answers.at("b").is_not_run);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(time_and_callers)

BOOST_AUTO_TEST_CASE(the_route_timeout_ends_a_request)
{
    relay_world world(always(silent));
    world.start("l", "/l/x", 10'000ms);
    world.loop.run_for(3s);
    BOOST_TEST((world.answers.at("l").code == result_code::deadline_expired));
    BOOST_TEST((world.taken["l"] <= 1500ms));
    BOOST_TEST((world.replicas.longest_time_left <= 1500ms));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_caller_has_left)
{
    relay_world world(always({send_result::answered, 900ms}));
    const auto run = world.start("l", "/l/x", 1500ms);
    world.loop.run_for(10ms);
    const auto before = world.replicas.arrivals.size();
    world.engine.on_caller_gone(run);
    world.loop.run_for(450ms);
    BOOST_TEST(world.replicas.arrivals.size() == before);
    BOOST_TEST(world.replicas.cancelled == before);
    BOOST_TEST(world.answers.empty());
    BOOST_TEST(world.engine.active() == 0U);
}

BOOST_AUTO_TEST_CASE(
    an_unknown_path_is_refused_and_an_unknown_configuration_too)
{
    relay_world world(always(ok));
    world.start("q", "/nowhere/x");
    BOOST_TEST((world.answers.at("q").code == result_code::no_such_path));
    relay::request_engine empty(
        relay_world::settings(0), world.runtime, world.replicas, world.log);
    relay::caller_answer answer;
    relay::caller_request request;
    request.message =
        std::make_shared<hawthornrelay::ports::forwarded_request>();
    request.time_left = 400ms;
    empty.start(std::move(request),
                [&](relay::caller_answer given)
                {
                    answer = std::move(given);
                });
    BOOST_TEST((answer.code == result_code::node_not_ready));
    BOOST_TEST(answer.is_not_run);
}

BOOST_AUTO_TEST_CASE(a_request_without_time_is_refused_without_a_send)
{
    relay_world world(always(ok));
    world.start("q", "/s/x", 1ms);
    BOOST_TEST(world.answers.at("q").is_not_run);
    BOOST_TEST(world.replicas.arrivals.empty());
}

BOOST_AUTO_TEST_CASE(the_log_tells_why_a_request_failed)
{
    relay_world world(always(reset));
    world.start("b", "/b/x", 1500ms);
    world.loop.run_for(1s);
    std::vector<std::string> events;
    for (const auto& line : world.log.lines)
    {
        if (line.find("request=b ") != std::string::npos)
        {
            events.push_back(line.substr(0, line.find(' ')));
        }
    }
    const std::vector<std::string> expected{
        "request_started", "send_failed", "request_answered"};
    BOOST_TEST(events == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
