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
#include <platform/key_redaction.hpp>
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

std::string configuration(const std::string& tenants,
                          const std::string& is_public = "true")
{
    return R"({"version":1,"services":[],"limits":{"maxHeaderBytes":1,
        "maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1},"routes":[
        {"name":"n","host":"h","prefix":"/","type":"idempotent","timeoutMs":1,
        "targetLatencyMs":1,"service":"s","public":)" +
           is_public + R"(}],"tenants":)" + tenants + "}";
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

// Guards against: the log of an odd entry does not tell what is wrong with it.
BOOST_AUTO_TEST_CASE(an_error_names_the_field)
{
    const auto error_of = [](const std::string& text)
    {
        return platform::decode_replica("r", text).error().detail;
    };
    BOOST_TEST(error_of("{}") == "service is missing");
    BOOST_TEST(error_of(registration("zone", "7")) == "zone is not a text");
    BOOST_TEST(error_of(registration("capacity", R"("2")")) ==
               "capacity is not a whole number");
    BOOST_TEST(error_of(registration("sequence", "-1")) ==
               "sequence is not a whole number");
    BOOST_TEST(error_of(registration("warmupRemainingMs", "true")) ==
               "warmupRemainingMs is not a number");
}

// Guards against: the name of an entry adds header fields or a request to what
// is sent to its replica, or reaches the replica changed.
BOOST_AUTO_TEST_CASE(an_id_that_no_header_field_can_hold_is_refused)
{
    const auto usual = registration("", "");
    for (const std::string id : {"i\r\nX-Deadline-Ms: 9",
                                 "i\r\n\r\nGET / HTTP/1.1",
                                 "i\n",
                                 "i\t",
                                 "i ",
                                 " i",
                                 "\x1bi",
                                 "i\x7f"})
    {
        BOOST_TEST(!platform::decode_replica(id, usual), id);
    }
    BOOST_TEST(!platform::decode_replica(std::string(1, '\0'), usual));
    for (const auto* id :
         {"a b", "a&b", "a/b", "%41", "#+", "\xc3\xa9", "\xff"})
    {
        BOOST_TEST(platform::decode_replica(id, usual).has_value(), id);
    }
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

BOOST_AUTO_TEST_SUITE(rollouts)

// Guards against: an odd order or status takes effect, or ends the process.
BOOST_AUTO_TEST_CASE(odd_orders_and_statuses_are_refused)
{
    BOOST_TEST(platform::decode_rollout_order(
                   "s", R"({"service":"s","targetVersion":"v","durationS":9})")
                   .has_value());
    BOOST_TEST(platform::decode_rollout_status(
                   R"({"state":"running","targetVersion":"v"})")
                   .has_value());
    for (const std::string text :
         {"",
          "?",
          "[]",
          "\xff",
          "{}",
          R"({"service":"t","targetVersion":"v","durationS":9})",
          R"({"service":"s","targetVersion":"","durationS":9})",
          R"({"service":"s","targetVersion":"v","durationS":0})",
          R"({"service":"s","targetVersion":"v","durationS":-1})",
          R"({"service":"s","targetVersion":7,"durationS":9})",
          R"({"state":"odd","targetVersion":"v"})",
          R"({"state":"running"})",
          R"({"state":"running","targetVersion":"v","order":-1})",
          R"({"state":"running","targetVersion":"v","baseVersions":[7]})"})
    {
        BOOST_TEST(!platform::decode_rollout_order("s", text), text);
        BOOST_TEST(!platform::decode_rollout_status(text), text);
    }
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
                const auto read = answer_with("X-Replica-Load", load).load;
                BOOST_TEST((!read || (read->utilization() >= 0 &&
                                      read->utilization() < 1e9)),
                           load);
            }
            const auto work = answer_with("X-Replica-Load", "3,1,8," + number);
            BOOST_TEST(!work.load.value().work_factor);
            BOOST_TEST(work.load.value().utilization() == 0.5);
        }
    }
    BOOST_TEST((answer_with("X-Warmup-Ms", "1500").warm_up_left == 1500ms));
    const auto load = answer_with("X-Replica-Load", "3,1,8").load.value();
    BOOST_TEST(load.utilization() == 0.5);
    BOOST_TEST(!load.work_factor);
    const auto slow = answer_with("X-Replica-Load", "3,1,8,250").load.value();
    BOOST_TEST(slow.running == 3);
    BOOST_TEST(slow.waiting == 1);
    BOOST_TEST(slow.slots == 8);
    BOOST_TEST(slow.work_factor.value() == 2.5);
    BOOST_TEST(*answer_with("Server-Limit", "2.5").rate_limit == 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(organisations)

BOOST_AUTO_TEST_CASE(organisations_and_public_routes_are_read)
{
    const auto config = platform::decode_configuration(configuration(
        R"([{"name":"a","apiKeys":["k1","k2","k2"],"priority":3,"ratePerS":4.5,
             "burst":9},{"name":"b","apiKeys":[]}])"));
    BOOST_TEST_REQUIRE(config.has_value());
    BOOST_TEST(config->routes.front().is_public);
    const auto& directory = *config->organisations;
    BOOST_TEST(directory.size() == 2U);
    const auto* found = directory.find("Bearer k2");
    BOOST_TEST_REQUIRE(found != nullptr);
    BOOST_TEST(found->name == "a");
    BOOST_TEST(*found->priority == 3U);
    BOOST_TEST(found->rate_per_second == 4.5);
    BOOST_TEST(found->burst == 9);
    // An empty list does not open the routes.
    BOOST_TEST(platform::decode_configuration(configuration("[]"))
                   ->organisations.has_value());
}

// Guards against: credentials in another form than one Bearer key pass.
BOOST_AUTO_TEST_CASE(only_a_bearer_key_is_found)
{
    const auto config = platform::decode_configuration(
        configuration(R"([{"name":"a","apiKeys":["k","k,"]}])"));
    const auto& directory = *config->organisations;
    for (const std::string text : {"Bearer k", "bEARER k", "Bearer  k"})
    {
        BOOST_TEST(directory.find(text) != nullptr, text);
    }
    for (const std::string text : {"",
                                   "k",
                                   "Bearer",
                                   "Bearer ",
                                   "Bearerk",
                                   "Bearer\tk",
                                   "Basic k",
                                   "Bearer K",
                                   "Bearer k k",
                                   "Bearer k, Bearer k",
                                   "Bearer k, ",
                                   ", Bearer k"})
    {
        BOOST_TEST(directory.find(text) == nullptr, text);
    }
}

// Guards against: a malformed list opens routes, or a key names two callers.
BOOST_AUTO_TEST_CASE(malformed_organisations_are_refused_without_their_keys)
{
    for (
        const std::string tenants :
        {R"(null)",
         R"({})",
         R"(["secret"])",
         R"([{"name":"a"}])",
         R"([{"apiKeys":["secret"]}])",
         R"([{"name":4,"apiKeys":["secret"]}])",
         R"([{"name":"","apiKeys":["secret"]}])",
         R"([{"name":"a ","apiKeys":["secret"]}])",
         R"([{"name":"a\r\nX-Other: 1","apiKeys":["secret"]}])",
         R"([{"name":"a","apiKeys":"secret"}])",
         R"([{"name":"a","apiKeys":["secret",4]}])",
         R"([{"name":"a","apiKeys":[""]}])",
         R"([{"name":"a","apiKeys":["secret secret"]}])",
         R"([{"name":"a","apiKeys":["secret"],"priority":-1}])",
         R"([{"name":"a","apiKeys":["secret"],"priority":"high"}])",
         R"([{"name":"a","apiKeys":["secret"],"ratePerS":-1}])",
         R"([{"name":"a","apiKeys":["secret"],"burst":null}])",
         R"([{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["secret"]}])",
         R"([{"name":"a","apiKeys":["secret"]},{"name":"a","apiKeys":["k"]}])"})
    {
        const auto config =
            platform::decode_configuration(configuration(tenants));
        BOOST_TEST_REQUIRE(!config.has_value(), tenants);
        BOOST_TEST(config.error().detail.find("secret") == std::string::npos);
        // Nodes that follow others decode the text without keys.
        const auto redacted = platform::redact_keys(configuration(tenants));
        BOOST_TEST(redacted.find("\"secret") == std::string::npos, redacted);
        BOOST_TEST(!platform::decode_configuration(redacted), tenants);
    }
    BOOST_TEST(!platform::decode_configuration(configuration("[]", "1")));
}

// Guards against: a node passes keys on to other nodes, or loses some.
BOOST_AUTO_TEST_CASE(a_redacted_configuration_serves_the_same_keys)
{
    const auto text = configuration(
        R"([{"name":"a","apiKeys":["secret-1","secret-2"],"burst":2.5}])");
    const auto redacted = platform::redact_keys(text);
    BOOST_TEST(redacted.find("secret") == std::string::npos);
    const auto config = platform::decode_configuration(redacted);
    BOOST_TEST_REQUIRE(config.has_value());
    BOOST_TEST(config->organisations->key_count() == 2U);
    const auto* found = config->organisations->find("Bearer secret-2");
    BOOST_TEST_REQUIRE(found != nullptr);
    BOOST_TEST(found->burst == 2.5);
    BOOST_TEST(platform::redact_keys("secret").empty());
    const std::string open = R"({ "version": 1 })";
    BOOST_TEST(platform::redact_keys(open) == open);
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
