// Tests that the cause of a request's failure is found from the engine's log
// lines.
#define BOOST_TEST_MODULE request_timeline
#include <boost/test/unit_test.hpp>

#include <core/timeline/request_timeline.hpp>
#include <support/relay_simulation.hpp>

using namespace std::chrono_literals;
using namespace hawthornrelay::tests::support;
namespace timeline = hawthornrelay::core::timeline;

namespace
{

const scripted_reply ok{};
const scripted_reply shed{send_result::shed, 1ms};
const scripted_reply reset{send_result::broken, 60ms};
const scripted_reply silent{send_result::answered, 3600s};

/// The lines that the engine logged, in the format of the process's log.
std::vector<timeline::log_line> parse_log(const relay_simulation& simulation)
{
    std::vector<timeline::log_line> result;
    for (const auto& line : simulation.log.lines)
    {
        const auto parsed = timeline::parse_log_line(
            "2026-12-04T10:00:00.000001Z info 1000 " + line + " node=n1");
        BOOST_REQUIRE(parsed.has_value());
        result.push_back(*parsed);
    }
    return result;
}

std::string cause_of(const relay_simulation& simulation, const std::string& id)
{
    return timeline::build_timeline(parse_log(simulation), id).cause;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lines)

BOOST_AUTO_TEST_CASE(a_line_is_read_back)
{
    const auto line = timeline::parse_log_line(
        " 35.4 node-1 2026-03-20T01:40:47.129552Z info 1052 send_failed "
        "node=node-1 request=ab replica=r1 reason=\"read: \\\"reset\\\"\"");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->event == "send_failed");
    BOOST_TEST(line->node == "node-1");
    BOOST_TEST(line->field("replica") == "r1");
    BOOST_TEST(line->field("reason") == "read: \"reset\"");
    BOOST_TEST(line->field("absent").empty());
}

BOOST_AUTO_TEST_CASE(what_is_no_line_is_passed_over)
{
    for (const auto* text : {"",
                             "no time here",
                             "2026-13-20T01:40:47.129552Z info 1052 x",
                             "2026-03-20T01:40:47.12955xZ info 1052 x",
                             "2026-03-20T01:40:47.129552Z info",
                             "2026-03-20T01:40:47.129552Z info ten x"})
    {
        BOOST_TEST(!timeline::parse_log_line(text).has_value());
    }
}

BOOST_AUTO_TEST_CASE(crashes_of_earlier_attempts_on_any_node_are_included)
{
    const auto line = [](const std::string& text)
    {
        return *timeline::parse_log_line("2026-12-04T10:00:" + text);
    };
    const std::vector<timeline::log_line> lines{
        line("01.000000Z warning 1056 crash_found node=b request=p replica=r1 "
             "fingerprint=7 crashes=1"),
        line("02.000000Z warning 1056 crash_found node=c request=o replica=r2 "
             "fingerprint=8 crashes=1"),
        line("09.000000Z warning 1057 request_contained node=a request=q "
             "fingerprint=7 crashes=2"),
        line("09.000000Z info 1051 request_answered node=a request=q "
             "code=request_quarantined parts=1")};
    const auto found = timeline::build_timeline(lines, "q");
    BOOST_REQUIRE(found.background.size() == 1U);
    const auto text = timeline::format_timeline(found, "q");
    BOOST_TEST(contains(text, "b  crash_found request=p replica=r1"));
    BOOST_TEST(contains(text, "cause: replicas crashed"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(causes)

BOOST_AUTO_TEST_CASE(a_request_that_the_bound_on_extra_sends_failed)
{
    relay_simulation simulation(
        [](const relay::replica&, const std::string&)
        {
            return shed;
        },
        20,
        1);
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    BOOST_TEST(contains(cause_of(simulation, "q"), "bound on extra sends"));
    BOOST_TEST(contains(cause_of(simulation, "q"), "shard"));
}

BOOST_AUTO_TEST_CASE(a_search_that_waited_for_silent_shards)
{
    relay_simulation simulation(
        [](const relay::replica& replica, const std::string&)
        {
            return replica.record.service == "shard7" ? silent : ok;
        });
    simulation.start("q", "/s/x");
    simulation.loop.run_for(1s);
    BOOST_TEST(cause_of(simulation, "q") == "no answer from shard7");
}

BOOST_AUTO_TEST_CASE(a_booking_whose_outcome_is_unknown)
{
    relay_simulation simulation(
        [](const relay::replica&, const std::string&)
        {
            return reset;
        });
    simulation.start("b", "/b/x", 1500ms);
    simulation.loop.run_for(2s);
    BOOST_TEST(contains(cause_of(simulation, "b"), "may have run the request"));
}

BOOST_AUTO_TEST_CASE(requests_that_could_not_be_sent)
{
    relay_simulation simulation(
        [](const relay::replica&, const std::string&)
        {
            return ok;
        });
    simulation.engine.registry.set_zone_out("here", true);
    simulation.engine.registry.set_zone_out("there", true);
    simulation.start("q", "/l/x");
    simulation.loop.run_for(1s);
    BOOST_TEST(contains(cause_of(simulation, "q"), "no replica could be used"));
    BOOST_TEST(cause_of(simulation, "unheard of") ==
               "no log line contains the request id");
}

BOOST_AUTO_TEST_CASE(events_of_the_node_before_the_request_are_included)
{
    const auto line = [](const std::string& text)
    {
        return *timeline::parse_log_line("2026-12-04T10:00:" + text);
    };
    const std::vector<timeline::log_line> lines{
        line("09.200000Z info 1051 request_answered node=a request=q "
             "code=target_failed parts=2 stragglers=s1-,r1@0?;s2+,r2@0:40"),
        line("08.000000Z warning 1025 replica_suspect node=a replica=r1"),
        line("08.100000Z warning 1025 replica_suspect node=a replica=r9"),
        line("08.200000Z warning 1025 replica_suspect node=b replica=r1"),
        line("09.100000Z info 1050 request_started node=a request=q"),
        line("07.000000Z warning 1031 store_lost node=a reason=x"),
        line("09.300000Z info 1032 store_regained node=a")};
    const auto found = timeline::build_timeline(lines, "q");
    BOOST_REQUIRE(found.steps.size() == 2U);
    BOOST_TEST(found.steps.front().event == "request_started");
    BOOST_REQUIRE(found.background.size() == 2U);
    BOOST_TEST(found.background.front().event == "store_lost");
    BOOST_TEST(found.background.back().event == "replica_suspect");
    const auto text = timeline::format_timeline(found, "q");
    BOOST_TEST(contains(text, "100.0 ms  a  request_answered"));
    BOOST_TEST(contains(text, "cause: no answer from s1"));
}

BOOST_AUTO_TEST_SUITE_END()
