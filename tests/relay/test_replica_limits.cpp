// Tests that replicas which name a limit on requests get no more than that from
// all nodes together, and that callers are served as far as it allows.
#define BOOST_TEST_MODULE replica_limits
#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

#include <support/relay_fleet.hpp>
#include <support/relay_patterns.hpp>

using namespace hawthornrelay::tests::support;

namespace
{

/// The platform counts arrivals in any window of this length, from this long
/// after a replica first named a limit, of nodes that were told before.
constexpr std::chrono::seconds window{4};
constexpr std::chrono::seconds settling_time{4};
constexpr std::chrono::milliseconds told_before{500};

/// The most that the platform allows in a window.
double allowed(double limit)
{
    return 1.5 * limit * 4 + 5;
}

/// Nodes in front of replicas, some of which name a limit.
class limited_fleet
{
  public:
    explicit limited_fleet(std::size_t nodes)
        : fleet(nodes,
                [this](std::size_t node,
                       const relay::replica& replica,
                       const std::string&)
                {
                    return this->reply(node, replica);
                })
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            // Nodes rank each other in the same order for a replica.
            this->fleet.nodes[i]->engine.rank_among_entries =
                [i](const std::string&)
            {
                return i;
            };
            this->fleet.nodes[i]->replicas.health =
                [this](const relay::replica& replica)
            {
                hawthornrelay::ports::health_report report{
                    true, true, std::nullopt};
                report.rate_limit = this->limit_of(replica);
                return report;
            };
        }
        this->fleet.on_step = [this](time_point now)
        {
            if (relay_fleet::is_due(now, 250ms))
            {
                for (const auto& node : this->fleet.nodes)
                {
                    node->engine.refresh_limits();
                }
            }
        };
    }

    /// Sends requests to one node after the other.
    void send(const std::string& path, double per_second, duration length)
    {
        const auto gap = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1.0 / per_second));
        for (auto left = length; left > duration(0); left -= gap)
        {
            auto& node =
                *this->fleet.nodes[this->sent % this->fleet.nodes.size()];
            node.start("q" + std::to_string(this->sent++), path, 1500ms);
            this->fleet.run_for(gap);
        }
    }

    [[nodiscard]] std::optional<double>
    limit_of(const relay::replica& replica) const
    {
        const auto found = this->limits.find(replica.record.id);
        return found == this->limits.end() ? std::nullopt
                                           : std::optional(found->second);
    }

    /// Answers with a code, over all nodes.
    [[nodiscard]] std::size_t count(result_code code) const
    {
        std::size_t result = 0;
        for (const auto& node : this->fleet.nodes)
        {
            for (const auto& [id, answer] : node->answers)
            {
                result += answer.code == code ? 1 : 0;
            }
        }
        return result;
    }

    relay_fleet fleet;
    std::map<std::string, double> limits; ///< by replica
    std::map<std::string, std::size_t> most_in_window;
    std::map<std::string, std::size_t> arrivals;
    std::size_t sent = 0;

  private:
    scripted_reply reply(std::size_t node, const relay::replica& replica)
    {
        const auto now = this->fleet.now();
        const auto& id = replica.record.id;
        ++this->arrivals[id];
        scripted_reply answer;
        answer.rate_limit = this->limit_of(replica);
        if (!answer.rate_limit)
        {
            this->told_at.erase(id);
            return answer;
        }
        auto& told = this->told_at[id];
        if (told.empty())
        {
            this->named_at[id] = now;
        }
        told.emplace(node, now);
        const bool counts = now >= told.at(node) + told_before &&
                            now >= this->named_at[id] + settling_time;
        if (counts)
        {
            auto& recent = this->recent[id];
            recent.push_back(now);
            while (recent.front() <= now - window)
            {
                recent.pop_front();
            }
            auto& most = this->most_in_window[id];
            most = std::max(most, recent.size());
        }
        return answer;
    }

    std::map<std::string, std::map<std::size_t, time_point>> told_at;
    std::map<std::string, time_point> named_at;
    std::map<std::string, std::deque<time_point>> recent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(named_limits)

// Guards against: a replica gets more requests than the limit that it names, in
// first sends.
BOOST_AUTO_TEST_CASE(a_limited_replica_gets_no_more_than_it_takes)
{
    for (const auto nodes : {1U, 8U, 14U})
    {
        for (const auto limit : {0.0, 0.3, 1.7, 8.0})
        {
            limited_fleet simulation(nodes);
            simulation.send("/l/x", 20, 2s);
            simulation.limits["book-a"] = limit;
            simulation.send("/l/x", 20, 40s);
            BOOST_TEST(simulation.most_in_window["book-a"] <= allowed(limit),
                       nodes << " nodes, limit " << limit);
            BOOST_TEST(simulation.count(result_code::ok) == simulation.sent);
        }
    }
}

// Guards against: hedges and retries of searches are sent to the limited
// replica of a shard beyond its limit.
BOOST_AUTO_TEST_CASE(extra_sends_of_searches_keep_the_limit)
{
    limited_fleet simulation(8);
    simulation.send("/s/x", 90, 1s);
    simulation.limits["shard3-a"] = 22.5;
    simulation.limits["shard4-b"] = 3;
    simulation.send("/s/x", 90, 12s);
    BOOST_TEST(simulation.most_in_window["shard3-a"] <= allowed(22.5));
    BOOST_TEST(simulation.most_in_window["shard4-b"] <= allowed(3));
    BOOST_TEST(simulation.count(result_code::ok) == simulation.sent);
}

// Guards against: many nodes that have not sent for long each send at the same
// moment.
BOOST_AUTO_TEST_CASE(a_burst_at_all_nodes_keeps_the_limit)
{
    for (const auto nodes : {14U, 60U})
    {
        limited_fleet simulation(nodes);
        simulation.limits["book-a"] = 1.7;
        simulation.limits["book-b"] = 1.7;
        simulation.send("/l/x", 40, 8s);
        for (int i = 0; i < 3; ++i)
        {
            simulation.fleet.run_for(60s);
            for (const auto& node : simulation.fleet.nodes)
            {
                node->start("b" + std::to_string(i), "/l/x", 1500ms);
            }
        }
        simulation.fleet.run_for(5s);
        BOOST_TEST(simulation.most_in_window["book-a"] <= allowed(1.7));
        BOOST_TEST(simulation.most_in_window["book-b"] <= allowed(1.7));
    }
}

// Load above what all replicas of a service take: what they take is served, the
// rest is refused at once, as not run, with the time of the next free send.
BOOST_AUTO_TEST_CASE(load_above_all_limits_is_refused_at_once)
{
    limited_fleet simulation(8);
    simulation.limits["book-a"] = 5;
    simulation.limits["book-b"] = 5;
    simulation.send("/l/x", 40, 5s);
    const auto before = simulation.count(result_code::ok);
    simulation.send("/l/x", 40, 20s);
    simulation.fleet.run_for(2s);
    const auto served = simulation.count(result_code::ok) - before;
    BOOST_TEST(served >= 160U);
    BOOST_TEST(simulation.most_in_window["book-a"] <= allowed(5));
    for (const auto& node : simulation.fleet.nodes)
    {
        for (const auto& [id, answer] : node->answers)
        {
            if (answer.code != result_code::ok)
            {
                BOOST_TEST(answer.is_not_run);
                BOOST_TEST((node->latencies.at(id) < 5ms));
                BOOST_TEST((answer.retry_after >= 20ms));
                BOOST_TEST((answer.retry_after <= 1000ms));
            }
        }
    }
}

// A shard whose replicas take almost nothing is left out of searches.
BOOST_AUTO_TEST_CASE(a_limited_shard_is_left_out)
{
    limited_fleet simulation(8);
    simulation.limits["shard3-a"] = 0.2;
    simulation.limits["shard3-b"] = 0.2;
    simulation.send("/s/x", 40, 10s);
    BOOST_TEST(simulation.count(result_code::ok) == simulation.sent);
    BOOST_TEST(simulation.most_in_window["shard3-a"] <= allowed(0.2));
}

// Once its answers name no limit, a replica is used as before by all nodes.
BOOST_AUTO_TEST_CASE(a_limit_ends_when_answers_name_none)
{
    limited_fleet simulation(14);
    simulation.limits["book-a"] = 1.7;
    simulation.send("/l/x", 40, 8s);
    simulation.limits.clear();
    simulation.send("/l/x", 40, 15s);
    simulation.arrivals.clear();
    simulation.send("/l/x", 40, 10s);
    BOOST_TEST(simulation.arrivals["book-a"] >= 150U);
}

BOOST_AUTO_TEST_SUITE_END()
