// Tests that the copies of the store that nodes keep, from the store or from
// each other, end up equal to it, also after it was restored from a copy.
#define BOOST_TEST_MODULE store_follower
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <core/relay/store_follower.hpp>
#include <support/relay_simulation.hpp>

using namespace std::chrono_literals;
using namespace hawthornrelay::tests::support;
namespace ports = hawthornrelay::ports;
using hawthornrelay::core::base::fail;
using hawthornrelay::core::base::result_code;
using relay::store_follower;
using relay::store_mirror;

namespace
{

constexpr std::chrono::milliseconds answer_delay{4};
constexpr std::chrono::milliseconds heartbeat_interval{1200};

/// Answers listings and watches with a delay, and counts them.
class simulated_reader : public ports::metadata_reader
{
  public:
    explicit simulated_reader(event_loop& loop) : loop(loop)
    {
    }

    void list(const std::string& /*after*/,
              ports::store_handler<ports::store_page> done) override
    {
        ++this->listings;
        this->loop.after(answer_delay,
                         [this, done]
                         {
                             done(this->is_away ? this->failure()
                                                : this->listing());
                         });
    }

    void watch(const ports::store_position& after,
               std::chrono::milliseconds wait,
               ports::store_handler<ports::store_page> done) override
    {
        this->poll(after, this->loop.now() + wait, std::move(done));
    }

    bool is_away = false;
    /// The error of calls while the source is away.
    result_code failure_code = result_code::platform_unreachable;
    std::size_t listings = 0;

  protected:
    using page_result = hawthornrelay::core::base::result<ports::store_page>;

    static page_result unreachable()
    {
        return fail(result_code::platform_unreachable, "away");
    }

    [[nodiscard]] page_result failure() const
    {
        return fail(this->failure_code, "away");
    }

    virtual page_result listing() = 0;
    virtual page_result changes(const ports::store_position& after) = 0;

  private:
    void poll(const ports::store_position& after,
              time_point until,
              ports::store_handler<ports::store_page> done)
    {
        this->loop.after(answer_delay,
                         [this, after, until, done = std::move(done)]
                         {
                             auto page = this->is_away ? this->failure()
                                                       : this->changes(after);
                             const bool must_wait = page &&
                                                    page->items.empty() &&
                                                    this->loop.now() < until;
                             if (must_wait)
                             {
                                 this->poll(after, until, done);
                             }
                             else
                             {
                                 done(std::move(page));
                             }
                         });
    }

    event_loop& loop;
};

/// The store, which can go back to a copy.
class simulated_store final : public simulated_reader
{
  public:
    using simulated_reader::simulated_reader;

    void write(const std::string& key, const std::string& value)
    {
        this->append({key, value, ++this->state.revision});
    }

    void remove(const std::string& key)
    {
        if (this->state.items.contains(key))
        {
            this->append({key, {}, ++this->state.revision, true});
        }
    }

    void take_copy()
    {
        this->copy = this->state;
    }

    void restore_copy()
    {
        this->state = this->copy;
        this->history.clear();
        this->history_begins = this->state.revision;
        this->era = this->era ? ports::store_era(*this->era + 1) : this->era;
    }

    [[nodiscard]] std::map<std::string, std::string> values() const
    {
        std::map<std::string, std::string> result;
        for (const auto& [key, item] : this->state.items)
        {
            result[key] = item.value;
        }
        return result;
    }

    ports::store_era era{1};
    /// Returned for each page of a listing if set.
    std::optional<ports::store_page> only_page;

  private:
    struct contents
    {
        std::map<std::string, ports::store_item> items;
        std::uint64_t revision = 1;
    };

    void append(ports::store_item item)
    {
        if (item.is_removed)
        {
            this->state.items.erase(item.key);
        }
        else
        {
            this->state.items[item.key] = item;
        }
        this->history.push_back(std::move(item));
    }

    page_result listing() override
    {
        ports::store_page page;
        for (const auto& [key, item] : this->state.items)
        {
            page.items.push_back(item);
        }
        page = this->only_page.value_or(page);
        page.revision = this->state.revision;
        page.era = this->era;
        return page;
    }

    page_result changes(const ports::store_position& after) override
    {
        if (after.revision < this->history_begins ||
            after.revision > this->state.revision)
        {
            return fail(result_code::history_gone, "status 410");
        }
        ports::store_page page;
        for (const auto& item : this->history)
        {
            if (item.revision > after.revision)
            {
                page.items.push_back(item);
            }
        }
        page.revision = this->state.revision;
        page.era = this->era;
        return page;
    }

    contents state;
    contents copy;
    std::vector<ports::store_item> history;
    std::uint64_t history_begins = 0;
};

/// A node's copy, which other nodes read.
class simulated_node final : public simulated_reader
{
  public:
    simulated_node(event_loop& loop, ports::metadata_reader& source)
        : simulated_reader(loop), runtime(loop),
          mirror(this->log, [](const ports::store_item&) {}),
          follower(this->runtime,
                   this->log,
                   this->mirror,
                   this->availability,
                   [](bool, const std::string&) {})
    {
        this->follower.follow(source);
    }

    [[nodiscard]] bool is_copy() const override
    {
        return true;
    }

    [[nodiscard]] std::map<std::string, std::string> values() const
    {
        std::map<std::string, std::string> result;
        for (const auto& item : this->mirror.listing().items)
        {
            result[item.key] = item.value;
        }
        return result;
    }

    process_runtime runtime;
    recording_log log;
    store_mirror mirror;
    relay::store_availability availability{heartbeat_interval};
    store_follower follower;

  private:
    page_result listing() override
    {
        return this->mirror.is_complete() ? page_result(this->mirror.listing())
                                          : unreachable();
    }

    page_result changes(const ports::store_position& after) override
    {
        if (ports::is_earlier(this->mirror.position().era, after.era))
        {
            return unreachable();
        }
        const auto page = this->mirror.changes_since(after);
        return page ? page_result(*page)
                    : fail(result_code::history_gone, "status 410");
    }
};

/// A store, two nodes that read it, and one that follows a node.
struct copies
{
    copies()
    {
        this->store.write("config", "1");
        this->store.write("replica", "a");
        this->loop.run_for(1s);
    }

    void check_equal()
    {
        const auto expected = this->store.values();
        for (const auto* node : {&this->first, &this->second, &this->third})
        {
            BOOST_TEST((node->values() == expected));
        }
    }

    event_loop loop;
    simulated_store store{loop};
    simulated_node first{loop, store};
    simulated_node second{loop, store};
    simulated_node third{loop, first};
};

} // namespace

BOOST_AUTO_TEST_SUITE(restores)

// Guards against: changes after a restore are ignored, since their revisions
// were given out before.
BOOST_AUTO_TEST_CASE(a_change_with_a_revision_that_was_given_out_before)
{
    copies fixture;
    fixture.store.take_copy();
    fixture.store.write("config", "2");
    fixture.store.write("replica", "b");
    fixture.store.write("replica", "c");
    fixture.loop.run_for(1s);
    fixture.store.restore_copy();
    fixture.store.write("config", "2");
    fixture.store.write("config", "3");
    fixture.loop.run_for(1s);
    fixture.check_equal();
}

// Guards against: a watch from before a restore succeeds, since the store has
// passed its revision again, and the changes below are missed.
BOOST_AUTO_TEST_CASE(a_restored_store_that_is_ahead_of_the_watch)
{
    copies fixture;
    fixture.store.take_copy();
    fixture.store.write("config", "2");
    fixture.loop.run_for(1s);
    fixture.store.is_away = true;
    fixture.loop.run_for(1s);
    fixture.store.restore_copy();
    fixture.store.write("added", "1");
    fixture.store.remove("replica");
    fixture.store.write("config", "3");
    fixture.store.write("config", "4");
    fixture.store.is_away = false;
    fixture.loop.run_for(1s);
    fixture.check_equal();
}

// Guards against: a node that has not noticed the restore yet brings back the
// state before it.
BOOST_AUTO_TEST_CASE(a_source_that_lags_behind_a_restore)
{
    copies fixture;
    fixture.store.take_copy();
    fixture.store.write("config", "2");
    fixture.loop.run_for(1s);
    fixture.store.is_away = true;
    fixture.loop.run_for(10ms);
    fixture.second.follower.stop();
    fixture.store.restore_copy();
    fixture.store.write("config", "3");
    fixture.store.is_away = false;
    fixture.loop.run_for(1s);
    fixture.third.follower.follow(fixture.second);
    fixture.loop.run_for(5s);
    BOOST_TEST(fixture.third.values().at("config") == "3");
    BOOST_TEST(!fixture.third.follower.is_reachable());
    fixture.third.follower.follow(fixture.first);
    fixture.loop.run_for(1s);
    BOOST_TEST(fixture.third.follower.is_reachable());
}

// Guards against: a node lists the store without pause while the store refuses
// its watch.
BOOST_AUTO_TEST_CASE(a_watch_that_is_refused_after_each_listing)
{
    copies fixture;
    fixture.store.era.reset(); // a store that does not tell
    fixture.store.take_copy();
    fixture.store.write("config", "2");
    fixture.loop.run_for(1s);
    const auto before = fixture.store.listings;
    fixture.store.restore_copy();
    fixture.loop.run_for(10s);
    BOOST_TEST(fixture.store.listings - before <= 2U * 4U * 10U);
}

// Guards against: a store that repeats a page is listed without end, and all
// keys after an empty page count as removed.
BOOST_AUTO_TEST_CASE(a_page_that_does_not_lead_to_the_next_one)
{
    const ports::store_page repeated{{{"config", "1", 2}}, true};
    const ports::store_page empty{{}, true};
    for (const auto& page : {repeated, empty})
    {
        copies fixture;
        const auto known = fixture.store.values();
        const auto before = fixture.store.listings;
        fixture.store.only_page = page;
        fixture.store.take_copy();
        fixture.store.restore_copy();
        fixture.loop.run_for(10s);
        BOOST_TEST(fixture.store.listings - before <= 2U * 2U * 4U * 10U);
        BOOST_TEST((fixture.first.values() == known));
        BOOST_TEST(!fixture.first.follower.is_reachable());
        fixture.store.only_page.reset();
        fixture.store.write("config", "2");
        fixture.loop.run_for(2s);
        BOOST_TEST(fixture.first.follower.is_reachable());
        fixture.check_equal();
    }
}

// Any sequence of writes, removals, outages and restores ends in equal copies.
BOOST_AUTO_TEST_CASE(copies_end_equal_after_random_restores)
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            copies fixture;
            fixture.store.take_copy();
            for (int step = 0; step < 40; ++step)
            {
                const auto key = "k" + std::to_string(random() % 4);
                switch (random() % 8)
                {
                case 0:
                    fixture.store.remove(key);
                    break;
                case 1:
                    fixture.store.take_copy();
                    break;
                case 2:
                    fixture.store.restore_copy();
                    break;
                case 3:
                    fixture.store.is_away = !fixture.store.is_away;
                    break;
                case 4:
                    fixture.third.follower.follow(
                        random() % 2 == 0 ? fixture.first : fixture.second);
                    break;
                default:
                    fixture.store.write(key, std::to_string(random() % 3));
                }
                fixture.loop.run_for(std::chrono::milliseconds(
                    random() % 3 == 0 ? random() % 1000 : 0));
            }
            fixture.store.is_away = false;
            fixture.loop.run_for(8s);
            fixture.check_equal();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(outages)

// Guards against: a connection that breaks or falls silent counts as an outage
// of the store, so that a replica that left meanwhile is kept as one whose
// registration may come back.
BOOST_AUTO_TEST_CASE(only_what_the_store_itself_shows_makes_a_removal_a_lapse)
{
    struct outage_case
    {
        const char* description;
        result_code failure;
        std::chrono::milliseconds away;
        bool is_copy_away; ///< the copy that a node follows, not the store
        bool may_have_lapsed;
    };
    const std::vector<outage_case> cases{
        {"a connection",
         result_code::platform_connection_lost,
         10ms,
         false,
         false},
        {"silence below two heartbeats",
         result_code::platform_connection_lost,
         heartbeat_interval - 200ms,
         false,
         false},
        {"silence of two heartbeats",
         result_code::platform_connection_lost,
         2 * heartbeat_interval + 100ms,
         false,
         true},
        {"a refused call",
         result_code::platform_unreachable,
         10ms,
         false,
         true},
        {"a lost node", result_code::platform_unreachable, 10ms, true, false},
    };
    for (const auto& item : cases)
    {
        BOOST_TEST_CONTEXT(item.description)
        {
            copies fixture;
            auto& away = item.is_copy_away
                             ? static_cast<simulated_reader&>(fixture.first)
                             : fixture.store;
            auto& reader = item.is_copy_away ? fixture.third : fixture.first;
            const auto before = reader.mirror.position();
            away.failure_code = item.failure;
            away.is_away = true;
            fixture.store.remove("replica");
            fixture.loop.run_for(item.away);
            away.is_away = false;
            fixture.loop.run_for(500ms);
            const auto changes = reader.mirror.changes_since(before);
            BOOST_TEST_REQUIRE(changes.has_value());
            const auto& removal = changes->items.back();
            BOOST_TEST_REQUIRE(removal.key == "replica");
            BOOST_TEST(removal.is_removed);
            BOOST_TEST(removal.may_have_lapsed == item.may_have_lapsed);
        }
    }
}

// Guards against: a node takes the silence of one connection for an outage
// although its other calls were answered.
BOOST_AUTO_TEST_CASE(answers_on_other_connections_show_that_the_store_is_there)
{
    relay::store_availability availability(heartbeat_interval);
    const hawthornrelay::core::base::error lost{
        result_code::platform_connection_lost, ""};
    const time_point start{1h};
    availability.on_answer(start);
    availability.on_answer(start + 3s);
    availability.on_failure(lost, start + 3400ms);
    BOOST_TEST(!availability.may_have_lapsed(start + 3400ms));
    availability.on_answer(start + 3410ms);
    BOOST_TEST(!availability.may_have_lapsed(start + 3410ms));
    availability.on_failure(lost, start + 7s);
    BOOST_TEST(availability.may_have_lapsed(start + 7s));
    availability.on_answer(start + 8s);
    BOOST_TEST(availability.may_have_lapsed(start + 10s));
    BOOST_TEST(!availability.may_have_lapsed(start + 11s));
}

BOOST_AUTO_TEST_SUITE_END()
