// Tests of the node directory, and of the choice of entries and of nodes that
// read the store.
#define BOOST_TEST_MODULE relay_nodes
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

#include <core/relay/entry_choice.hpp>
#include <core/relay/entry_role.hpp>
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
    record.incarnation = 1;
    record.caller_address = name + ":1";
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
    nodes.mutable_self().is_ready = true;
    nodes.on_registered(node("b", "z"), begin);
    nodes.on_beacon(node("b", "z"), begin);
    nodes.on_beacon(node("c", "z"), begin + 800ms);
    BOOST_TEST(nodes.usable(begin + 500ms).size() == 3U);
    BOOST_TEST(nodes.usable(begin + 900ms).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stopping_or_unready_node_is_not_named)
{
    node_directory nodes(node("a", "z"));
    auto other = node("b", "z");
    other.is_stopping = true;
    nodes.on_beacon(other, begin);
    other.is_stopping = false;
    nodes.on_beacon(other, begin); // an older beacon that arrives late
    auto starting = node("c", "z");
    starting.is_ready = false;
    nodes.on_beacon(starting, begin);
    BOOST_TEST(nodes.usable(begin).size() == 1U);
    nodes.mutable_self().is_stopping = true;
    BOOST_TEST(nodes.usable(begin).empty());
}

BOOST_AUTO_TEST_CASE(a_clock_that_was_set_back_hides_no_restarted_node)
{
    node_directory nodes(node("a", "z"));
    auto before = node("b", "z");
    before.incarnation = 1000;
    before.caller_address = "b:1";
    nodes.on_registered(before, begin);
    nodes.on_beacon(before, begin);
    auto after = before;
    after.incarnation = 10;
    after.caller_address = "b:3";
    nodes.on_beacon(after, begin + 100ms); // ignored: the other is not silent
    BOOST_TEST(nodes.usable(begin + 100ms).front().caller_address == "b:1");
    nodes.on_beacon(after, begin + 800ms);
    BOOST_TEST(nodes.usable(begin + 800ms).front().caller_address == "b:3");
    // The store still lists the previous incarnation.
    nodes.on_registered(before, begin + 900ms);
    BOOST_TEST(nodes.usable(begin + 900ms).front().caller_address == "b:3");
}

BOOST_AUTO_TEST_CASE(who_starts_is_referred_to_a_node_of_its_zone)
{
    node_directory nodes(node("seed", "x"));
    auto near = node("b", "y");
    near.is_entry = false;
    nodes.on_beacon(near, begin);
    nodes.on_beacon(node("c", "z"), begin);
    auto starting = node("d", "y");
    starting.is_ready = false;
    nodes.on_beacon(starting, begin);
    BOOST_TEST(nodes.referral_for(starting, begin) == "b:2");
    starting.zone = "x"; // the seed itself is in this zone
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
    nodes.on_beacon(near, begin + 2s);
    for (const auto* name : {"c", "d"})
    {
        nodes.on_registered(node(name, "far"), begin);
        nodes.on_beacon(node(name, "far"), begin);
    }
    for (const auto& entry : nodes.usable(begin + 2s))
    {
        BOOST_TEST(entry.zone == "far");
    }
    BOOST_TEST(nodes.usable(begin + 2s).size() == 2U);
    BOOST_TEST(
        (nodes.silent_zones(begin + 2s) == std::set<std::string>{"far"}));
    // A node that is not cut off does not return entries that are.
    nodes.mutable_self().is_cut_off = false;
    nodes.on_beacon(node("c", "far"), begin + 2s);
    BOOST_TEST(nodes.usable(begin + 2s).size() == 2U);
    BOOST_TEST(nodes.silent_zones(begin + 2s).empty());
}

BOOST_AUTO_TEST_CASE(an_isolated_node_returns_the_registered_entries)
{
    node_directory nodes(node("a", "z"));
    for (const auto* name : {"b", "c", "d"})
    {
        nodes.on_registered(node(name, "z"), begin);
        nodes.on_beacon(node(name, "z"), begin);
    }
    BOOST_TEST(nodes.usable(begin + 2s).size() == 4U);
}

BOOST_AUTO_TEST_CASE(entries_rank_each_other_in_the_same_order)
{
    const std::vector<std::string> names{"a", "b", "c", "d", "e", "f"};
    std::set<std::size_t> ranks_of_a;
    for (const auto* key : {"r1", "r2", "r3", "r4", "r5", "r6", "r7"})
    {
        std::set<std::size_t> ranks;
        for (const auto& own : names)
        {
            node_directory nodes(node(own, "z"));
            for (const auto& name : names)
            {
                if (name != own)
                {
                    nodes.on_registered(node(name, "z"), begin);
                }
            }
            auto standby = node("g", "z");
            standby.is_entry = false;
            nodes.on_beacon(standby, begin);
            const auto rank = nodes.rank_among_entries(key, begin);
            ranks.insert(rank);
            if (own == "a")
            {
                ranks_of_a.insert(rank);
            }
        }
        BOOST_TEST(ranks.size() == names.size());
        BOOST_TEST(*ranks.rbegin() == names.size() - 1);
    }
    BOOST_TEST(ranks_of_a.size() > 1U);
}

BOOST_AUTO_TEST_CASE(an_ended_node_still_divides_the_bounds_for_a_window)
{
    node_directory nodes(node("a", "z"));
    nodes.on_registered(node("b", "z"), begin);
    nodes.on_unregistered("b", begin);
    BOOST_TEST(nodes.entry_count(begin + 11s) == 2U);
    BOOST_TEST(nodes.entry_count(begin + 13s) == 1U);
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_entries_only)
{
    node_directory nodes(node("a", "z"));
    nodes.mutable_self().is_entry = false;
    auto standby = node("b", "z");
    standby.is_entry = false;
    nodes.on_beacon(standby, begin);
    BOOST_TEST(nodes.usable(begin).size() == 2U); // there is no entry yet
    nodes.on_registered(node("c", "far"), begin);
    BOOST_TEST(nodes.usable(begin + 5s).size() == 1U);
    BOOST_TEST(nodes.entry_count(begin + 5s) == 1U);
    // A standby exchanges beacons with entries of its own zone and drops those
    // that fall silent.
    nodes.on_registered(node("d", "z"), begin);
    nodes.on_beacon(node("d", "z"), begin);
    BOOST_TEST(nodes.usable(begin + 1s).size() == 2U);
    BOOST_TEST(nodes.usable(begin + 3s).size() == 1U);
    BOOST_TEST(nodes.beacon_recipients().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_standby_learns_of_a_lost_zone_from_its_entry)
{
    node_directory entry(node("e", "z"));
    node_directory standby(node("s", "z"));
    standby.mutable_self().is_entry = false;
    entry.on_registered(node("e2", "z"), begin);
    for (const auto at : {begin, begin + 900ms})
    {
        entry.on_beacon(node("e2", "z"), at);
    }
    for (const auto* name : {"far1", "far2"})
    {
        entry.on_registered(node(name, "lost"), begin);
        entry.on_beacon(node(name, "lost"), begin);
        standby.on_registered(node(name, "lost"), begin);
    }
    auto beacon = node("e", "z");
    beacon.silent_entries = entry.silent_entries(begin + 500ms);
    standby.on_beacon(beacon, begin + 500ms);
    BOOST_TEST(standby.usable(begin + 500ms).size() == 3U);
    beacon.silent_entries = entry.silent_entries(begin + 1s);
    standby.on_beacon(beacon, begin + 1s);
    BOOST_TEST(standby.usable(begin + 1s).size() == 1U);
    // They are returned again once the entry receives their beacons.
    beacon.silent_entries.clear();
    standby.on_beacon(beacon, begin + 2s);
    BOOST_TEST(standby.usable(begin + 3500ms).size() == 3U);
}

BOOST_AUTO_TEST_CASE(callers_get_near_nodes_unless_one_alone_is_near)
{
    const std::vector<node_record> usable{
        node("a", "x"), node("b", "x"), node("c", "y")};
    BOOST_TEST(choose_entries(usable, "x", 0).size() == 3U);
    BOOST_TEST(choose_entries(usable, "y", 0).size() == 3U);
    BOOST_TEST(choose_entries(usable, "", 0).size() == 3U);
    // An entry of another zone is added in case the caller's zone fails.
    std::set<std::string> far;
    auto more = usable;
    more.push_back(node("d", "y"));
    more.push_back(node("e", "z"));
    for (std::size_t turn = 0; turn < 3; ++turn)
    {
        const auto chosen = choose_entries(more, "x", turn);
        BOOST_TEST(chosen.size() == 3U);
        far.insert(chosen.back().name);
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
        auto others = all;
        std::erase_if(others,
                      [&](const node_record& other)
                      {
                          return other.name == self.name;
                      });
        if (!choose_source(self, true, others, ""))
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
    // An entry follows only readers of the store, so that two entries never
    // follow each other.
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
    // A node that the store refuses follows even a stale reader.
    BOOST_TEST((choose_source(self, false, {reader}, "") == "a"));
    BOOST_TEST(!choose_source(self, false, {}, ""));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(entries)

namespace
{

/// Nodes that see each other's changes of role after a delay, as through the
/// store.
struct entry_fleet
{
    static constexpr duration propagation_delay = 400ms;

    /// Adds a node; nodes are spread over four zones.
    void add(const std::string& name, unsigned millicores)
    {
        const auto zone = "z" + std::to_string(this->roles.size() % 4);
        auto record = node(name, zone);
        record.millicores = millicores;
        this->roles.emplace(name, entry_role(record, 4));
        this->records[name] = record;
    }

    void run_for(duration time)
    {
        for (const auto until = this->now + time; this->now < until;
             this->now += 100ms)
        {
            for (auto& [name, role] : this->roles)
            {
                std::vector<node_record> others;
                for (const auto& [other, joined_at] : this->joined_at)
                {
                    const bool is_seen =
                        this->now - joined_at >= propagation_delay &&
                        other != name;
                    if (is_seen)
                    {
                        others.push_back(this->records.at(other));
                    }
                }
                if (role.update(others, !this->down.contains(name), this->now))
                {
                    this->joined_at.try_emplace(name, this->now);
                }
                else
                {
                    this->joined_at.erase(name);
                }
            }
        }
    }

    [[nodiscard]] std::size_t entry_count(unsigned millicores) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->joined_at.begin(),
            this->joined_at.end(),
            [&](const auto& item)
            {
                return this->records.at(item.first).millicores == millicores;
            }));
    }

    std::map<std::string, entry_role> roles;
    std::map<std::string, node_record> records;
    std::map<std::string, time_point> joined_at;
    std::set<std::string> down;
    time_point now = begin;
};

} // namespace

BOOST_AUTO_TEST_CASE(all_nodes_of_a_small_fleet_serve)
{
    entry_fleet fleet;
    for (int i = 0; i < 8; ++i)
    {
        fleet.add("n" + std::to_string(i), 250);
    }
    fleet.run_for(1s);
    BOOST_TEST(fleet.entry_count(250) == 8U);
    fleet.run_for(10s);
    BOOST_TEST(fleet.entry_count(250) == 8U);
}

BOOST_AUTO_TEST_CASE(the_strong_nodes_of_a_large_fleet_serve)
{
    entry_fleet fleet;
    for (int i = 0; i < 8; ++i)
    {
        fleet.add("strong" + std::to_string(i), 500);
    }
    for (int i = 0; i < 56; ++i)
    {
        fleet.add("weak" + std::to_string(i), 120);
    }
    fleet.run_for(10s);
    BOOST_TEST(fleet.entry_count(500) == 8U);
    BOOST_TEST(fleet.entry_count(120) == 0U);
    // Three are down as in a rolling restart: no weak node joins.
    fleet.down = {"strong0", "strong1", "strong2"};
    fleet.run_for(5s);
    BOOST_TEST(fleet.entry_count(120) == 0U);
    // Most strong nodes fail: weak ones join, and leave when no longer needed.
    fleet.down = {
        "strong0", "strong1", "strong2", "strong3", "strong4", "strong5"};
    fleet.run_for(3s);
    BOOST_TEST(fleet.entry_count(500) == 2U);
    BOOST_TEST(fleet.entry_count(120) >= 8U);
    fleet.down.clear();
    fleet.run_for(180s);
    BOOST_TEST(fleet.entry_count(500) == 8U);
    BOOST_TEST(fleet.entry_count(120) == 0U);
}

BOOST_AUTO_TEST_CASE(equal_nodes_of_a_large_fleet_serve_in_part)
{
    entry_fleet fleet;
    for (int i = 0; i < 64; ++i)
    {
        fleet.add("n" + std::to_string(i), 250);
    }
    fleet.run_for(180s);
    BOOST_TEST(fleet.entry_count(250) == 16U);
    std::map<std::string, int> by_zone;
    for (const auto& item : fleet.joined_at)
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
    entry_role role(node("a", "z"), 4);
    role.skip_join_delay();
    BOOST_TEST(role.update({}, true, begin));
}

BOOST_AUTO_TEST_SUITE_END()
