// Tests of HTTP client connections that are used again, against a raw server.
#define BOOST_TEST_MODULE http_client
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include <adapters/asio/asio_runtime.hpp>
#include <adapters/http/client.hpp>
#include <adapters/target/http_targets.hpp>
#include <support/resident_memory.hpp>
#include <support/scripted_server.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using tests::support::answer_text;
using tests::support::resident_bytes;
using tests::support::scripted_server;

namespace
{

/// A connection to a scripted server.
struct client
{
    explicit client(
        scripted_server::script script,
        std::shared_ptr<core::relay::answer_memory> memory = nullptr)
        : server(io, std::move(script)),
          connection(adapters::http::connection::create(
              io,
              "127.0.0.1:" + std::to_string(server.endpoint().port()),
              std::move(memory)))
    {
    }

    core::base::result<adapters::http::response> send(const std::string& id)
    {
        adapters::http::request message;
        message.method = "POST";
        message.target = "/work";
        message.requires_id = true;
        message.headers["x-request-id"] = id;
        core::base::result<adapters::http::response> outcome =
            core::base::fail(result_code::deadline_expired, "no outcome");
        bool is_done = false;
        this->connection->send(
            std::move(message),
            500ms,
            [&](core::base::result<adapters::http::response> answer)
            {
                outcome = std::move(answer);
                is_done = true;
            });
        const auto until = std::chrono::steady_clock::now() + 600ms;
        while (!is_done && std::chrono::steady_clock::now() < until)
        {
            this->io.run_one_for(10ms);
        }
        return outcome;
    }

    boost::asio::io_context io;
    scripted_server server;
    std::shared_ptr<adapters::http::connection> connection;
};

scripted_server::reply only(const std::string& text)
{
    return {{text}, ""};
}

} // namespace

BOOST_AUTO_TEST_SUITE(duplicates)

BOOST_AUTO_TEST_CASE(a_copy_that_waits_on_the_idle_connection_is_not_delivered)
{
    // Without ids, so that only the moment of arrival identifies it.
    client caller(
        [](std::size_t request)
        {
            return request == 1
                       ? scripted_server::reply{{answer_text("", "old"),
                                                 answer_text("", "old")},
                                                ""}
                       : only(answer_text("", "new"));
        });
    BOOST_TEST(caller.send("id-1")->body == "old");
    caller.io.run_for(50ms);
    // Answered on a new connection, whose first request this is.
    const auto second = caller.send("id-2");
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(caller.server.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(a_copy_with_an_id_is_skipped)
{
    client caller(
        [](std::size_t request)
        {
            return request == 1 ? only(answer_text("id-1", "old"))
                                : only(answer_text("id-1", "old") +
                                       answer_text("id-2", "new"));
        });
    BOOST_TEST(caller.send("id-1")->body == "old");
    BOOST_TEST(caller.send("id-2")->body == "new");
}

// A gateway may add ids of its own to responses.
BOOST_AUTO_TEST_CASE(an_id_that_was_not_sent_is_ignored)
{
    client caller(
        [](std::size_t)
        {
            return only(answer_text("gateway-7", "new"));
        });
    BOOST_TEST(caller.send("")->body == "new");
}

BOOST_AUTO_TEST_CASE(a_copy_without_an_id_fails_the_request)
{
    client caller(
        [](std::size_t request)
        {
            return request == 1 ? only(answer_text("id-1", "old"))
                                : only(answer_text("", "old") +
                                       answer_text("id-2", "new"));
        });
    BOOST_TEST(caller.send("id-1")->body == "old");
    const auto second = caller.send("id-2");
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().code == result_code::target_lost));
    BOOST_TEST(!caller.connection->is_open());
}

BOOST_AUTO_TEST_CASE(a_copy_in_one_packet_with_the_answer_closes_the_connection)
{
    client caller(
        [](std::size_t)
        {
            return only(answer_text("id-1", "old") +
                        answer_text("id-1", "old"));
        });
    BOOST_TEST(caller.send("id-1")->body == "old");
    BOOST_TEST(!caller.connection->is_open());
}

BOOST_AUTO_TEST_CASE(an_interim_answer_precedes_the_answer)
{
    client caller(
        [](std::size_t)
        {
            return only("HTTP/1.1 102 Processing\r\n\r\n" +
                        answer_text("id-1", "new"));
        });
    BOOST_TEST(caller.send("id-1")->body == "new");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bytes_that_are_no_response)

// Guards against: a response without a status is taken for one of its server.
BOOST_AUTO_TEST_CASE(a_status_that_is_none_makes_no_response)
{
    for (const std::string status :
         {"000", "001", "099", "600", "999", "20", "2000", "2x0", ""})
    {
        client caller(
            [&](std::size_t)
            {
                return only("HTTP/1.1 " + status +
                            " No\r\nContent-Length: 3\r\n\r\nold");
            });
        const auto outcome = caller.send("id-1");
        BOOST_REQUIRE(!outcome.has_value());
        BOOST_TEST((outcome.error().code == result_code::target_lost), status);
        BOOST_TEST(!caller.connection->is_open());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bytes_without_end)

BOOST_AUTO_TEST_CASE(each_kind_ends_as_lost)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(65536, 'x');
    for (const auto& kind : std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 ", filler},
             {head + "X-Long: ", filler},
             {head, "X-More: 1\r\n"},
             {head + "\r\n", filler},
             {head + "Content-Length: 99999999999999\r\n\r\n", filler},
             {chunked, "10000\r\n" + filler + "\r\n"},
             {chunked + "2;", filler},
             {chunked + "0\r\nX-Trailer: ", filler},
             {"", filler},
             {"", "HTTP/1.1 100 Continue\r\n\r\n"},
             {"", answer_text("id-0", "old")}})
    {
        client caller(
            [&](std::size_t)
            {
                return scripted_server::reply{{kind.first}, kind.second};
            });
        const auto outcome = caller.send("id-1");
        BOOST_REQUIRE(!outcome.has_value());
        BOOST_TEST((outcome.error().code == result_code::target_lost),
                   outcome.error().detail);
    }
}

// Guards against: targets that stream to many requests at the same time use up
// the memory of the process, although each response is limited.
BOOST_AUTO_TEST_CASE(many_streams_of_targets_leave_memory)
{
    constexpr std::size_t requests = 60;
    boost::asio::io_context io;
    scripted_server endless(io,
                            [](std::size_t)
                            {
                                return scripted_server::reply{
                                    {"HTTP/1.1 200 OK\r\n\r\n"},
                                    std::string(65536, 'x')};
                            });
    adapters::asio::asio_runtime runtime(io);
    adapters::target::http_targets targets(io, runtime);
    std::size_t lost = 0;
    for (std::size_t id = 1; id <= requests; ++id)
    {
        ports::target_request request;
        request.id = id;
        request.address =
            "127.0.0.1:" + std::to_string(endless.endpoint().port());
        request.deadline = runtime.now() + 3s;
        targets.send(request,
                     [&](const ports::target_reply& reply)
                     {
                         lost += reply.code == result_code::target_lost;
                     });
    }
    const auto before = resident_bytes();
    auto peak = before;
    for (int i = 0; i < 400 && lost < requests; ++i)
    {
        io.run_for(10ms);
        peak = std::max(peak, resident_bytes());
    }
    BOOST_TEST_MESSAGE("peak growth " << (peak - before) / 1024 << " KB");
    BOOST_TEST(lost == requests);
    BOOST_TEST((peak - before) < (96U << 20U));
}

// Guards against: idle connections keep the memory of the replies that they
// have received, so that later replies get none.
BOOST_AUTO_TEST_CASE(memory_is_released_with_the_response)
{
    const auto memory = std::make_shared<core::relay::answer_memory>(1U << 20U);
    const std::string body(700'000, 'r');
    client caller(
        [&](std::size_t request)
        {
            return only(answer_text("id-" + std::to_string(request), body));
        },
        memory);
    for (const auto* id : {"id-1", "id-2"})
    {
        const auto answer = caller.send(id);
        BOOST_TEST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->body.size() == body.size());
        BOOST_TEST(memory->reserved() == 0U);
    }
    BOOST_TEST(caller.server.accepted == 1U);
}

// Guards against: a server stops within the head of its answer and closes, and
// what has arrived is delivered as a success.
BOOST_AUTO_TEST_CASE(no_cut_within_the_head_leaves_an_answer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
    for (std::size_t length = 1; length < head.size(); ++length)
    {
        client caller(
            [&](std::size_t)
            {
                return scripted_server::reply{
                    {head.substr(0, length)},
                    "",
                    scripted_server::reply::ending::closed};
            });
        BOOST_TEST(
            (caller.send("id-1").error().code == result_code::target_lost),
            head.substr(0, length));
    }
}

BOOST_AUTO_TEST_SUITE_END()
