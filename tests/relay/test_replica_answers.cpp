// Tests of answers that are not the one that a request waits for: late
// duplicates, interim answers and parts of answers. The replica is a raw
// socket, so that each byte and its moment are chosen by the test.
#define BOOST_TEST_MODULE replica_answers
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include <support/replica_exchange.hpp>
#include <support/scripted_server.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::relay::send_result;
using tests::support::answer_text;
using tests::support::replica_exchange;
using tests::support::scripted_server;

BOOST_AUTO_TEST_SUITE(duplicates)

// A replica sends its answer to the first request twice; the copy arrives
// while the connection is idle or waits for the answer to the second request.
BOOST_AUTO_TEST_CASE(a_copy_with_an_id_is_skipped)
{
    const auto copy = answer_text("id-1", "old");
    const auto own = answer_text("id-2", "new");
    const std::vector<std::vector<std::string>> arrivals{
        {copy, own},
        {copy + own},
        {copy.substr(0, 20), copy.substr(20) + own.substr(0, 7), own.substr(7)},
        {copy, copy, copy, own}};
    for (const auto& pieces : arrivals)
    {
        replica_exchange replica(
            [&](std::size_t request)
            {
                return request == 1 ? scripted_server::reply{{copy}, ""}
                                    : scripted_server::reply{pieces, ""};
            });
        const auto first = replica.send("id-1");
        BOOST_TEST(first.answer.body == "old", first.detail);
        const auto second = replica.send("id-2");
        BOOST_TEST((second.result == send_result::answered), second.detail);
        BOOST_TEST(second.answer.body == "new");
    }
}

BOOST_AUTO_TEST_CASE(a_copy_without_an_id_is_not_delivered)
{
    for (const std::string& copy :
         {answer_text("", "old"),
          std::string("HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")})
    {
        replica_exchange replica(
            [&](std::size_t request)
            {
                return request == 1
                           ? scripted_server::reply{{answer_text("id-1",
                                                                 "old")},
                                                    ""}
                           : scripted_server::reply{
                                 {copy + answer_text("id-2", "new")}, ""};
            });
        BOOST_TEST((replica.send("id-1").answer.body == "old"));
        // Whether the request has run is unknown.
        BOOST_TEST((replica.send("id-2").result == send_result::broken));
        BOOST_TEST(replica.is_closed);
    }
}

// A late second answer to a rejected health check, which has no id, was taken
// for the answer to the next request: it ran and was sent again.
BOOST_AUTO_TEST_CASE(a_copy_of_a_health_check_is_not_delivered)
{
    const std::string rejection = "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
    replica_exchange replica(
        [&](std::size_t request)
        {
            return request == 1
                       ? scripted_server::reply{{rejection}, ""}
                       : scripted_server::reply{
                             {rejection + answer_text("id-2", "new")}, ""};
        });
    BOOST_TEST((replica.send("").result == send_result::shed));
    BOOST_TEST((replica.send("id-2").result == send_result::broken));
    BOOST_TEST(replica.is_closed);
}

// Without the request's id, a later answer cannot be told from a copy.
BOOST_AUTO_TEST_CASE(a_connection_without_ids_is_not_used_again)
{
    replica_exchange replica(
        [&](std::size_t)
        {
            return scripted_server::reply{{answer_text("", "first")}, ""};
        });
    BOOST_TEST((replica.send("id-1").result == send_result::answered));
    BOOST_TEST(replica.is_closed);
}

BOOST_AUTO_TEST_CASE(a_copy_on_an_idle_connection_closes_it)
{
    replica_exchange replica(
        [&](std::size_t)
        {
            return scripted_server::reply{
                {answer_text("id-1", "old"), answer_text("id-1", "old")}, ""};
        });
    BOOST_TEST((replica.send("id-1").answer.body == "old"));
    replica.io.run_for(50ms);
    BOOST_TEST(replica.is_closed);
}

BOOST_AUTO_TEST_CASE(an_interim_answer_precedes_the_answer)
{
    replica_exchange replica(
        [&](std::size_t)
        {
            return scripted_server::reply{
                {"HTTP/1.1 100 Continue\r\n\r\n",
                 "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                     answer_text("id-1", "new")},
                ""};
        });
    const auto outcome = replica.send("id-1");
    BOOST_TEST((outcome.result == send_result::answered));
    BOOST_TEST(outcome.answer.body == "new");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answers_that_break_off)

// Whatever arrived, the request may have run: never a success, and never a
// result that proves that it has not run.
BOOST_AUTO_TEST_CASE(no_part_of_an_answer_is_taken_for_all_of_it)
{
    using ending = scripted_server::reply::ending;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, ending>> cuts{
        {"", ending::closed},
        {"", ending::reset},
        {"HTTP/1.1 2", ending::closed},
        {head, ending::closed},
        {head, ending::reset},
        {head + "Content-Length: 9\r\n\r\nshort", ending::closed},
        {head + "Content-Length: 9\r\n\r\nshort", ending::reset},
        {head + "\r\nno length", ending::reset},
        {chunked, ending::closed},
        {chunked + "a", ending::closed},
        {chunked + "a\r\n01234", ending::closed},
        {chunked + "a\r\n0123456789", ending::closed},
        {chunked + "a\r\n0123456789\r\n", ending::closed},
        {chunked + "a\r\n0123456789\r\n0\r\n", ending::closed},
        {chunked + "a\r\n0123456789\r\n0\r\nX-T: ", ending::reset},
        {"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n",
         ending::closed},
        {"HTTP/1.1 100 Continue\r\n\r\n", ending::closed}};
    for (const auto& cut : cuts)
    {
        const auto& text = cut.first;
        const auto end = cut.second;
        replica_exchange replica(
            [&](std::size_t)
            {
                return scripted_server::reply{
                    text.empty() ? std::vector<std::string>{}
                                 : std::vector<std::string>{text},
                    "",
                    end};
            });
        const auto outcome = replica.send("id-1");
        BOOST_TEST((outcome.result == send_result::broken),
                   text << ": " << outcome.detail);
    }
}

// Guards against: a replica stops within the head of its answer and closes, and
// what has arrived is delivered as a success with an empty or short body.
BOOST_AUTO_TEST_CASE(no_cut_within_the_head_leaves_an_answer)
{
    using ending = scripted_server::reply::ending;
    const std::string begin = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n";
    for (const std::string& framing :
         {"Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n", ""})
    {
        const auto head = begin + framing + "\r\n";
        for (std::size_t length = 1; length < head.size(); ++length)
        {
            for (const auto end : {ending::closed, ending::reset})
            {
                replica_exchange replica(
                    [&](std::size_t)
                    {
                        return scripted_server::reply{
                            {head.substr(0, length)}, "", end};
                    });
                const auto outcome = replica.send("id-1");
                BOOST_TEST((outcome.result == send_result::broken),
                           head.substr(0, length) << ": " << outcome.detail);
                BOOST_TEST(outcome.answer.body.empty());
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
