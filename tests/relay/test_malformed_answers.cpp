// Tests of bytes from a replica in trouble that are no answer, or that never
// end.
#define BOOST_TEST_MODULE malformed_answers
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <adapters/relay/replica_connection.hpp>
#include <support/replica_exchange.hpp>
#include <support/resident_memory.hpp>
#include <support/scripted_server.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using adapters::relay::replica_connection;
using core::relay::send_result;
using tests::support::answer_text;
using tests::support::replica_exchange;
using tests::support::resident_bytes;
using tests::support::scripted_server;

namespace
{

/// The result of a request to a replica that repeats a text without end.
ports::send_outcome send_to_endless(const std::string& begin,
                                    const std::string& endless)
{
    replica_exchange replica(
        [&](std::size_t)
        {
            return scripted_server::reply{{begin}, endless};
        });
    return replica.send("id-1", 3s);
}

} // namespace

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
            const auto head = fmt::format("HTTP/1.1 {} No\r\n"
                                          "X-Server-Stamp: s\r\n"
                                          "X-Request-Id: id-1\r\n{}",
                                          status,
                                          line);
            for (const std::string& rest :
                 {"Content-Length: 3\r\n\r\nold",
                  "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n",
                  "\r\n"})
            {
                replica_exchange replica(
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
    // Heads with the line in each place, and with the line as a trailer.
    const auto place = [](const std::string& odd)
    {
        const std::string begin = "HTTP/1.1 200 OK\r\n";
        const std::string field = "X-Server-Stamp: s\r\n";
        const std::string end = "Content-Length: 3\r\n";
        const std::string body = "\r\nold";
        const std::string chunks =
            "Transfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n";
        return std::vector<std::string>{
            fmt::format("{}{}{}{}{}", begin, odd, field, end, body),
            fmt::format("{}{}{}{}{}", begin, field, odd, end, body),
            fmt::format("{}{}{}{}{}", begin, field, end, odd, body),
            fmt::format("{}{}{}{}\r\n", begin, field, chunks, odd)};
    };
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
        for (const auto& text : place(odd))
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
                replica_exchange replica(
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
        replica_exchange replica(
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
    replica_exchange replica(
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
