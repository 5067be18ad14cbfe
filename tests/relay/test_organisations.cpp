// Tests of API keys: who is served, and what replicas and logs get to know.
#define BOOST_TEST_MODULE organisations
#include <boost/test/unit_test.hpp>

#include <platform/caller_wire.hpp>
#include <platform/replica_wire.hpp>
#include <support/relay_simulation.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using tests::support::relay_simulation;
using tests::support::scripted_reply;

namespace
{

using field_list = adapters::http::field_list;

scripted_reply answer_at_once(const core::relay::replica&, const std::string&)
{
    return {};
}

/// Sends requests as the caller listener passes them on.
struct caller_simulation : relay_simulation
{
    caller_simulation() : relay_simulation(answer_at_once, 1)
    {
    }

    /// Brings a version into force in which organisations have these keys; the
    /// route `/l/` is public.
    void configure(const std::vector<std::pair<std::string, std::string>>& keys)
    {
        std::vector<core::relay::organisation_keys> entries;
        entries.reserve(keys.size());
        for (const auto& [name, key] : keys)
        {
            entries.push_back(
                {{.name = name}, {core::relay::digest_of_key(key)}});
        }
        auto next = std::make_shared<core::relay::configuration>(*this->config);
        ++next->version;
        next->routes.back().is_public = true;
        next->organisations =
            *core::relay::organisation_directory::create(std::move(entries));
        this->config = next;
        this->engine.set_configuration(next);
    }

    /// @return the head that the replica gets, or the status of a refusal
    std::string request(const std::string& target, const field_list& fields)
    {
        adapters::http::request message;
        message.target = target;
        message.fields = fields;
        message.fields.emplace_back("Host", "h.example");
        message.fields.emplace_back("X-Request-Id", "q");
        for (const auto& [name, value] : message.fields)
        {
            std::string lower = name;
            std::transform(
                lower.begin(), lower.end(), lower.begin(), ::tolower);
            message.headers[lower] = value;
        }
        auto read = *platform::read_caller_request(std::move(message));
        const auto forwarded = read.message;
        const auto sent = this->replicas.arrivals.size();
        core::relay::caller_answer answer;
        this->engine.start(std::move(read),
                           [&answer](core::relay::caller_answer given)
                           {
                               answer = std::move(given);
                           });
        this->loop.run_for(1s);
        const bool is_sent = this->replicas.arrivals.size() > sent;
        BOOST_TEST(is_sent == (answer.code == result_code::ok));
        return is_sent ? platform::write_request_head(*forwarded, "r", 1ms)
                       : std::to_string(
                             platform::write_caller_answer(answer).status);
    }

    [[nodiscard]] bool has_logged(const std::string& text) const
    {
        return std::any_of(this->log.lines.begin(),
                           this->log.lines.end(),
                           [&](const std::string& line)
                           {
                               return line.find(text) != std::string::npos;
                           });
    }
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

field_list key(const std::string& value)
{
    return {{"Authorization", "Bearer " + value}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(keys)

BOOST_AUTO_TEST_CASE(
    unknown_and_missing_keys_are_refused_before_anything_is_sent)
{
    caller_simulation site;
    site.configure({{"acme", "k-acme"}});
    BOOST_TEST(site.request("/b/x", {}) == "401");
    BOOST_TEST(site.request("/b/x", key("k-other")) == "401");
    BOOST_TEST(site.request("/s/x", key("k-other")) == "401");
    BOOST_TEST(site.request("/none/x", key("k-other")) == "404");
    BOOST_TEST(site.request("/none/x", key("k-acme")) == "404");
    BOOST_TEST(
        contains(site.request("/b/x", key("k-acme")), "x-tenant-id: acme\r\n"));
    BOOST_TEST(!site.has_logged("k-acme"));
    BOOST_TEST(!site.has_logged("k-other"));
}

BOOST_AUTO_TEST_CASE(removed_and_moved_keys_change_the_organisation)
{
    caller_simulation site;
    site.configure({{"acme", "k-1"}, {"zeta", "k-2"}});
    site.configure({{"acme", "k-2"}, {"zeta", "k-3"}});
    BOOST_TEST(site.request("/b/x", key("k-1")) == "401");
    BOOST_TEST(
        contains(site.request("/b/x", key("k-2")), "x-tenant-id: acme\r\n"));
    BOOST_TEST(
        contains(site.request("/b/x", key("k-3")), "x-tenant-id: zeta\r\n"));
    site.configure({});
    BOOST_TEST(site.request("/b/x", key("k-3")) == "401");
}

// Guards against: a replica gets a key, or the name of another organisation.
BOOST_AUTO_TEST_CASE(clients_cannot_pass_their_identity_to_replicas)
{
    caller_simulation site;
    site.configure({{"acme", "k-acme"}});
    const std::vector<field_list> attempts{
        {{"aUTHORIZATION", "bearer k-acme"}, {"x-Tenant-ID", "zeta"}},
        {{"Authorization", "Bearer k-acme"},
         {"X-Tenant-Id", "zeta"},
         {"X-Tenant-Id", "zeta"}},
        {{"Authorization", "Bearer k-acme"},
         {"Connection", "authorization, x-tenant-id"},
         {"X-Tenant-Id", "zeta"}}};
    for (const auto& fields : attempts)
    {
        for (const auto* target : {"/b/x", "/s/x", "/l/x"})
        {
            const auto head = site.request(target, fields);
            BOOST_TEST(!contains(head, "k-acme"));
            BOOST_TEST(!contains(head, "zeta"));
            BOOST_TEST(contains(head, "x-tenant-id: acme\r\n") ==
                       (target != std::string("/l/x")));
        }
    }
    const field_list repeated{{"Authorization", "Bearer k-acme"},
                              {"authorization", "Bearer k-acme"}};
    BOOST_TEST(site.request("/b/x", repeated) == "401");
    BOOST_TEST(contains(site.request("/l/x", {}), "GET /l/x"));
    BOOST_TEST(!site.has_logged("k-acme"));
}

BOOST_AUTO_TEST_CASE(without_organisations_both_fields_pass)
{
    caller_simulation site;
    const auto head = site.request(
        "/b/x", {{"Authorization", "Basic abc"}, {"X-Tenant-Id", "zeta"}});
    BOOST_TEST(contains(head, "Authorization: Basic abc\r\n"));
    BOOST_TEST(contains(head, "X-Tenant-Id: zeta\r\n"));
    const auto hop = site.request(
        "/b/x",
        {{"Authorization", "Basic abc"}, {"Connection", "authorization"}});
    BOOST_TEST(!contains(hop, "abc"));
}

BOOST_AUTO_TEST_CASE(a_node_without_configuration_answers_503)
{
    caller_simulation site;
    core::relay::request_engine engine(
        relay_simulation::settings(0), site.runtime, site.replicas, site.log);
    core::relay::caller_request request;
    request.message = std::make_shared<ports::forwarded_request>();
    engine.start(request,
                 [](const core::relay::caller_answer& answer)
                 {
                     BOOST_TEST(platform::write_caller_answer(answer).status ==
                                503U);
                 });
}

BOOST_AUTO_TEST_SUITE_END()
