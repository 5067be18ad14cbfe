// Tests that values which another system wrote are decoded or refused, whatever
// they contain.
#define BOOST_TEST_MODULE platform_decode
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <platform/decode.hpp>
#include <platform/replica_wire.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;

namespace
{

std::string registration(const std::string& name, const std::string& value)
{
    const std::vector<std::pair<std::string, std::string>> usual{
        {"service", R"("s")"},
        {"address", R"("10.0.0.9:80")"},
        {"zone", R"("z")"},
        {"version", R"("v1")"},
        {"capacity", "2"},
        {"state", R"("ready")"},
        {"warmupRemainingMs", "0"},
        {"sequence", "4"},
        {"born", "7"}};
    std::string text = "{";
    for (const auto& [field, usual_value] : usual)
    {
        text += text.size() > 1 ? "," : "";
        text += '"' + field + "\":" + (field == name ? value : usual_value);
    }
    return text + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

ports::send_outcome answer_with(const std::string& field,
                                const std::string& value)
{
    platform::wire_answer answer;
    answer.result(200);
    answer.set(field, value);
    return platform::read_replica_answer(std::move(answer));
}

} // namespace

BOOST_AUTO_TEST_SUITE(registrations)

BOOST_AUTO_TEST_CASE(a_usual_registration_is_read)
{
    const auto record = platform::decode_replica("r", registration("", ""));
    BOOST_TEST_REQUIRE(record.has_value());
    BOOST_TEST(record->address == "10.0.0.9:80");
    BOOST_TEST(record->sequence == 4U);
}

// Guards against: an odd registration by another writer names a replica, or
// ends the process that reads it.
BOOST_AUTO_TEST_CASE(odd_registrations_are_refused)
{
    const std::vector<std::pair<std::string, std::string>> odd{
        {"address", R"("10.0.0.9:70000")"},
        {"address", R"("10.0.0.9:0")"},
        {"address", R"("10.0.0.9:-1")"},
        {"address", R"("10.0.0.9:99999999999999999999")"},
        {"address", R"("10.0.0.9:80x")"},
        {"address", R"("10.0.0.9")"},
        {"address", R"("999.0.0.9:80")"},
        {"address", R"("10.0.9:80")"},
        {"address", R"("....:80")"},
        {"address", "80"},
        {"service", "null"},
        {"state", R"("resting")"},
        {"capacity", "0"},
        {"capacity", "-2"},
        {"capacity", "2.5"},
        {"capacity", "4294967296"},
        {"capacity", "18446744073709551615"},
        {"capacity", "99999999999999999999"},
        {"capacity", "1e400"},
        {"warmupRemainingMs", "1e300"},
        {"warmupRemainingMs", "9.3e18"},
        {"warmupRemainingMs", "1e400"},
        {"warmupRemainingMs", "-1"},
        {"sequence", "18446744073709551616"},
        {"sequence", "1e20"},
        {"sequence", "-1"},
        {"sequence", R"("4")"},
        {"born", "1e30"},
        {"born", "true"},
        {"zone", nested(100'000)},
        {"zone", R"("\ud800")"},
        {"zone", "\"\xff\""}};
    for (const auto& [name, value] : odd)
    {
        BOOST_TEST(!platform::decode_replica("r", registration(name, value)),
                   name << " " << value.substr(0, 40));
    }
    for (const std::string text :
         {"", "null", "[]", "4", "{", "\"", "\xff\xfe"})
    {
        BOOST_TEST(!platform::decode_replica("r", text));
    }
    BOOST_TEST(!platform::decode_replica("r", nested(1'000'000)));
    BOOST_TEST(!platform::decode_replica("", registration("", "")));
}

BOOST_AUTO_TEST_CASE(random_bytes_do_no_harm)
{
    rc::check(
        [](const std::string& text)
        {
            (void)platform::decode_replica("r", text);
        });
    rc::check(
        [](std::size_t at, char byte)
        {
            auto text = registration("", "");
            text[at % text.size()] = byte;
            (void)platform::decode_replica("r", text);
        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answers)

// Guards against: numbers in a replica's answer that no time or rate can hold.
BOOST_AUTO_TEST_CASE(odd_numbers_are_ignored_or_bounded)
{
    for (const std::string number : {"nan",
                                     "inf",
                                     "-inf",
                                     "1e300",
                                     "1e-300",
                                     "9.3e18",
                                     "1e400",
                                     "-1",
                                     "x",
                                     ""})
    {
        BOOST_TEST_CONTEXT(number)
        {
            const auto warm_up =
                answer_with("X-Warmup-Ms", number).warm_up_left;
            BOOST_TEST((!warm_up || (*warm_up > 0s && *warm_up <= 24h)));
            const auto limit = answer_with("Server-Limit", number).rate_limit;
            BOOST_TEST((!limit || (*limit >= 0 && *limit < 1e9)));
            for (const auto& load :
                 {number + ",0,2", "0," + number + ",2", "0,0," + number})
            {
                const auto utilization =
                    answer_with("X-Replica-Load", load).utilization;
                BOOST_TEST(
                    (!utilization || (*utilization >= 0 && *utilization < 1e9)),
                    load);
            }
        }
    }
    BOOST_TEST((answer_with("X-Warmup-Ms", "1500").warm_up_left == 1500ms));
    BOOST_TEST(*answer_with("X-Replica-Load", "3,1,8").utilization == 0.5);
    BOOST_TEST(*answer_with("Server-Limit", "2.5").rate_limit == 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against: a limit of clients in the settings that is not in force.
BOOST_AUTO_TEST_CASE(limits_of_clients_are_read_or_have_defaults)
{
    const auto path = std::filesystem::temp_directory_path() /
                      ("decode-" + std::to_string(getpid()) + ".yaml");
    const auto read = [&path](const std::string& bounds)
    {
        std::ofstream(path)
            << "nodeName: n\nzone: z\nzones: {z: r}\nipAddress: 127.0.0.1\n"
               "listenAddresses: {frontend: '127.0.0.1:1', "
               "ready: '127.0.0.1:2', directory: '127.0.0.1:3'}\n"
               "internalPortRange: [7380, 7395]\n"
               "limits: {memoryMb: 160, fdLimit: 8000}\n"
               "platform: {address: '127.0.0.1:4'}\nbounds: {"
            << bounds << "}\n";
        auto settings = platform::decode_settings(path.string());
        std::filesystem::remove(path);
        return settings;
    };
    const auto usual = read("");
    BOOST_TEST_REQUIRE(usual.has_value(), (usual ? "" : usual.error().detail));
    BOOST_TEST(usual->descriptor_limit == 8000U);
    BOOST_TEST(usual->clients.memory_share == 0.3);
    BOOST_TEST(usual->clients.pipelined == 64U);
    const auto changed =
        read("clientMemoryShare: 0.2, clientDescriptorShare: 0.5, "
             "clientGraceMs: 300, clientProgressBytes: 9, "
             "clientMaxFields: 50, clientMaxPipelined: 7");
    BOOST_TEST_REQUIRE(changed.has_value());
    BOOST_TEST(changed->clients.memory_share == 0.2);
    BOOST_TEST(changed->clients.descriptor_share == 0.5);
    BOOST_TEST((changed->clients.grace == 300ms));
    BOOST_TEST(changed->clients.progress_bytes == 9U);
    BOOST_TEST(changed->clients.fields == 50U);
    BOOST_TEST(changed->clients.pipelined == 7U);
    BOOST_TEST(!read("clientMemoryShare: 1.5").has_value());
}
