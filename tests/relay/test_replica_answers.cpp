// Tests of answers that are not the one that a request waits for: late
// duplicates, interim answers and bytes without end. The replica is a raw
// socket, so that each byte and its moment are chosen by the test.
#define BOOST_TEST_MODULE replica_answers
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include <adapters/relay/replica_connection.hpp>
#include <support/resident_memory.hpp>
#include <support/scripted_server.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using adapters::relay::replica_connection;
using core::relay::send_result;
using tests::support::answer_text;
using tests::support::resident_bytes;
using tests::support::scripted_server;

namespace
{

/// A connection to a scripted replica.
struct exchange
{
    explicit exchange(scripted_server::script script,
                      std::shared_ptr<core::relay::answer_memory> memory =
                          std::make_shared<core::relay::answer_memory>(16U
                                                                       << 20U))
        : server(io, std::move(script)), memory(std::move(memory)),
          link(std::make_shared<replica_connection>(
              io,
              this->memory,
              [this](const replica_connection*)
              {
                  this->is_closed = true;
              }))
    {
        this->link->connect(this->server.endpoint());
    }

    ~exchange()
    {
        this->link->abort();
    }

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Sends a request; the result is `abandoned` if there is no outcome.
    ports::send_outcome send(const std::string& id,
                             std::chrono::milliseconds time = 400ms)
    {
        auto message = std::make_shared<ports::forwarded_request>();
        message->id = id;
        message->method = "GET";
        message->target = "/x";
        message->host = "h.example";
        ports::send_outcome outcome;
        outcome.result = send_result::abandoned;
        bool is_done = false;
        replica_connection::job work;
        work.request = message;
        work.deadline = std::chrono::steady_clock::now() + time;
        work.expected_replica = "r-1";
        work.done = [&](const ports::send_outcome& result)
        {
            outcome = result;
            is_done = true;
        };
        this->link->start(std::move(work));
        const auto until = std::chrono::steady_clock::now() + time;
        while (!is_done && std::chrono::steady_clock::now() < until)
        {
            this->io.run_one_for(10ms);
        }
        return outcome;
    }

    boost::asio::io_context io;
    scripted_server server;
    bool is_closed = false;
    std::shared_ptr<core::relay::answer_memory> memory;
    std::shared_ptr<replica_connection> link;
};

/// The result of a request to a replica that repeats a text without end.
ports::send_outcome send_to_endless(const std::string& begin,
                                    const std::string& endless)
{
    exchange replica(
        [&](std::size_t)
        {
            return scripted_server::reply{{begin}, endless};
        });
    return replica.send("id-1", 3s);
}

} // namespace

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
        exchange replica(
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
        exchange replica(
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
    exchange replica(
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
    exchange replica(
        [&](std::size_t)
        {
            return scripted_server::reply{{answer_text("", "first")}, ""};
        });
    BOOST_TEST((replica.send("id-1").result == send_result::answered));
    BOOST_TEST(replica.is_closed);
}

BOOST_AUTO_TEST_CASE(a_copy_on_an_idle_connection_closes_it)
{
    exchange replica(
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
    exchange replica(
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
        exchange replica(
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
                exchange replica(
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

BOOST_AUTO_TEST_SUITE(bytes_that_are_no_answer)

// Guards against: a caller gets an answer without a status, or the status tells
// that the request has not run.
BOOST_AUTO_TEST_CASE(a_status_that_is_none_makes_no_answer)
{
    for (const std::string& status : {"000",
                                      "001",
                                      "099",
                                      "600",
                                      "999",
                                      "2",
                                      "20",
                                      "2000",
                                      "-20",
                                      "+20",
                                      "2x0",
                                      "0x2",
                                      " 200",
                                      ""})
    {
        for (const std::string& line : {"", "X-Not-Executed: 1\r\n"})
        {
            const auto head = "HTTP/1.1 " + status +
                              " No\r\nX-Server-Stamp: s\r\n"
                              "X-Request-Id: id-1\r\n" +
                              line;
            for (const std::string& rest :
                 {"Content-Length: 3\r\n\r\nold",
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n",
                  "\r\n"})
            {
                exchange replica(
                    [&](std::size_t)
                    {
                        return scripted_server::reply{
                            {head + rest},
                            "",
                            scripted_server::reply::ending::closed};
                    });
                const auto outcome = replica.send("id-1");
                BOOST_TEST((outcome.result == send_result::broken),
                           head + rest);
                BOOST_TEST(replica.is_closed);
            }
        }
    }
}

// Guards against: a caller gets a line that is no header field, or a body that
// another recipient would delimit differently.
BOOST_AUTO_TEST_CASE(a_field_name_that_is_none_makes_no_answer)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string field = "X-Server-Stamp: s\r\n";
    const std::string length = "Content-Length: 3\r\n";
    for (const std::string& line : {std::string("X Y: 1"),
                                    std::string("X-Y : 1"),
                                    std::string("X-Y\t: 1"),
                                    std::string(" X-Y: 1"),
                                    std::string("\tX-Y: 1"),
                                    std::string(" Content-Length: 1"),
                                    std::string("Content-Length : 1"),
                                    std::string("Content Length: 1"),
                                    std::string("Transfer-Encoding : chunked"),
                                    std::string(" Transfer-Encoding: chunked"),
                                    std::string("X\x01Y: 1"),
                                    std::string("X\x1bY: 1"),
                                    std::string("X\x7fY: 1"),
                                    std::string("X\0Y: 1", 6),
                                    std::string("X\rY: 1"),
                                    std::string("X\nY: 1"),
                                    std::string("X\xff: 1"),
                                    std::string("X(Y: 1"),
                                    std::string(": 1"),
                                    std::string("X-Y")})
    {
        const auto odd = line + "\r\n";
        const auto chunked =
            status + field +
            "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n";
        for (const auto& text : {status + odd + field + length + "\r\nold",
                                 status + field + odd + length + "\r\nold",
                                 status + field + length + odd + "\r\nold",
                                 chunked + odd + "\r\n"})
        {
            // In one piece, and with a cut before each byte of the line.
            const auto begin = text.find(odd);
            for (std::size_t cut = 0; cut < odd.size(); ++cut)
            {
                std::vector<std::string> pieces{text};
                if (cut > 0)
                {
                    pieces = {text.substr(0, begin + cut - 1),
                              text.substr(begin + cut - 1)};
                }
                exchange replica(
                    [&](std::size_t)
                    {
                        return scripted_server::reply{
                            pieces, "", scripted_server::reply::ending::closed};
                    });
                const auto outcome = replica.send("id-1");
                BOOST_TEST((outcome.result == send_result::broken), text);
                BOOST_TEST(replica.is_closed);
            }
        }
    }
}

// Guards against: a body that begins with a blank is taken for a folded field,
// wherever the answer is cut.
BOOST_AUTO_TEST_CASE(a_body_may_begin_with_a_blank)
{
    const std::string text = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
                             "X-Request-Id: id-1\r\nContent-Length: 10\r\n"
                             "\r\n a\r\n b\r\n\tc";
    for (std::size_t cut = 1; cut < text.size(); ++cut)
    {
        exchange replica(
            [&](std::size_t)
            {
                return scripted_server::reply{
                    {text.substr(0, cut), text.substr(cut)}, ""};
            });
        const auto outcome = replica.send("id-1");
        BOOST_TEST((outcome.result == send_result::answered), cut);
        BOOST_TEST(outcome.answer.body == " a\r\n b\r\n\tc");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bytes_without_end)

BOOST_AUTO_TEST_CASE(each_kind_ends_as_broken_before_the_deadline)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'x');
    const std::vector<std::pair<std::string, std::string>> kinds{
        {"HTTP/1.1 200 ", filler},   // status line
        {head + "X-Long: ", filler}, // one field
        {head, "X-More: 1\r\n"},     // many fields
        {head + "\r\n", filler},     // no length
        {head + "Content-Length: 99999999999999\r\n\r\n", filler},
        {chunked + "2;", filler},               // extension
        {chunked, "3e8\r\n" + filler + "\r\n"}, // chunks
        {chunked + "0\r\nX-Trailer: ", filler}, // trailer
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},  // interim
        {"", answer_text("id-0", "old")},       // copies
        {"", filler}};                          // no HTTP
    for (const auto& [begin, endless] : kinds)
    {
        const auto outcome = send_to_endless(begin, endless);
        BOOST_TEST((outcome.result == send_result::broken),
                   begin << ": " << outcome.detail);
    }
}

// 100 replicas of many shards stream at the same time until the callers'
// deadline; usual answers are received meanwhile.
BOOST_AUTO_TEST_CASE(many_streams_leave_memory_for_usual_answers)
{
    const auto memory =
        std::make_shared<core::relay::answer_memory>(16U << 20U);
    boost::asio::io_context io;
    scripted_server endless(
        io,
        [](std::size_t)
        {
            return scripted_server::reply{
                {"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n"},
                std::string(8192, 'x')};
        });
    scripted_server usual(io,
                          [](std::size_t)
                          {
                              return scripted_server::reply{
                                  {answer_text("id", std::string(1000, 'r'))},
                                  ""};
                          });
    const auto before = resident_bytes();
    std::vector<std::shared_ptr<replica_connection>> links;
    std::size_t broken = 0;
    std::size_t answered = 0;
    const auto send = [&](const scripted_server& to)
    {
        auto message = std::make_shared<ports::forwarded_request>();
        message->id = "id";
        message->method = "GET";
        message->target = "/x";
        message->host = "h.example";
        replica_connection::job work;
        work.request = message;
        work.deadline = std::chrono::steady_clock::now() + 2s;
        work.done = [&](const ports::send_outcome& outcome)
        {
            broken += outcome.result == send_result::broken;
            answered += outcome.result == send_result::answered;
        };
        links.push_back(std::make_shared<replica_connection>(
            io, memory, [](const replica_connection*) {}));
        links.back()->connect(to.endpoint());
        links.back()->start(std::move(work));
    };
    for (int i = 0; i < 100; ++i)
    {
        send(endless);
    }
    std::size_t peak = before;
    for (int i = 0; i < 40; ++i)
    {
        send(usual);
        io.run_for(50ms);
        peak = std::max(peak, resident_bytes());
    }
    BOOST_TEST_MESSAGE("peak growth " << (peak - before) / 1024 << " KB, "
                                      << endless.written / 1024
                                      << " KB written by the replicas");
    BOOST_TEST(broken == 100U);
    BOOST_TEST(endless.closed == 100U);
    BOOST_TEST(answered == 40U);
    BOOST_TEST((peak - before) < (32U << 20U));
    BOOST_TEST(memory->reserved() == 0U);
    for (const auto& link : links)
    {
        link->abort();
    }
}

BOOST_AUTO_TEST_CASE(memory_is_released_with_the_answer)
{
    const auto memory = std::make_shared<core::relay::answer_memory>(1U << 20U);
    exchange replica(
        [](std::size_t request)
        {
            return scripted_server::reply{
                {answer_text("id-" + std::to_string(request),
                             std::string(700'000, 'r'))},
                ""};
        },
        memory);
    {
        const auto held = replica.send("id-1");
        BOOST_TEST((held.result == send_result::answered));
        BOOST_TEST(memory->reserved() >= 700'000U);
        BOOST_TEST((replica.send("id-2").result == send_result::broken));
    }
    BOOST_TEST(memory->reserved() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
