// Tests of the bound on cold replicas over all nodes: in any second, a cold
// replica gets at most its rate x overshoot + slack requests.
#define BOOST_TEST_MODULE cold_replicas
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <core/base/hash.hpp>
#include <core/relay/shared_bound.hpp>
#include <support/relay_fleet.hpp>

using namespace std::chrono_literals;
using namespace hawthornrelay::tests::support;
using hawthornrelay::core::base::hash_of;
using relay::part_of;
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
