// Tests of quotas on the path of a request, and of their datagrams.
#define BOOST_TEST_MODULE quota_requests
#include <boost/test/unit_test.hpp>

#include <adapters/relay/beacon_socket.hpp>
#include <adapters/relay/quota_wire.hpp>
#include <platform/caller_wire.hpp>
#include <support/relay_patterns.hpp>

using namespace hawthornrelay::tests::support;
using namespace std::chrono_literals;
using hawthornrelay::core::base::result_code;
using hawthornrelay::core::relay::quota_message;
namespace wire = hawthornrelay::adapters::relay;

namespace
{

/// An engine whose requests all count for one organisation, at a single node.
struct limited_engine
{
    explicit limited_engine(const scripted_replicas::script& script)
        : simulation(script),
          ledger(
              {.node = "n0", .incarnation = 1, .is_first_start = true},
              [](const std::string&, const quota_message&) {},
              simulation.loop.now())
    {
        this->ledger.set_division(1, true, false, this->simulation.loop.now());
        this->simulation.engine.quotas = &this->ledger;
        auto config =
            std::make_shared<relay::configuration>(*this->simulation.config);
        ++config->version;
        config->organisations = *relay::organisation_directory::create(
            {{{.name = "acme", .rate_per_second = 2, .burst = 5},
              {relay::digest_of_key("key")}}});
        this->simulation.engine.set_configuration(config);
        this->simulation.loop.run_for(3s);
    }

    void send(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            this->simulation.start("q" + std::to_string(this->next++),
                                   "/s/x",
                                   400ms,
                                   {.credentials = "Bearer key"});
        }
        this->simulation.loop.run_for(1s);
    }

    [[nodiscard]] std::size_t refused() const
    {
        std::size_t count = 0;
        for (const auto& [id, answer] : this->simulation.answers)
        {
            count += answer.code == result_code::rate_exceeded ? 1 : 0;
        }
        return count;
    }

    relay_simulation simulation;
    relay::quota_ledger ledger;
    int next = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(requests)

// Guards against requests above the quota that are sent, or are refused without
// the guarantee that they have not run.
BOOST_AUTO_TEST_CASE(requests_above_the_quota_get_429)
{
    limited_engine limited(always(ok));
    limited.send(60);
    // (2 x 5 + 5) x 1.1 + 20
    BOOST_TEST(60 - limited.refused() <= 36U);
    BOOST_TEST(60 - limited.refused() >= 7U);
    const auto& last = limited.simulation.answers.at("q59");
    BOOST_TEST(last.is_not_run);
    const auto reply = hawthornrelay::platform::write_caller_answer(last);
    BOOST_TEST(reply.status == 429U);
    BOOST_TEST(std::stod(reply.headers.at("Retry-After")) > 0.0);
}

// Guards against credit that is lost with requests that reach no replica.
BOOST_AUTO_TEST_CASE(refused_requests_return_their_credit)
{
    limited_engine limited(always(ok));
    for (const auto& [id, target] : limited.simulation.engine.registry.all())
    {
        target->is_leaving = true;
    }
    limited.send(60);
    BOOST_TEST(limited.refused() == 0U);
    BOOST_TEST(limited.simulation.answers.size() == 60U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(datagrams)

// Guards against fields that are lost or mixed up between nodes, and datagrams
// that are fragmented.
BOOST_AUTO_TEST_CASE(a_message_is_read_as_it_was_written)
{
    quota_message sent;
    sent.node = "node-17";
    sent.incarnation = 3;
    sent.sent_at = 4;
    sent.heard_incarnation = 5;
    sent.heard_at = 6;
    sent.divisor = 16;
    sent.lent_slots = 0x8001;
    sent.idle = 7s;
    sent.last_use_age = 8ms;
    sent.asks.push_back({"acme", {9, 10}, 11, 12, 13});
    sent.grants.push_back({"other", 14, 15ms, true, 16});
    const auto bytes = wire::write_quota_datagram(sent);
    BOOST_TEST(bytes.size() <= wire::beacon_socket::max_datagram);
    const auto read = wire::read_quota_datagram(bytes.data(), bytes.size());
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((wire::write_quota_datagram(*read) == bytes));
    BOOST_TEST(read->lent_slots == 0x8001U);
    BOOST_TEST(read->asks.front().last_granted == 13U);
    BOOST_TEST((read->grants.front().wait == 15ms));
}

// Guards against a cut or changed datagram that is read beyond its end.
BOOST_AUTO_TEST_CASE(malformed_datagrams_are_ignored)
{
    quota_message sent;
    sent.node = "n";
    const auto bytes = wire::write_quota_datagram(sent);
    for (std::size_t size = 0; size + 4 < bytes.size(); ++size)
    {
        const std::vector<std::uint8_t> cut(
            bytes.begin(), bytes.begin() + static_cast<long>(size));
        const auto read = wire::read_quota_datagram(cut.data(), cut.size());
        BOOST_TEST((!read || read->node == "n"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
