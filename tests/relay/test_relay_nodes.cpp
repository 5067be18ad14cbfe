// Which nodes run, serve callers and read the store.
#define BOOST_TEST_MODULE relay_nodes
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

#include <core/relay/entry_choice.hpp>
#include <core/relay/entry_duty.hpp>
#include <core/relay/node_directory.hpp>
#include <core/relay/source_choice.hpp>

using namespace hawthornrelay::core::relay;
using namespace std::chrono_literals;
using hawthornrelay::core::base::duration;
using hawthornrelay::core::base::time_point;

namespace
{

const time_point begin{1h};

node_record node(const std::string& name, const std::string& zone)
{
    node_record record;
    record.name = name;
    record.zone = zone;
    record.run = 1;
    record.callers = name + ":1";
    record.peers = name + ":2";
    record.is_ready = true;
    record.is_entry = true;
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(nodes)

BOOST_AUTO_TEST_CASE(a_silent_node_is_not_named)
{
    node_directory nodes(node("a", "z"));
    nodes.self_to_change().is_ready = true;
    nodes.on_listed(node("b", "z"), begin);
    nodes.on_heard(node("b", "z"), begin);
    nodes.on_heard(node("c", "z"), begin + 800ms);
    BOOST_TEST(nodes.usable(begin + 500ms).size() == 3U);
    BOOST_TEST(nodes.usable(begin + 900ms).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stopping_or_unready_node_is_not_named)
{
    node_directory nodes(node("a", "z"));
    auto other = node("b", "z");
    other.is_stopping = true;
    nodes.on_heard(other, begin);
    other.is_stopping = false;
    nodes.on_heard(other, begin); // a datagram that was overtaken
    auto starting = node("c", "z");
    starting.is_ready = false;
    nodes.on_heard(starting, begin);
    BOOST_TEST(nodes.usable(begin).size() == 1U);
    nodes.self_to_change().is_stopping = true;
    BOOST_TEST(nodes.usable(begin).empty());
}

BOOST_AUTO_TEST_CASE(a_clock_that_was_set_back_hides_no_restarted_node)
{
    node_directory nodes(node("a", "z"));
    auto before = node("b", "z");
    before.run = 1000;
    before.callers = "b:1";
    nodes.on_listed(before, begin);
    nodes.on_heard(before, begin);
    auto after = before;
    after.run = 10;
    after.callers = "b:3";
    nodes.on_heard(after, begin + 100ms); // no news while the other is heard
    BOOST_TEST(nodes.usable(begin + 100ms).front().callers == "b:1");
    nodes.on_heard(after, begin + 800ms);
    BOOST_TEST(nodes.usable(begin + 800ms).front().callers == "b:3");
    // The list still names the run before.
    nodes.on_listed(before, begin + 900ms);
    BOOST_TEST(nodes.usable(begin + 900ms).front().callers == "b:3");
}

BOOST_AUTO_TEST_CASE(who_starts_is_referred_to_a_node_of_its_zone)
{
    node_directory nodes(node("seed", "x"));
    auto near = node("b", "y");
    near.is_entry = false;
    nodes.on_heard(near, begin);
    nodes.on_heard(node("c", "z"), begin);
    auto starting = node("d", "y");
    starting.is_ready = false;
    nodes.on_heard(starting, begin);
    BOOST_TEST(nodes.referral_for(starting, begin) == "b:2");
    starting.zone = "x"; // the seed itself is near
    BOOST_TEST(nodes.referral_for(starting, begin).empty());
    starting.zone = "v";
    BOOST_TEST(nodes.referral_for(starting, begin).empty());
}

BOOST_AUTO_TEST_CASE(entries_beyond_a_cut_are_named_instead_of_those_within)
{
    auto self = node("a", "z");
    self.is_cut_off = true;
    node_directory nodes(self);
    auto near = node("b", "z");
    near.is_cut_off = true;
    nodes.on_heard(near, begin + 2s);
    for (const auto* name : {"c", "d"})
    {
        nodes.on_listed(node(name, "far"), begin);
        nodes.on_heard(node(name, "far"), begin);
    }
    for (const auto& named : nodes.usable(begin + 2s))
    {
        BOOST_TEST(named.zone == "far");
    }
    BOOST_TEST(nodes.usable(begin + 2s).size() == 2U);
    BOOST_TEST(
        (nodes.silent_zones(begin + 2s) == std::set<std::string>{"far"}));
    // Where others are not cut off, those within are not named.
    nodes.self_to_change().is_cut_off = false;
    nodes.on_heard(node("c", "far"), begin + 2s);
    BOOST_TEST(nodes.usable(begin + 2s).size() == 2U);
    BOOST_TEST(nodes.silent_zones(begin + 2s).empty());
}

BOOST_AUTO_TEST_CASE(a_node_that_hears_nobody_names_the_listed)
{
    node_directory nodes(node("a", "z"));
    for (const auto* name : {"b", "c", "d"})
    {
        nodes.on_listed(node(name, "z"), begin);
        nodes.on_heard(node(name, "z"), begin);
    }
    BOOST_TEST(nodes.usable(begin + 2s).size() == 4U);
}

BOOST_AUTO_TEST_CASE(an_ended_node_still_divides_the_bounds_for_a_window)
{
    node_directory nodes(node("a", "z"));
    nodes.on_listed(node("b", "z"), begin);
    nodes.on_unlisted("b", begin);
    BOOST_TEST(nodes.entry_count(begin + 11s) == 2U);
    BOOST_TEST(nodes.entry_count(begin + 13s) == 1U);
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_entries_only)
{
    node_directory nodes(node("a", "z"));
    nodes.self_to_change().is_entry = false;
    auto standby = node("b", "z");
    standby.is_entry = false;
    nodes.on_heard(standby, begin);
    BOOST_TEST(nodes.usable(begin).size() == 2U); // there is no entry yet
    nodes.on_listed(node("c", "far"), begin);
    BOOST_TEST(nodes.usable(begin + 5s).size() == 1U);
    BOOST_TEST(nodes.entry_count(begin + 5s) == 1U);
    // An entry of the own zone is asked; its silence tells.
    nodes.on_listed(node("d", "z"), begin);
    nodes.on_heard(node("d", "z"), begin);
    BOOST_TEST(nodes.usable(begin + 1s).size() == 2U);
    BOOST_TEST(nodes.usable(begin + 3s).size() == 1U);
    BOOST_TEST(nodes.to_tell().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_standby_hears_of_a_lost_zone_from_its_entry)
{
    node_directory entry(node("e", "z"));
    node_directory standby(node("s", "z"));
    standby.self_to_change().is_entry = false;
    entry.on_listed(node("e2", "z"), begin);
    for (const auto at : {begin, begin + 900ms})
    {
        entry.on_heard(node("e2", "z"), at);
    }
    for (const auto* name : {"far1", "far2"})
    {
        entry.on_listed(node(name, "lost"), begin);
        entry.on_heard(node(name, "lost"), begin);
        standby.on_listed(node(name, "lost"), begin);
    }
    auto said = node("e", "z");
    said.silent_entries = entry.silent_entries(begin + 500ms);
    standby.on_heard(said, begin + 500ms);
    BOOST_TEST(standby.usable(begin + 500ms).size() == 3U);
    said.silent_entries = entry.silent_entries(begin + 1s);
    standby.on_heard(said, begin + 1s);
    BOOST_TEST(standby.usable(begin + 1s).size() == 1U);
    // Heard again by the entry, they are named again.
    said.silent_entries.clear();
    standby.on_heard(said, begin + 2s);
    BOOST_TEST(standby.usable(begin + 3500ms).size() == 3U);
}

BOOST_AUTO_TEST_CASE(callers_get_near_nodes_unless_one_alone_is_near)
{
    const std::vector<node_record> usable{
        node("a", "x"), node("b", "x"), node("c", "y")};
    BOOST_TEST(choose_entries(usable, "x", 0).size() == 3U);
    BOOST_TEST(choose_entries(usable, "y", 0).size() == 3U);
    BOOST_TEST(choose_entries(usable, "", 0).size() == 3U);
    // One of another zone is named too, in case the caller's is lost.
    std::set<std::string> far;
    auto more = usable;
    more.push_back(node("d", "y"));
    more.push_back(node("e", "z"));
    for (std::size_t turn = 0; turn < 3; ++turn)
    {
        const auto named = choose_entries(more, "x", turn);
        BOOST_TEST(named.size() == 3U);
        far.insert(named.back().name);
    }
    BOOST_TEST((far == std::set<std::string>{"c", "d", "e"}));
}

BOOST_AUTO_TEST_CASE(two_nodes_in_two_zones_read_the_store)
{
    std::vector<node_record> all;
    for (const auto* name : {"a1", "a2", "b1", "b2", "c1"})
    {
        all.push_back(node(name, std::string(1, name[0])));
        all.back().reads_store = true;
    }
    std::set<std::string> readers;
    for (const auto& self : all)
    {
        auto heard = all;
        std::erase_if(heard,
                      [&](const node_record& other)
                      {
                          return other.name == self.name;
                      });
        if (!choose_source(self, true, heard, ""))
        {
            readers.insert(self.name);
        }
    }
    BOOST_TEST((readers == std::set<std::string>{"a1", "b1"}));
}

BOOST_AUTO_TEST_CASE(a_standby_follows_an_entry_of_its_zone)
{
    auto self = node("s", "y");
    self.is_entry = false;
    auto reader = node("a", "x");
    reader.reads_store = true;
    auto near = node("b", "y");
    BOOST_TEST((choose_source(self, true, {reader, near}, "a") == "b"));
    near.store_age = 2s;
    BOOST_TEST((choose_source(self, true, {reader, near}, "b") == "a"));
    reader.store_age = 2s;
    BOOST_TEST(!choose_source(self, true, {reader, near}, "b"));
    // An entry follows readers only: two must not follow each other.
    self.is_entry = true;
    BOOST_TEST(!choose_source(self, true, {node("b", "y")}, ""));
}

BOOST_AUTO_TEST_CASE(standbys_spread_over_the_entries_of_their_zone)
{
    std::map<std::string, int> followers;
    for (int i = 0; i < 60; ++i)
    {
        auto self = node("s" + std::to_string(i), "y");
        self.is_entry = false;
        ++followers[*choose_source(
            self, true, {node("a", "y"), node("b", "y"), node("c", "x")}, "")];
    }
    BOOST_TEST(followers["a"] >= 20);
    BOOST_TEST(followers["b"] >= 20);
}

BOOST_AUTO_TEST_CASE(stale_readers_are_not_followed_while_the_store_answers)
{
    auto reader = node("a", "x");
    reader.reads_store = true;
    const auto self = node("b", "y");
    BOOST_TEST(
        (choose_source(self, true, {reader, node("a2", "z")}, "") == "a"));
    reader.store_age = 2s;
    BOOST_TEST(!choose_source(self, true, {reader}, "a"));
    // A node that the store refuses takes what there is.
    BOOST_TEST((choose_source(self, false, {reader}, "") == "a"));
    BOOST_TEST(!choose_source(self, false, {}, ""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entries)

namespace
{

/// Nodes that see each other's state after a while, as through the store.
struct fleet_of_duties
{
    static constexpr duration seen_after = 400ms;

    /// Adds a node to the next of four zones.
    void add(const std::string& name, unsigned millicores)
    {
        const auto zone = "z" + std::to_string(this->duties.size() % 4);
        auto record = node(name, zone);
        record.millicores = millicores;
        this->duties.emplace(name, entry_duty(record, 4));
        this->records[name] = record;
    }

    void run_for(duration time)
    {
        for (const auto until = this->now + time; this->now < until;
             this->now += 100ms)
        {
            for (auto& [name, duty] : this->duties)
            {
                std::vector<node_record> others;
                for (const auto& [other, since] : this->since)
                {
                    const bool is_seen =
                        this->now - since >= seen_after && other != name;
                    if (is_seen)
                    {
                        others.push_back(this->records.at(other));
                    }
                }
                if (duty.update(others, !this->down.contains(name), this->now))
                {
                    this->since.try_emplace(name, this->now);
                }
                else
                {
                    this->since.erase(name);
                }
            }
        }
    }

    [[nodiscard]] std::size_t count(unsigned millicores) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->since.begin(),
            this->since.end(),
            [&](const auto& item)
            {
                return this->records.at(item.first).millicores == millicores;
            }));
    }

    std::map<std::string, entry_duty> duties;
    std::map<std::string, node_record> records;
    std::map<std::string, time_point> since;
    std::set<std::string> down;
    time_point now = begin;
};

} // namespace

BOOST_AUTO_TEST_CASE(all_nodes_of_a_small_fleet_serve)
{
    fleet_of_duties fleet;
    for (int i = 0; i < 8; ++i)
    {
        fleet.add("n" + std::to_string(i), 250);
    }
    fleet.run_for(1s);
    BOOST_TEST(fleet.count(250) == 8U);
    fleet.run_for(10s);
    BOOST_TEST(fleet.count(250) == 8U);
}

BOOST_AUTO_TEST_CASE(the_strong_nodes_of_a_large_fleet_serve)
{
    fleet_of_duties fleet;
    for (int i = 0; i < 8; ++i)
    {
        fleet.add("strong" + std::to_string(i), 500);
    }
    for (int i = 0; i < 56; ++i)
    {
        fleet.add("weak" + std::to_string(i), 120);
    }
    fleet.run_for(10s);
    BOOST_TEST(fleet.count(500) == 8U);
    BOOST_TEST(fleet.count(120) == 0U);
    // Three restart one after the other: nobody stands in for them.
    fleet.down = {"strong0", "strong1", "strong2"};
    fleet.run_for(5s);
    BOOST_TEST(fleet.count(120) == 0U);
    // Most are lost: weak ones join, and leave when they are not needed.
    fleet.down = {
        "strong0", "strong1", "strong2", "strong3", "strong4", "strong5"};
    fleet.run_for(3s);
    BOOST_TEST(fleet.count(500) == 2U);
    BOOST_TEST(fleet.count(120) >= 8U);
    fleet.down.clear();
    fleet.run_for(180s);
    BOOST_TEST(fleet.count(500) == 8U);
    BOOST_TEST(fleet.count(120) == 0U);
}

BOOST_AUTO_TEST_CASE(equal_nodes_of_a_large_fleet_serve_in_part)
{
    fleet_of_duties fleet;
    for (int i = 0; i < 64; ++i)
    {
        fleet.add("n" + std::to_string(i), 250);
    }
    fleet.run_for(180s);
    BOOST_TEST(fleet.count(250) == 16U);
    std::map<std::string, int> by_zone;
    for (const auto& item : fleet.since)
    {
        ++by_zone[fleet.records.at(item.first).zone];
    }
    for (const auto& item : by_zone)
    {
        BOOST_TEST(item.second == 4);
    }
}

BOOST_AUTO_TEST_CASE(an_entry_that_restarts_serves_at_once)
{
    entry_duty duty(node("a", "z"), 4);
    duty.resume();
    BOOST_TEST(duty.update({}, true, begin));
}

BOOST_AUTO_TEST_SUITE_END()
