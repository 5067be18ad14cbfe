// Tests of the bound on cold replicas over all nodes: in any second, a cold
// replica gets at most its rate x overshoot + slack requests. Who may use a
// part of it, when nodes start, end and lose touch.
#define BOOST_TEST_MODULE cold_replicas
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <core/base/hash.hpp>
#include <core/relay/node_directory.hpp>
#include <core/relay/part_window.hpp>
#include <core/relay/shared_bound.hpp>
#include <support/relay_fleet.hpp>

using namespace std::chrono_literals;
using namespace hawthornrelay::tests::support;
using hawthornrelay::core::base::hash_of;
using relay::node_directory;
using relay::node_record;
using relay::part_of;
using relay::part_window;
using relay::send_result;

namespace
{

/// Nodes that all get requests for a service whose two replicas are cold.
class cold_fleet
{
  public:
    cold_fleet(std::size_t nodes, double cold_rate)
        : bound(cold_rate * 1.5 + 5),
          fleet(nodes,
                [this](std::size_t,
                       const relay::replica& replica,
                       const std::string&)
                {
                    this->arrivals[replica.record.id].push_back(
                        this->fleet.now());
                    return scripted_reply{send_result::answered, 40ms};
                })
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            auto& node = *this->fleet.nodes[i];
            auto config = std::make_shared<relay::configuration>(*node.config);
            config->version = 2;
            config->services["book"].cold_requests_per_second = cold_rate;
            node.engine.set_configuration(config);
            node.engine.rank_among_entries =
                [i, nodes](const std::string& replica)
            {
                return (i + hash_of(replica)) % nodes;
            };
        }
    }

    void make_cold(std::chrono::milliseconds warm_up)
    {
        for (const auto& node : this->fleet.nodes)
        {
            for (const auto& target :
                 node->engine.registry.usable("book", node->loop.now()))
            {
                target->cold_until = node->loop.now() + warm_up;
            }
        }
    }

    /// Starts `count` requests at each node, the nodes in random order.
    void send_to_all(std::size_t count)
    {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < this->fleet.nodes.size(); ++i)
        {
            order.insert(order.end(), count, i);
        }
        std::shuffle(order.begin(), order.end(), this->random);
        for (const auto node : order)
        {
            this->fleet.nodes[node]->start(
                "q" + std::to_string(++this->sent), "/b/x", 1500ms);
        }
    }

    /// The most requests that a replica got in one second.
    [[nodiscard]] std::size_t most_in_one_second() const
    {
        std::size_t most = 0;
        for (const auto& [replica, times] : this->arrivals)
        {
            for (const auto begin : times)
            {
                const auto in_second =
                    std::count_if(times.begin(),
                                  times.end(),
                                  [begin](time_point at)
                                  {
                                      return at >= begin && at < begin + 1s;
                                  });
                most = std::max(most, static_cast<std::size_t>(in_second));
            }
        }
        return most;
    }

    double bound;
    std::map<std::string, std::vector<time_point>> arrivals; ///< by replica
    relay_fleet fleet;

  private:
    std::mt19937 random{1};
    std::size_t sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(parts)

// Guards against: the parts of all nodes together exceed the bound, or leave
// some of it unused.
BOOST_AUTO_TEST_CASE(parts_add_up_to_the_bound)
{
    for (std::size_t units = 0; units <= 40; ++units)
    {
        for (std::size_t nodes = 1; nodes <= 70; ++nodes)
        {
            std::size_t sum = 0;
            for (std::size_t rank = 0; rank < nodes; ++rank)
            {
                sum += part_of(units, {nodes, rank});
            }
            BOOST_TEST_REQUIRE(sum == units);
        }
    }
}

// Guards against: a node that already knows of another one uses more than
// before, while the others do not know it yet.
BOOST_AUTO_TEST_CASE(no_part_grows_with_another_node)
{
    for (std::size_t units = 0; units <= 40; ++units)
    {
        for (std::size_t nodes = 1; nodes <= 70; ++nodes)
        {
            for (std::size_t rank = 0; rank < nodes; ++rank)
            {
                const auto part = part_of(units, {nodes, rank});
                BOOST_TEST_REQUIRE(part_of(units, {nodes + 1, rank}) <= part);
                BOOST_TEST_REQUIRE(part_of(units, {nodes + 1, rank + 1}) <=
                                   part);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cold_returns)

// Guards against: more nodes than requests in the bound, each of which sends
// one, and parts that are rounded up.
BOOST_AUTO_TEST_CASE(requests_at_all_nodes_stay_within_the_bound)
{
    for (const std::size_t nodes : {1U, 3U, 8U, 24U})
    {
        for (const double cold_rate : {0.5, 1.0, 6.0, 10.0})
        {
            BOOST_TEST_CONTEXT(nodes << " nodes, rate " << cold_rate)
            {
                cold_fleet cold(nodes, cold_rate);
                cold.make_cold(4s);
                for (int i = 0; i < 40; ++i)
                {
                    cold.send_to_all(4);
                    cold.fleet.run_for(90ms);
                }
                const auto whole = static_cast<std::size_t>(cold.bound);
                BOOST_TEST(cold.most_in_one_second() <= whole);
                // Over 3.6 s, the bound is used in full at both replicas.
                BOOST_TEST_REQUIRE(cold.arrivals.size() == 2U);
                for (const auto& [replica, times] : cold.arrivals)
                {
                    BOOST_TEST(times.size() >= 2 * whole, replica);
                }
            }
        }
    }
}

// Guards against: callers are refused where no replica is cold.
BOOST_AUTO_TEST_CASE(warm_replicas_get_what_comes)
{
    cold_fleet warm(24, 1.0);
    for (int i = 0; i < 20; ++i)
    {
        warm.send_to_all(1);
        warm.fleet.run_for(90ms);
    }
    for (const auto& node : warm.fleet.nodes)
    {
        for (const auto& [id, answer] : node->answers)
        {
            BOOST_TEST(
                (answer.code == hawthornrelay::core::base::result_code::ok));
        }
    }
}

// Guards against: a standby, which the entries do not count, uses a part.
BOOST_AUTO_TEST_CASE(a_standby_sends_nothing_to_cold_replicas)
{
    cold_fleet cold(2, 10.0);
    cold.fleet.nodes[1]->engine.set_division(2, false);
    cold.make_cold(4s);
    for (int i = 0; i < 10; ++i)
    {
        cold.fleet.nodes[1]->start("s" + std::to_string(i), "/b/x", 1500ms);
        cold.fleet.run_for(90ms);
    }
    BOOST_TEST(cold.arrivals.empty());
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

constexpr std::chrono::milliseconds step{50};
constexpr std::chrono::milliseconds span{1250};
constexpr std::chrono::milliseconds lease_time{4000};
constexpr std::chrono::milliseconds renew_interval{700};

/// Nodes that register in a store and copy it, without beacons, while they are
/// killed, started and cut off.
class registered_fleet
{
  public:
    registered_fleet(std::size_t nodes, unsigned seed) : random(seed)
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            this->nodes.push_back({.name = "node-" + std::to_string(i)});
            this->start(this->nodes.back());
        }
    }

    /// Advances by one step and records the parts that are in use.
    void advance(std::size_t units)
    {
        this->now += step;
        this->expire_leases();
        for (auto& node : this->nodes)
        {
            if (node.directory && !node.is_cut_off)
            {
                this->exchange(node);
            }
            if (node.directory && node.window.is_open(this->now))
            {
                const auto count = node.directory->entry_count(this->now);
                const auto rank =
                    node.directory->rank_among_entries("replica", this->now);
                this->used.push_back({this->now,
                                      node.name,
                                      node.starts,
                                      part_of(units, {count, rank})});
            }
        }
        std::erase_if(this->used,
                      [this](const use& item)
                      {
                          return item.at + span <= this->now;
                      });
    }

    /// Kills, starts, cuts off, refuses or reconnects a random node, or all.
    void disturb()
    {
        const bool is_all = this->draw(20) == 0;
        const auto what = this->draw(4);
        const auto chosen = this->draw(this->nodes.size());
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            auto& node = this->nodes[i];
            if (!is_all && i != chosen)
            {
                continue;
            }
            if (what == 0)
            {
                node.directory.reset();
            }
            else if (what == 1)
            {
                node.is_cut_off = !node.is_cut_off;
            }
            else if (what == 2)
            {
                node.is_refused = !node.is_refused;
            }
            if (!node.directory && (is_all || this->draw(2) == 0))
            {
                this->start(node);
            }
        }
    }

    /// The sum of the parts that were used within one span.
    [[nodiscard]] std::size_t sum_of_parts() const
    {
        std::map<std::pair<std::string, unsigned>, std::size_t> most;
        for (const auto& item : this->used)
        {
            auto& part = most[{item.node, item.starts}];
            part = std::max(part, item.part);
        }
        std::size_t sum = 0;
        for (const auto& [node, part] : most)
        {
            sum += part;
        }
        return sum;
    }

  private:
    struct fleet_node
    {
        std::string name;
        std::optional<node_directory> directory{}; ///< set while it runs
        part_window window{};
        std::set<std::string> listed{}; ///< as its copy of the store says
        time_point renews_at{};
        time_point reads_at{};
        bool is_registered = false; ///< this incarnation
        bool is_cut_off = false;
        bool is_refused = false; ///< its calls, while it reads from a node
        unsigned starts = 0;
    };

    struct use
    {
        time_point at;
        std::string node;
        unsigned starts;
        std::size_t part;
    };

    static node_record record(const std::string& name)
    {
        node_record result;
        result.name = name;
        result.incarnation = 1;
        result.is_entry = true;
        return result;
    }

    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
    }

    void start(fleet_node& node)
    {
        node.directory.emplace(record(node.name));
        node.window = {};
        node.listed.clear();
        node.is_registered = false;
        node.renews_at = this->now + step * static_cast<int>(this->draw(40));
        node.reads_at = this->now;
        ++node.starts;
    }

    void expire_leases()
    {
        std::erase_if(this->leases,
                      [this](const auto& item)
                      {
                          return item.second <= this->now;
                      });
    }

    /// Renews the lease and reads the store if it is time.
    void exchange(fleet_node& node)
    {
        if (this->now >= node.renews_at && !node.is_refused)
        {
            const bool is_new =
                !node.is_registered || !this->leases.contains(node.name);
            this->leases[node.name] = this->now + lease_time;
            is_new ? node.window.on_registered(this->now)
                   : node.window.on_renewed(this->now);
            node.is_registered = true;
            node.renews_at = this->now + renew_interval;
        }
        if (this->now < node.reads_at)
        {
            return;
        }
        // A connection may be silent for as long as a copy may be old.
        const bool is_late = this->draw(100) == 0;
        node.reads_at = this->now + (is_late ? 4'400ms : 100ms);
        std::set<std::string> current;
        for (const auto& [name, until] : this->leases)
        {
            current.insert(name);
            if (name != node.name && !node.listed.contains(name))
            {
                node.directory->on_registered(record(name), this->now);
            }
        }
        for (const auto& name : node.listed)
        {
            if (!current.contains(name))
            {
                node.directory->on_unregistered(name, this->now);
            }
        }
        node.listed = std::move(current);
        node.window.on_copy_current(this->now);
    }

    std::mt19937 random;
    time_point now{1h};
    std::vector<fleet_node> nodes;
    std::map<std::string, time_point> leases;
    std::vector<use> used;
};

} // namespace

BOOST_AUTO_TEST_SUITE(windows)

// Guards against: nodes that were killed and have forgotten what they sent, or
// that do not know each other, use more than the bound together.
BOOST_AUTO_TEST_CASE(parts_stay_within_the_bound_while_nodes_come_and_go)
{
    std::size_t seeds_with_parts = 0;
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            const std::size_t units = 3 + seed % 18;
            registered_fleet fleet(2 + seed % 9, seed);
            std::mt19937 random(seed);
            std::size_t most = 0;
            for (int i = 0; i < 3000; ++i)
            {
                if (random() % 60 == 0)
                {
                    fleet.disturb();
                }
                fleet.advance(units);
                most = std::max(most, fleet.sum_of_parts());
            }
            BOOST_TEST(most <= units);
            seeds_with_parts += most > 0 ? 1 : 0;
        }
    }
    // In some, no node is in touch for long enough.
    BOOST_TEST(seeds_with_parts > 150U);
}

// Guards against: a part of the bound stays unused in a fleet that is calm.
BOOST_AUTO_TEST_CASE(a_calm_fleet_uses_the_whole_bound)
{
    registered_fleet fleet(8, 1);
    for (int i = 0; i < 400; ++i)
    {
        fleet.advance(6);
    }
    BOOST_TEST(fleet.sum_of_parts() == 6U);
}

BOOST_AUTO_TEST_CASE(a_part_may_be_used_while_its_conditions_hold)
{
    const time_point start{1h};
    part_window window;
    window.on_copy_current(start);
    BOOST_TEST(!window.is_open(start));
    window.on_registered(start);
    const auto renew_until = [&window](time_point from, time_point until)
    {
        for (auto at = from; at <= until; at += 1s)
        {
            window.on_renewed(at);
            window.on_copy_current(at);
        }
    };
    renew_until(start, start + 6s);
    BOOST_TEST(!window.is_open(start + 5s));
    BOOST_TEST(window.is_open(start + 6s));
    // The store is away, and back with the lease still there.
    BOOST_TEST(window.is_open(start + 10s));
    BOOST_TEST(!window.is_open(start + 11s));
    renew_until(start + 13s, start + 14s);
    BOOST_TEST(window.is_open(start + 14s));
    // The lease has lapsed.
    window.on_registered(start + 20s);
    renew_until(start + 21s, start + 26s);
    BOOST_TEST(!window.is_open(start + 25s));
    BOOST_TEST(window.is_open(start + 26s));
    // The copy does not follow any more.
    window.on_renewed(start + 30s);
    BOOST_TEST(window.is_open(start + 30s));
    window.on_renewed(start + 31s);
    BOOST_TEST(!window.is_open(start + 31s));
    window.on_copy_current(start + 29s);
    BOOST_TEST(window.is_open(start + 31s));
    window.on_ended();
    BOOST_TEST(!window.is_open(start + 31s));
}

BOOST_AUTO_TEST_SUITE_END()
