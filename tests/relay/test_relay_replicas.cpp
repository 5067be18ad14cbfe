// Tests of the choice of replicas: cold and draining replicas, zones, and
// addresses at which another replica answers.
#define BOOST_TEST_MODULE relay_replicas
#include <boost/test/unit_test.hpp>

#include <map>

#include <support/relay_patterns.hpp>

using namespace hawthornrelay::tests::support;
using namespace std::chrono_literals;

namespace
{

/// Limits a cold replica of a service to 10 x 1.5 + 5 requests per second over
/// 8 entries, one of which is this node if `is_entry` is set.
void set_cold_rate(relay_simulation& simulation,
                   const std::string& service,
                   bool is_entry)
{
    auto config = std::make_shared<relay::configuration>(*simulation.config);
    config->version = 2;
    config->services[service].cold_requests_per_second = 10;
    simulation.engine.set_configuration(config);
    simulation.engine.set_division(8, is_entry);
}

} // namespace

BOOST_AUTO_TEST_SUITE(replicas)

BOOST_AUTO_TEST_CASE(nothing_more_is_sent_where_another_replica_answers)
{
    const scripted_reply other_replica{send_result::other_replica, 1ms};
    relay_simulation simulation(
        [&](const relay::replica& replica, const std::string&)
        {
            return replica.record.id == "shard3-a" ? other_replica : ok;
        });
    served_in_time(simulation, 100, 11ms);
    const auto count = std::count_if(simulation.replicas.arrivals.begin(),
                                     simulation.replicas.arrivals.end(),
                                     [](const scripted_replicas::arrival& item)
                                     {
                                         return item.replica == "shard3-a";
                                     });
    BOOST_TEST(count == 1);
}

BOOST_AUTO_TEST_CASE(a_cold_return_stays_within_the_bound_over_all_nodes)
{
    relay_simulation simulation(always(ok));
    set_cold_rate(simulation, "shard3", true);
    for (const auto& target :
         simulation.engine.registry.usable("shard3", simulation.loop.now()))
    {
        target->cold_until = simulation.loop.now() + 3s;
    }
    served_in_time(simulation, 270, 11ms);
    std::map<std::string, std::vector<time_point>> sends;
    for (const auto& arrival : simulation.replicas.arrivals)
    {
        if (arrival.service == "shard3")
        {
            sends[arrival.replica].push_back(arrival.at);
        }
    }
    for (const auto& item : sends)
    {
        const auto& times = item.second;
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

BOOST_AUTO_TEST_CASE(a_replica_that_restarted_unnoticed_is_treated_as_cold)
{
    // The first send fails: the restart has closed the old connection.
    bool has_restarted = false;
    relay_simulation simulation(
        [&](const relay::replica& replica, const std::string&)
        {
            const bool is_broken =
                replica.record.id == "shard3-a" && !has_restarted;
            return is_broken ? reset : ok;
        });
    set_cold_rate(simulation, "shard3", true);
    simulation.replicas.health = [&](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{true, true, duration(3s)};
    };
    served_in_time(simulation, 1, 11ms);
    has_restarted = true;
    const auto restarted_at = simulation.loop.now();
    for (int i = 0; i < 90; ++i)
    {
        simulation.start("back" + std::to_string(i), "/s/x");
        simulation.loop.run_for(11ms);
    }
    const auto count = std::count_if(simulation.replicas.arrivals.begin(),
                                     simulation.replicas.arrivals.end(),
                                     [&](const scripted_replicas::arrival& item)
                                     {
                                         return item.replica == "shard3-a" &&
                                                item.at >= restarted_at;
                                     });
    // An eighth of 10 x 1.5 + 5 per second.
    BOOST_TEST(count <= 2);
}

BOOST_AUTO_TEST_CASE(what_was_sent_before_a_cold_return_was_known_counts)
{
    relay_simulation simulation(always(ok));
    set_cold_rate(simulation, "shard3", true);
    const auto send_request = [&simulation](const std::string& id)
    {
        simulation.start(id, "/s/x");
        simulation.loop.run_for(5ms);
    };
    for (int i = 0; i < 20; ++i)
    {
        send_request("unaware" + std::to_string(i));
    }
    for (const auto& [id, target] : simulation.engine.registry.all())
    {
        target->cold_until = simulation.loop.now() + 3s;
    }
    std::map<std::string, std::size_t> sent;
    const auto count_sends = [&]
    {
        sent.clear();
        for (const auto& item : simulation.replicas.arrivals)
        {
            ++sent[item.replica];
        }
        return sent;
    };
    auto before = count_sends();
    for (int i = 0; i < 20; ++i)
    {
        send_request("aware" + std::to_string(i));
    }
    auto after = count_sends();
    // An eighth of 10 x 1.5 + 5 per second, earlier sends included.
    constexpr std::size_t max_sends = 2;
    BOOST_TEST(before["shard3-a"] > max_sends);
    for (const auto* id : {"shard3-a", "shard3-b"})
    {
        BOOST_TEST(after[id] <= std::max(before[id], max_sends));
    }
}

BOOST_AUTO_TEST_CASE(what_was_sent_before_the_new_registration_counts)
{
    relay_simulation simulation(always(ok));
    set_cold_rate(simulation, "book", true);
    const auto send_request = [&simulation](const std::string& id)
    {
        simulation.start(id, "/l/x", 1500ms);
        simulation.loop.run_for(10ms);
    };
    // A health check reports both restarts before the registrations show them.
    const auto all = simulation.engine.registry.all();
    for (const auto& [id, target] : all)
    {
        target->cold_until = simulation.loop.now() + 3s;
    }
    for (int i = 0; i < 10; ++i)
    {
        send_request("before" + std::to_string(i));
    }
    const auto before = simulation.replicas.arrivals.size();
    BOOST_TEST(before == 4U);
    for (const auto& [id, target] : all)
    {
        auto record = target->record;
        record.started_at = 2;
        record.warm_up_left = 3s;
        simulation.engine.registry.put(record, simulation.loop.now());
    }
    for (int i = 0; i < 10; ++i)
    {
        send_request("after" + std::to_string(i));
    }
    BOOST_TEST(simulation.replicas.arrivals.size() == before);
}

BOOST_AUTO_TEST_CASE(a_node_that_was_paused_takes_replicas_for_cold)
{
    relay_simulation simulation(always(ok));
    set_cold_rate(simulation, "book", true);
    simulation.engine.record_running();
    simulation.loop.run_for(4s);
    // After the pause, requests on open connections are read first.
    for (int i = 0; i < 20; ++i)
    {
        simulation.start("q" + std::to_string(i), "/l/x", 1500ms);
    }
    // An eighth of 10 x 1.5 + 5 at each of two replicas.
    BOOST_TEST(simulation.replicas.arrivals.size() <= 4U);
    simulation.loop.run_for(1s);
    simulation.engine.record_running();
    for (int i = 0; i < 20; ++i)
    {
        simulation.start("later" + std::to_string(i), "/l/x", 1500ms);
        simulation.loop.run_for(10ms);
    }
    simulation.loop.run_for(1s);
    BOOST_TEST((simulation.answers.at("later19").code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(a_standby_finds_out_that_a_replica_is_warm)
{
    bool is_broken = true;
    relay_simulation simulation(
        [&](const relay::replica&, const std::string&)
        {
            return is_broken ? reset : ok;
        });
    set_cold_rate(simulation, "book", false);
    simulation.replicas.health = [&](const relay::replica&)
    {
        return hawthornrelay::ports::health_report{
            !is_broken, !is_broken, std::nullopt};
    };
    for (const auto* id : {"broken-a", "broken-b"})
    {
        simulation.start(id, "/l/" + std::string(id), 1500ms);
        simulation.loop.run_for(2s);
    }
    is_broken = false;
    std::size_t served = 0;
    for (int i = 0; i < 50; ++i)
    {
        const auto id = "after-" + std::to_string(i);
        simulation.start(id, "/l/x", 1500ms);
        simulation.loop.run_for(100ms);
        served += simulation.answers.at(id).code == result_code::ok ? 1 : 0;
    }
    // The first requests trigger the health checks.
    BOOST_TEST(served >= 45U);
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_out_gets_nothing)
{
    relay_simulation simulation(always(ok));
    simulation.engine.registry.set_zone_out("here", true);
    served_in_time(simulation, 50, 11ms);
    for (const auto& item : simulation.replicas.arrivals)
    {
        BOOST_TEST(item.replica.ends_with("-b"));
    }
}

BOOST_AUTO_TEST_CASE(a_draining_replica_gets_nothing)
{
    relay_simulation simulation(always(ok));
    for (const auto& [id, target] : simulation.engine.registry.all())
    {
        target->record.is_draining = id.ends_with("-a");
    }
    served_in_time(simulation, 50, 11ms);
    BOOST_TEST(!simulation.replicas.arrivals.empty());
    for (const auto& item : simulation.replicas.arrivals)
    {
        BOOST_TEST(item.replica.ends_with("-b"));
    }
}

// Guards against: a replica that says in its answers that it leaves gets new
// requests, because its registration does not say so yet.
BOOST_AUTO_TEST_CASE(a_replica_that_says_that_it_leaves_gets_nothing)
{
    for (const auto result : {send_result::answered, send_result::shed})
    {
        relay_simulation simulation(
            [result](const relay::replica& replica, const std::string&)
            {
                scripted_reply reply;
                reply.is_leaving = replica.record.id == "book-a" &&
                                   replica.record.started_at == 1;
                reply.result =
                    reply.is_leaving ? result : send_result::answered;
                return reply;
            });
        const auto send = [&simulation](int count)
        {
            simulation.replicas.arrivals.clear();
            for (int i = 0; i < count; ++i)
            {
                simulation.start("q" + std::to_string(i), "/l/x", 1500ms);
                simulation.loop.run_for(50ms);
            }
            return std::count_if(simulation.replicas.arrivals.begin(),
                                 simulation.replicas.arrivals.end(),
                                 [](const auto& arrival)
                                 {
                                     return arrival.replica == "book-a";
                                 });
        };
        BOOST_TEST(send(20) == 1);
        // Heartbeats go on; it still registers as ready.
        auto record = simulation.engine.registry.all().at("book-a")->record;
        ++record.sequence;
        simulation.engine.registry.put(record, simulation.loop.now());
        BOOST_TEST(send(20) == 0);
        // It has started again under the same id.
        record.started_at = 2;
        simulation.engine.registry.put(record, simulation.loop.now());
        BOOST_TEST(send(20) > 0);
    }
}

BOOST_AUTO_TEST_CASE(equal_replicas_prefer_the_own_zone)
{
    relay_simulation simulation(always(ok));
    served_in_time(simulation, 100, 30ms);
    const auto count = std::count_if(simulation.replicas.arrivals.begin(),
                                     simulation.replicas.arrivals.end(),
                                     [](const scripted_replicas::arrival& item)
                                     {
                                         return item.replica.ends_with("-a");
                                     });
    BOOST_TEST(count == 2000);
}

BOOST_AUTO_TEST_SUITE_END()
