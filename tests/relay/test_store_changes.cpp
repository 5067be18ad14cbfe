// Tests of what a node believes after changes of the store, above all after the
// store was restored from a copy that is older than what the node knows.
#define BOOST_TEST_MODULE store_changes
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <adapters/relay/store_change_handler.hpp>
#include <core/relay/store_mirror.hpp>
#include <support/relay_simulation.hpp>

using namespace std::chrono_literals;
using namespace hawthornrelay::tests::support;
namespace ports = hawthornrelay::ports;
using hawthornrelay::adapters::relay::store_change_handler;

namespace
{

/// Interval at which a node calls apply_due().
constexpr std::chrono::milliseconds maintenance_interval{250};

std::string replica_value(int sequence, const std::string& state = "ready")
{
    return fmt::format(
        R"({{"service":"added","address":"10.0.0.9:80","zone":"here",)"
        R"("version":"v1","capacity":2,"state":"{}","warmupRemainingMs":0,)"
        R"("sequence":{},"born":7}})",
        state,
        sequence);
}

/// A node's mirror and what is derived from it.
class changed_node
{
  public:
    changed_node()
    {
        this->handler.on_refusal_lost = [this](std::uint64_t refused)
        {
            this->lost_refusals.push_back(refused);
        };
    }

    /// Applies the listing of an era.
    void list(std::uint64_t era, std::vector<ports::store_item> items)
    {
        this->mirror.apply_listing(
            {std::move(items), false, ++this->revision, era}, false);
        this->era = era;
    }

    void write(const std::string& key, const std::string& value)
    {
        this->apply({key, value, ++this->revision});
    }

    void remove(const std::string& key)
    {
        this->apply({key, {}, ++this->revision, true});
    }

    void run_for(duration length)
    {
        for (auto left = length; left > duration(0);
             left -= maintenance_interval)
        {
            this->simulation.loop.run_for(maintenance_interval);
            this->handler.apply_due();
        }
    }

    /// Number of replicas of a service that may get requests.
    std::size_t usable(const std::string& service) const
    {
        return this->simulation.engine.registry
            .usable(service, this->simulation.loop.now())
            .size();
    }

    /// Number of nodes that callers may use.
    std::size_t usable_nodes() const
    {
        return this->nodes.usable(this->simulation.loop.now()).size();
    }

    relay_simulation simulation{[](const relay::replica&, const std::string&)
                                {
                                    return scripted_reply{};
                                }};
    std::vector<std::uint64_t> lost_refusals;

  private:
    void apply(const ports::store_item& item)
    {
        this->mirror.apply_changes({{item}, false, item.revision, this->era});
    }

    process_runtime runtime{simulation.loop};
    relay::node_directory nodes{{}};
    store_change_handler handler{runtime,
                                 simulation.engine,
                                 nodes,
                                 simulation.log,
                                 1200ms,
                                 [](const relay::caller_limits&) {}};
    relay::store_mirror mirror{simulation.log,
                               [this](const ports::store_item& item)
                               {
                                   this->handler.apply(item);
                               }};
    std::uint64_t revision = 10;
    std::uint64_t era = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

// Guards against: a replica that left is used again, since the copy from which
// the store was restored still has its registration.
BOOST_AUTO_TEST_CASE(a_replica_that_left_is_not_used_again)
{
    changed_node node;
    node.list(1, {{"servers/r", replica_value(3), 5}});
    node.remove("servers/r");
    node.list(2, {{"servers/r", replica_value(3), 5}});
    for (int i = 0; i < 12; ++i)
    {
        node.run_for(250ms);
        BOOST_TEST(node.usable("added") == 0U);
    }
    node.remove("servers/r"); // its lease in the copy has ended
    node.run_for(10s);
    BOOST_TEST(node.usable("added") == 0U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_left_and_came_back_is_used)
{
    changed_node node;
    node.list(1, {{"servers/r", replica_value(3), 5}});
    node.remove("servers/r");
    node.list(2, {{"servers/r", replica_value(3), 5}});
    node.write("servers/r", replica_value(4));
    BOOST_TEST(node.usable("added") == 1U);
}

// A registration that is still there after its lease would have ended is that
// of a replica which renews it.
BOOST_AUTO_TEST_CASE(a_replica_that_keeps_its_registration_is_used_later)
{
    changed_node node;
    node.list(1, {{"servers/r", replica_value(3), 5}});
    node.remove("servers/r");
    node.list(2, {{"servers/r", replica_value(3), 5}});
    node.run_for(6s);
    BOOST_TEST(node.usable("added") == 1U);
}

BOOST_AUTO_TEST_CASE(a_draining_replica_is_not_used_again)
{
    changed_node node;
    node.list(1, {{"servers/r", replica_value(4, "draining"), 5}});
    node.list(2, {{"servers/r", replica_value(3), 4}});
    node.run_for(10s);
    BOOST_TEST(node.usable("added") == 0U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_the_copy_lacks_is_kept_while_it_may_return)
{
    changed_node node;
    node.list(1, {{"servers/r", replica_value(3), 5}});
    node.list(2, {});
    node.run_for(1500ms);
    BOOST_TEST(node.usable("added") == 1U);
    node.write("servers/r", replica_value(3));
    node.run_for(5s);
    BOOST_TEST(node.usable("added") == 1U);
}

// Guards against: a zone gets requests again although operators have taken it
// out, since the copy from which the store was restored is older than that.
BOOST_AUTO_TEST_CASE(a_zone_stays_out_until_operators_have_written_again)
{
    changed_node node;
    node.list(1, {});
    BOOST_TEST(node.usable("book") == 2U);
    node.write("op/evacuate/there", "{}");
    BOOST_TEST(node.usable("book") == 1U);
    node.list(2, {});
    for (int i = 0; i < 12; ++i)
    {
        node.run_for(250ms);
        BOOST_TEST(node.usable("book") == 1U);
    }
    node.write("op/evacuate/there", "{}");
    node.run_for(10s);
    BOOST_TEST(node.usable("book") == 1U);
    node.remove("op/evacuate/there");
    BOOST_TEST(node.usable("book") == 2U);
}

BOOST_AUTO_TEST_CASE(a_zone_that_operators_do_not_take_out_again_is_used_later)
{
    changed_node node;
    node.list(1, {{"op/evacuate/there", "{}", 5}});
    node.list(2, {});
    node.run_for(6s);
    BOOST_TEST(node.usable("book") == 2U);
}

// When in doubt nothing is sent to a zone.
BOOST_AUTO_TEST_CASE(a_zone_that_is_out_in_the_copy_is_out_at_once)
{
    changed_node node;
    node.list(1, {{"op/evacuate/there", "{}", 5}});
    node.remove("op/evacuate/there");
    node.list(2, {{"op/evacuate/there", "{}", 5}});
    BOOST_TEST(node.usable("book") == 1U);
}

// Guards against: the refusal of a request that crashes replicas ends, and is
// not stored for nodes that start, since the store was restored.
BOOST_AUTO_TEST_CASE(a_refusal_that_the_copy_lacks_is_kept_and_stored_again)
{
    changed_node node;
    const std::string key = "quarantine/0000000000000abc";
    node.list(1, {});
    node.write(key, "{}");
    node.list(2, {});
    BOOST_TEST(node.simulation.engine.is_quarantined(0xabc));
    BOOST_TEST(node.lost_refusals == std::vector<std::uint64_t>{0xabc},
               boost::test_tools::per_element());
    node.write(key, "{}");
    node.remove(key);
    BOOST_TEST(!node.simulation.engine.is_quarantined(0xabc));
    BOOST_TEST(node.lost_refusals.size() == 1U);
}

// A refusal that has ended here is not stored again.
BOOST_AUTO_TEST_CASE(a_refusal_that_has_ended_is_not_stored_again)
{
    changed_node node;
    node.list(1, {{"quarantine/0000000000000abc", "{}", 5}});
    node.run_for(121s);
    node.list(2, {});
    BOOST_TEST(node.lost_refusals.empty());
}

BOOST_AUTO_TEST_CASE(a_new_replica_is_used_at_once)
{
    changed_node node;
    node.list(1, {});
    node.list(2, {{"servers/r", replica_value(1), 5}});
    BOOST_TEST(node.usable("added") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entries_of_other_writers)

// Guards against: an entry of another writer names a replica, or hides others.
BOOST_AUTO_TEST_CASE(an_odd_entry_names_no_replica_and_the_others_hold)
{
    const auto usual = replica_value(1);
    const auto with = [&](const std::string& from, const std::string& to)
    {
        auto changed = usual;
        return changed.replace(changed.find(from), from.size(), to);
    };
    changed_node node;
    node.write("servers/r", usual);
    for (const auto& value : {std::string(),
                              std::string("\xff\xfe"),
                              std::string("{}"),
                              with(R"("zone")", R"("region")"),
                              with(R"("here")", "7"),
                              with(R"("ready")", R"("resting")"),
                              with(R"("added")", R"("nobody")"),
                              with(R"(:7})", R"(:7.5})"),
                              with(R"(:7})", R"(:"7"})")})
    {
        for (const auto* name :
             {"a&b", "a+b", "a#b", "a%b", "a b", "%41", "\xff"})
        {
            const auto key = "servers/" + std::string(name);
            node.write(key, value);
            BOOST_TEST(node.usable("added") == 1U, value);
            BOOST_TEST(node.usable("book") == 2U, value);
            node.remove(key);
            BOOST_TEST(node.usable("added") == 1U, value);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_zone_may_have_any_name)
{
    changed_node node;
    for (const std::string zone : {"a&b", "a b", "%41", "a/b", "é"})
    {
        auto value = replica_value(1);
        node.write("servers/r", value.replace(value.find("here"), 4, zone));
        BOOST_TEST(node.usable("added") == 1U, zone);
        node.write("op/evacuate/" + zone, "?");
        BOOST_TEST(node.usable("added") == 0U, zone);
        node.remove("op/evacuate/" + zone);
        BOOST_TEST(node.usable("added") == 1U, zone);
    }
}

// Guards against: callers are sent to what an odd registration names as the
// address of a node.
BOOST_AUTO_TEST_CASE(odd_node_registrations_name_no_node)
{
    const auto registration =
        [](const std::string& callers, const std::string& peers)
    {
        return fmt::format(
            R"({{"run":1,"zone":"here","callers":"{}","peers":"{}"}})",
            callers,
            peers);
    };
    const std::string usual = "10.0.0.9:80";
    changed_node node;
    for (const auto* odd : {"",
                            "nowhere",
                            "10.0.0.9",
                            "10.0.0.9:0",
                            "h.example:80",
                            "10.0.0.9:x"})
    {
        node.write("nodes/odd", registration(odd, usual));
        node.write("nodes/odd", registration(usual, odd));
    }
    for (const auto* value : {"", "{", "[]", "7", "{}", R"({"run":"1"})"})
    {
        node.write("nodes/odd", value);
    }
    node.write("nodes/", registration(usual, usual));
    BOOST_TEST(node.usable_nodes() == 0U);
    node.write("nodes/a&b c", registration(usual, usual));
    BOOST_TEST(node.usable_nodes() == 1U);
}

// Guards against: another writer that writes its entries again and again, or
// very many of them, fills the log. All are counted.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_is_logged_once_and_counted)
{
    changed_node node;
    const auto lines = [&](const std::string& subject)
    {
        const auto& all = node.simulation.log.lines;
        return std::count_if(all.begin(),
                             all.end(),
                             [&](const std::string& line)
                             {
                                 return line.find(subject + " error=") !=
                                        std::string::npos;
                             });
    };
    const auto counted = [&]
    {
        return node.simulation.engine.counters.values.at(
            static_cast<std::size_t>(relay::relay_counter::unreadable_items));
    };
    for (const std::string key :
         {"servers/a&b", "nodes/a b", "quarantine/x", "servers/"})
    {
        for (int i = 0; i < 20; ++i)
        {
            node.write(key, "?" + std::to_string(i));
        }
        const bool is_replica = key.starts_with("servers/");
        BOOST_TEST(
            lines(is_replica ? "replica=" + key.substr(8) : "key=" + key) == 1,
            key);
    }
    BOOST_TEST(counted() == 80U);
    node.write("servers/a&b", replica_value(1));
    BOOST_TEST(node.usable("added") == 1U);
    node.write("servers/a&b", "?");
    BOOST_TEST(node.usable("added") == 0U);
    node.remove("nodes/a b");
    node.write("nodes/a b", "?");
    BOOST_TEST(lines("replica=a&b") == 2);
    BOOST_TEST(lines("key=nodes/a b") == 2);
    const auto before = node.simulation.log.lines.size();
    for (int i = 0; i < 1000; ++i)
    {
        node.write("servers/" + std::to_string(i), "?");
    }
    BOOST_TEST(node.simulation.log.lines.size() - before <=
               relay::unreadable_items::max_logged);
    BOOST_TEST(counted() == 1082U);
}

BOOST_AUTO_TEST_SUITE_END()
