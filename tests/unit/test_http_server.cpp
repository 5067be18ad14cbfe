// Tests of the HTTP server on loopback sockets: planned stops, pipelined
// requests, methods without a body, long fields, failing handlers and changes
// of the limits.
#define BOOST_TEST_MODULE http_server
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include <adapters/http/server.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

const std::string request_text = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that answers at once, and its callers.
struct stopping_server
{
    explicit stopping_server(adapters::http::server_accounting accounting = {})
    {
        adapters::http::server_handlers handlers;
        handlers.on_request = [this](const adapters::http::request& message,
                                     const adapters::http::responder& respond)
        {
            this->targets.push_back(message.target);
            if (message.target == "/throws")
            {
                throw std::length_error("too long");
            }
            adapters::http::response reply;
            reply.body = "whole";
            const auto timer = std::make_shared<boost::asio::steady_timer>(
                this->io, this->answer_delay);
            timer->async_wait(
                [timer, respond, reply](const boost::system::error_code&)
                {
                    respond(reply);
                });
        };
        handlers.on_bad_input =
            [](core::base::result_code, const std::string& detail)
        {
            adapters::http::response reply;
            reply.status = 400;
            reply.body = detail;
            return reply;
        };
        adapters::http::server_limits limits;
        limits.header_bytes = 256U << 10U;
        this->server =
            std::move(*adapters::http::server::listen(this->io,
                                                      "127.0.0.1",
                                                      0,
                                                      std::move(handlers),
                                                      limits,
                                                      std::move(accounting)));
    }

    tcp::socket connect()
    {
        tcp::socket caller(this->io);
        caller.connect(
            {boost::asio::ip::make_address("127.0.0.1"), this->server->port()});
        return caller;
    }

    static void write(tcp::socket& caller, const std::string& text)
    {
        boost::asio::write(caller, boost::asio::buffer(text));
    }

    /// Runs the server, then reads all that a caller has received.
    std::string read(tcp::socket& caller)
    {
        this->io.run_for(100ms);
        std::string text(4096, '\0');
        boost::system::error_code error;
        caller.non_blocking(true);
        text.resize(caller.read_some(boost::asio::buffer(text), error));
        return text;
    }

    boost::asio::io_context io;
    std::chrono::milliseconds answer_delay{0};
    std::vector<std::string> targets; ///< of the requests that were handled
    std::unique_ptr<adapters::http::server> server;
};

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++found;
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stops)

BOOST_AUTO_TEST_CASE(a_request_that_has_arrived_unread_is_answered)
{
    stopping_server stopping;
    auto caller = stopping.connect();
    stopping.io.run_for(50ms);
    stopping.server->drain();
    stopping_server::write(caller, request_text);
    stopping.server->close_idle();
    const auto text = stopping.read(caller);
    BOOST_TEST(text.ends_with("whole"));
    BOOST_TEST((text.find("Connection: close") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(a_request_on_a_connection_that_is_not_accepted_is_answered)
{
    stopping_server stopping;
    stopping.server->drain();
    auto caller = stopping.connect();
    stopping_server::write(caller, request_text);
    stopping.server->close_idle();
    BOOST_TEST(stopping.read(caller).ends_with("whole"));
}

BOOST_AUTO_TEST_CASE(a_request_that_is_half_read_is_answered)
{
    stopping_server stopping;
    auto caller = stopping.connect();
    stopping_server::write(caller, request_text.substr(0, 9));
    stopping.io.run_for(50ms);
    stopping.server->drain();
    stopping.server->close_idle();
    stopping_server::write(caller, request_text.substr(9));
    BOOST_TEST(stopping.read(caller).ends_with("whole"));
}

// A connection that was accepted as the listener closed was dropped unread.
BOOST_AUTO_TEST_CASE(a_request_that_follows_its_connection_is_answered)
{
    stopping_server stopping;
    stopping.server->drain();
    auto caller = stopping.connect();
    stopping.server->close_idle();
    stopping.io.run_for(50ms);
    stopping_server::write(caller, request_text);
    BOOST_TEST(stopping.read(caller).ends_with("whole"));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed)
{
    stopping_server stopping;
    auto caller = stopping.connect();
    stopping.io.run_for(50ms);
    stopping.server->drain();
    stopping.server->close_idle();
    stopping.io.run_for(50ms);
    BOOST_TEST(stopping.server->connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(pipelined_requests)

// A request that arrived before the answer to the one before was handled again
// in place of the next one, which got its answer.
BOOST_AUTO_TEST_CASE(each_is_handled_once_and_in_order)
{
    stopping_server pipelined;
    pipelined.answer_delay = 20ms;
    auto caller = pipelined.connect();
    std::vector<std::string> sent;
    std::string answers;
    // Requests of a burst are sent together; the last one is cut in two.
    for (const std::string burst : {"a", "b", "", "c", "de", "", "f", "g", ""})
    {
        std::string text;
        for (const auto name : burst)
        {
            sent.push_back(std::string("/") + name);
            text += "GET " + sent.back() + " HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        const auto middle = text.size() - std::min<std::size_t>(7, text.size());
        stopping_server::write(caller, text.substr(0, middle));
        pipelined.io.run_for(2ms);
        stopping_server::write(caller, text.substr(middle));
        pipelined.io.run_for(2ms);
        if (burst.empty())
        {
            // All are answered before the next burst.
            answers += pipelined.read(caller);
        }
    }
    BOOST_TEST(count(answers, "whole") == sent.size());
    BOOST_TEST(pipelined.targets == sent, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(responses)

// The body of a response to HEAD was read as the start of the next response.
BOOST_AUTO_TEST_CASE(those_to_head_have_no_body)
{
    stopping_server server;
    auto caller = server.connect();
    stopping_server::write(caller, "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto head = server.read(caller);
    BOOST_TEST(head.ends_with("\r\n\r\n"));
    BOOST_TEST(count(head, "Content-Length: 5\r\n") == 1U);
    stopping_server::write(caller, "HEAD /x HTTP/1.1\r\nbad header\r\n\r\n");
    const auto refusal = server.read(caller);
    BOOST_TEST(refusal.starts_with("HTTP/1.1 400 "));
    BOOST_TEST(refusal.ends_with("\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(exceptions)

// A field value of more than 65,533 bytes, which the limits may allow, ended
// the process.
BOOST_AUTO_TEST_CASE(a_long_field_is_served)
{
    stopping_server server;
    auto caller = server.connect();
    stopping_server::write(caller,
                           "GET /x HTTP/1.1\r\nHost: h\r\nLong: " +
                               std::string(70'000, 'x') + "\r\n\r\n");
    BOOST_TEST(server.read(caller).ends_with("whole"));
}

// An exception while one request was handled ended the process and cut the
// requests of others.
BOOST_AUTO_TEST_CASE(one_closes_its_own_connection_only)
{
    stopping_server server;
    server.answer_delay = 20ms;
    auto other = server.connect();
    stopping_server::write(other, request_text);
    auto caller = server.connect();
    stopping_server::write(caller, "GET /throws HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(server.read(other).ends_with("whole"));
    BOOST_TEST(server.server->connections() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(client_limits)

using core::relay::client_budget;
using core::relay::client_closure;

// Guards against: a client without an end of pipelined requests takes the
// server from others.
BOOST_AUTO_TEST_CASE(a_response_before_too_many_pipelined_requests_is_the_last)
{
    const auto budget = std::make_shared<client_budget>(
        core::relay::client_limits{.pipelined = 3});
    stopping_server limited({.budget = budget});
    limited.answer_delay = 20ms;
    auto usual = limited.connect();
    auto many = limited.connect();
    stopping_server::write(usual, request_text + request_text + request_text);
    stopping_server::write(many, request_text);
    limited.io.run_for(5ms);
    stopping_server::write(many, request_text + request_text + request_text);
    const auto text = limited.read(many);
    BOOST_TEST(count(text, "whole") == 1U);
    BOOST_TEST(count(text, "Connection: close") == 1U);
    BOOST_TEST(count(limited.read(usual), "whole") == 3U);
    BOOST_TEST(budget->closures(client_closure::pipelined) == 1U);
}

// Guards against: a body is received without a charge, or the charge stays
// after the refusal.
BOOST_AUTO_TEST_CASE(a_body_beyond_the_memory_is_refused_and_freed)
{
    const auto budget = std::make_shared<client_budget>(
        core::relay::client_limits{.memory = 64U << 10U});
    stopping_server limited({.budget = budget});
    auto caller = limited.connect();
    stopping_server::write(caller,
                           "POST /x HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 90000\r\n\r\n" +
                               std::string(89'000, 'x'));
    const auto text = limited.read(caller);
    BOOST_TEST(text.ends_with("no memory for this request"));
    BOOST_TEST(limited.targets.empty());
    BOOST_TEST(budget->held() < (16U << 10U));
    auto other = limited.connect();
    stopping_server::write(other, request_text);
    BOOST_TEST(limited.read(other).ends_with("whole"));
}

// Guards against: clients that send nothing lock out new callers.
BOOST_AUTO_TEST_CASE(a_new_caller_displaces_a_connection_without_a_request)
{
    const auto budget = std::make_shared<client_budget>(
        core::relay::client_limits{.connections = 1, .grace = 10ms});
    stopping_server limited({.budget = budget});
    auto silent = limited.connect();
    limited.io.run_for(20ms);
    auto caller = limited.connect();
    stopping_server::write(caller, request_text);
    BOOST_TEST(limited.read(caller).ends_with("whole"));
    BOOST_TEST(budget->connections() == 1U);
    BOOST_TEST(budget->closures(client_closure::descriptors) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(changed_limits)

// Guards against: a connection that was open before a limit was changed keeps
// the old one for its next request, so that a proper request is refused.
BOOST_AUTO_TEST_CASE(they_apply_to_the_next_request_on_an_open_connection)
{
    adapters::http::server_limits low;
    low.body_bytes = 1000;
    low.header_bytes = 1000;
    adapters::http::server_limits high;
    high.body_bytes = 100'000;
    high.header_bytes = 100'000;
    const std::string padding(60'000, 'x');
    const std::string long_body = "POST /x HTTP/1.1\r\nHost: h\r\n"
                                  "Content-Length: 60000\r\n\r\n" +
                                  padding;
    const std::string long_header =
        "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + padding + "\r\n\r\n";
    for (const auto& text : {long_body, long_header})
    {
        for (const bool is_kept : {true, false})
        {
            stopping_server changing;
            changing.server->set_limits(low);
            auto raised = changing.connect();
            auto lowered = changing.connect();
            changing.io.run_for(20ms);
            if (is_kept)
            {
                stopping_server::write(raised, request_text);
                BOOST_TEST(changing.read(raised).ends_with("whole"));
            }
            changing.server->set_limits(high);
            stopping_server::write(raised, text);
            BOOST_TEST(changing.read(raised).starts_with("HTTP/1.1 200"));
            if (is_kept)
            {
                stopping_server::write(lowered, text);
                BOOST_TEST(changing.read(lowered).starts_with("HTTP/1.1 200"));
            }
            changing.server->set_limits(low);
            stopping_server::write(lowered, text);
            BOOST_TEST(changing.read(lowered).starts_with("HTTP/1.1 400"));
        }
    }
}

// Guards against: a request is refused by a limit that was lowered after it
// had begun.
BOOST_AUTO_TEST_CASE(they_do_not_apply_to_a_request_that_has_begun)
{
    stopping_server changing;
    auto caller = changing.connect();
    stopping_server::write(caller,
                           "POST /x HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 2000\r\n\r\n" +
                               std::string(1000, 'x'));
    changing.io.run_for(20ms);
    adapters::http::server_limits low;
    low.body_bytes = 1000;
    low.header_bytes = 1000;
    changing.server->set_limits(low);
    stopping_server::write(caller, std::string(1000, 'x'));
    BOOST_TEST(changing.read(caller).starts_with("HTTP/1.1 200"));
}

// Guards against: a kept connection is closed by the idle limit that was in
// force when it became idle, although the limit is longer now.
BOOST_AUTO_TEST_CASE(a_longer_idle_limit_keeps_open_connections)
{
    stopping_server changing;
    adapters::http::server_limits limits;
    limits.idle = 100ms;
    changing.server->set_limits(limits);
    auto caller = changing.connect();
    stopping_server::write(caller, request_text);
    changing.io.run_for(20ms);
    limits.idle = 600ms;
    changing.server->set_limits(limits);
    changing.io.run_for(300ms);
    stopping_server::write(caller, request_text);
    BOOST_TEST(count(changing.read(caller), "whole") == 2U);
    changing.io.run_for(700ms);
    BOOST_TEST(changing.server->connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
