// Tests of the client of the platform of the own interface, against a raw
// server.
#define BOOST_TEST_MODULE http_platform
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <set>
#include <string>

#include <adapters/platform/http_platform.hpp>
#include <support/scripted_server.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result;
using tests::support::answer_text;
using tests::support::scripted_server;

namespace
{

/// Makes a call of a platform that answers with a body.
template <typename Answer, typename Call>
result<Answer> call_platform(const std::string& body, Call call)
{
    boost::asio::io_context io;
    scripted_server server(
        io,
        [&](std::size_t)
        {
            return scripted_server::reply{{answer_text("", body)}, ""};
        });
    adapters::platform::http_platform platform(
        io, "127.0.0.1:" + std::to_string(server.endpoint().port()));
    result<Answer> outcome =
        core::base::fail(core::base::result_code::deadline_expired, "");
    bool is_done = false;
    call(platform,
         [&](const result<Answer>& answer)
         {
             outcome = answer;
             is_done = true;
         });
    const auto until = std::chrono::steady_clock::now() + 2s;
    while (!is_done && std::chrono::steady_clock::now() < until)
    {
        io.run_one_for(10ms);
    }
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entries_of_other_writers)

// Guards against: one entry that cannot be read hides all changes.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_hides_no_other)
{
    for (const std::string odd : {R"({"key":"k","value":7,"revision":2})",
                                  R"({"key":"k","value":"","revision":"2"})",
                                  R"({"key":"k","value":"","revision":-2})",
                                  R"({"key":"k","revision":2})",
                                  R"({"key":"k","value":""})",
                                  R"({"key":7,"value":"","revision":2})",
                                  R"({"value":"","revision":2})",
                                  "{}",
                                  "[]",
                                  "null"})
    {
        const auto delta = call_platform<core::config::delta>(
            R"({"revision":3,"entries":[{"key":"a","value":"1","revision":1},)" +
                odd +
                R"(,{"key":"b&%)"
                "\xff"
                R"(","value":"3","revision":3}]})",
            [](auto& platform, auto done)
            {
                platform.watch(0, 50ms, done);
            });
        BOOST_TEST_REQUIRE(delta.has_value(), odd);
        BOOST_TEST(delta->to == 3U);
        BOOST_TEST_REQUIRE(delta->items.size() == 2U);
        BOOST_TEST(delta->items.back().key == "b&%\xff");
        BOOST_TEST_REQUIRE(delta->unreadable.size() == 1U);
        const bool has_key = odd.find(R"("key":"k")") != std::string::npos;
        BOOST_TEST(delta->unreadable.front() == (has_key ? "k" : ""));
    }
}

BOOST_AUTO_TEST_CASE(an_odd_name_hides_no_other_lost_vm)
{
    const auto gone =
        call_platform<std::set<std::string>>(R"({"gone":["a",7,null,{},"b&"]})",
                                             [](auto& platform, auto done)
                                             {
                                                 platform.gone_vms(done);
                                             });
    BOOST_TEST_REQUIRE(gone.has_value());
    BOOST_TEST((*gone == std::set<std::string>{"a", "b&"}));
}

BOOST_AUTO_TEST_SUITE_END()
