// Tests of what nodes read from each other, over loopback sockets.
#define BOOST_TEST_MODULE peer_feed
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <random>
#include <string>

#include <boost/asio.hpp>

#include <adapters/asio/asio_runtime.hpp>
#include <adapters/http/server.hpp>
#include <adapters/relay/peer_feed.hpp>
#include <adapters/relay/source_switch.hpp>
#include <core/relay/node_directory.hpp>
#include <support/relay_simulation.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::relay::node_record;
using core::relay::store_follower;
using core::relay::store_mirror;

namespace
{

std::string random_bytes(std::size_t size)
{
    std::mt19937 random(size);
    std::string text(size, '\0');
    for (auto& byte : text)
    {
        byte = static_cast<char>(random());
    }
    return text;
}

/// A copy of the store and its follower.
struct node_copy
{
    explicit node_copy(ports::runtime& runtime)
        : follower(runtime,
                   this->log,
                   this->mirror,
                   this->availability,
                   [](bool, const std::string&) {})
    {
    }

    tests::support::recording_log log;
    store_mirror mirror{this->log, [](const ports::store_item&) {}};
    core::relay::store_availability availability{std::chrono::seconds(1)};
    store_follower follower;
};

node_record record(const std::string& name, const std::string& peers)
{
    node_record result;
    result.name = name;
    result.incarnation = 1;
    result.peers = peers;
    result.is_entry = true;
    result.is_ready = true;
    return result;
}

/// A store that answers listings and lets watches wait.
class idle_store final : public ports::metadata_reader
{
  public:
    void list(const std::string&,
              ports::store_handler<ports::store_page> done) override
    {
        ++this->listings;
        done(ports::store_page{{}, false, 1});
    }

    void watch(const ports::store_position&,
               std::chrono::milliseconds,
               ports::store_handler<ports::store_page>) override
    {
        ++this->watches;
    }

    std::size_t listings = 0;
    std::size_t watches = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(listings)

// A listing above the limit on a response failed for good: nodes that follow
// others kept an old configuration.
BOOST_AUTO_TEST_CASE(one_of_any_size_reaches_a_follower)
{
    boost::asio::io_context io;
    adapters::asio::asio_runtime runtime(io);
    node_copy source(runtime);
    ports::store_page items;
    items.revision = 100;
    for (std::uint64_t i = 0; i < 12; ++i)
    {
        // Any bytes may stand in a key.
        items.items.push_back({"servers/\r\n &" + std::to_string(i),
                               random_bytes((1U << 20U) - i),
                               i + 1});
    }
    source.mirror.apply_listing(items, false);
    adapters::relay::peer_feed feed(runtime, source.mirror, source.follower);
    adapters::http::server_handlers handlers;
    handlers.on_request = [&](const adapters::http::request& message,
                              const adapters::http::responder& respond)
    {
        feed.handle(message, respond);
    };
    const auto server = std::move(*adapters::http::server::listen(
        io, "127.0.0.1", 0, std::move(handlers), {}));
    adapters::relay::peer_reader reader(
        io, "127.0.0.1:" + std::to_string(server->port()));
    node_copy follower(runtime);
    follower.follower.follow(reader);
    for (int i = 0; i < 100 && !follower.mirror.is_complete(); ++i)
    {
        io.run_for(100ms);
    }
    BOOST_TEST_REQUIRE(follower.mirror.is_complete());
    const auto copied = follower.mirror.listing();
    BOOST_TEST_REQUIRE(copied.items.size() == 12U);
    BOOST_TEST((copied.items.front().value == items.items.front().value));
    // The source has not read the store, so that no age is known.
    BOOST_TEST(!follower.follower.current_at().has_value());
    follower.follower.stop();
}

BOOST_AUTO_TEST_CASE(pages_hold_each_item_once)
{
    tests::support::recording_log log;
    store_mirror mirror(log, [](const ports::store_item&) {});
    mirror.apply_listing({{{"a", "123", 1},
                           {"b", std::string(50, 'x'), 2},
                           {"c", "4", 3},
                           {"d", "5", 4}},
                          false,
                          4},
                         false);
    std::string keys;
    std::string after;
    std::size_t pages = 0;
    bool has_more = true;
    while (has_more)
    {
        const auto page = mirror.listing(after, 10);
        for (const auto& item : page.items)
        {
            keys += item.key;
            after = item.key;
        }
        has_more = page.has_more;
        ++pages;
    }
    BOOST_TEST(keys == "abcd");
    BOOST_TEST(pages == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sources)

// A node whose reads fail was followed for good while its beacons said that
// its own copy was current.
BOOST_AUTO_TEST_CASE(one_that_does_not_answer_is_replaced)
{
    boost::asio::io_context io;
    adapters::asio::asio_runtime runtime(io);
    idle_store store;
    node_copy copy(runtime);
    adapters::relay::source_switch source(
        io, runtime, store, copy.follower, copy.log);
    auto self = record("self", "127.0.0.1:1");
    self.is_entry = false;
    core::relay::node_directory nodes(self);
    // Nothing listens on this port.
    auto other = record("other", "127.0.0.1:2");
    other.reads_store = true;
    for (auto passed = 0ms; passed < 2000ms; passed += 100ms)
    {
        nodes.on_beacon(other, runtime.now());
        source.update(nodes, true);
        BOOST_TEST((passed > 0ms || source.name() == "other"));
        io.run_for(100ms);
    }
    BOOST_TEST(source.reads_store());
    BOOST_TEST(store.listings > 0U);
    copy.follower.stop();
}

BOOST_AUTO_TEST_SUITE_END()
