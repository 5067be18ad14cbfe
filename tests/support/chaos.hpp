/// @file
/// @brief Random overlapping faults under queries and keyed requests.
#pragma once

#include <boost/test/unit_test.hpp>

#include <support/checks.hpp>

namespace hawthornrelay::tests::support
{

inline fleet_shape seeded_shape(std::uint64_t seed)
{
    fleet_shape shape;
    shape.seed = seed;
    return shape;
}

/// Starts and ends random faults of nodes, links, platform, targets and zones.
class chaos
{
  public:
    chaos(fleet& cluster, std::uint64_t seed) : cluster(cluster), random(seed)
    {
    }

    /// Starts or ends one random fault.
    void step()
    {
        const auto i = this->random() % this->cluster.shape.nodes;
        const auto j = this->random() % this->cluster.shape.nodes;
        switch (this->random() % 9)
        {
        case 0:
            this->kill_or_restart(i);
            break;
        case 1:
            this->pause_or_resume(i);
            break;
        case 2:
            this->cluster.cuts.insert({i, j});
            break;
        case 3:
            this->cluster.heal();
            break;
        case 4:
            this->cluster.platform_down = !this->cluster.platform_down;
            break;
        case 5:
            this->cluster.platform_cuts.insert(i);
            break;
        case 6:
            this->cluster.platform_loses_answers =
                !this->cluster.platform_loses_answers;
            break;
        case 7:
            this->cluster.stop_target(fleet::address(i, j % 2),
                                      std::chrono::milliseconds(300));
            break;
        default:
            this->zone_out = !this->zone_out;
            this->cluster.write("config/zones/chiloe",
                                this->zone_out ? R"({"out":true})"
                                               : R"({"out":false})");
        }
    }

    /// Ends all faults and starts the nodes that are down.
    void end_all()
    {
        this->cluster.heal();
        this->cluster.platform_down = false;
        this->cluster.platform_loses_answers = false;
        for (std::size_t i = 0; i < this->cluster.shape.nodes; ++i)
        {
            if (this->paused.contains(i))
            {
                this->pause_or_resume(i);
            }
            if (!this->cluster.is_running(i))
            {
                this->cluster.start(i);
            }
        }
        if (this->zone_out)
        {
            this->cluster.write("config/zones/chiloe", R"({"out":false})");
        }
    }

    /// Sends one keyed request up to three times, each time through a random
    /// node, and records the codes of the answers.
    void send_keyed_request()
    {
        const auto i = this->random() % this->cluster.shape.nodes;
        if (!this->cluster.is_running(i) || this->paused.contains(i))
        {
            return;
        }
        const auto key = this->cluster.node(i).issue_key(fleet::key_digest());
        if (!key)
        {
            return;
        }
        const auto number = this->outcomes.size();
        this->outcomes.emplace_back();
        for (int resend = 0; resend < 3; ++resend)
        {
            const auto via = this->random() % this->cluster.shape.nodes;
            if (!this->cluster.is_running(via) || this->paused.contains(via))
            {
                continue;
            }
            this->cluster.node(via).submit_keyed(
                fleet::key_digest(),
                {*key,
                 "s" + std::to_string(number % 20),
                 "book-" + std::to_string(number),
                 std::chrono::milliseconds(400)},
                [this, number](const core::idempotency::keyed_outcome& outcome)
                {
                    this->outcomes[number].push_back(outcome.code);
                });
        }
    }

    /// Codes of the answers to each keyed request, in the order of
    /// send_keyed_request().
    std::vector<std::vector<result_code>> outcomes;

  private:
    void kill_or_restart(std::size_t i)
    {
        if (this->cluster.is_running(i))
        {
            this->paused.erase(i);
            this->cluster.kill(i);
        }
        else
        {
            this->cluster.start(i);
        }
    }

    void pause_or_resume(std::size_t i)
    {
        if (!this->cluster.is_running(i))
        {
            return;
        }
        if (this->paused.erase(i) != 0)
        {
            this->cluster.resume(i);
        }
        else
        {
            this->paused.insert(i);
            this->cluster.pause(i);
        }
    }

    fleet& cluster;
    std::mt19937_64 random;
    std::set<std::size_t> paused;
    bool zone_out = false;
};

/// @brief Runs random faults for 40 s, ends them, and checks the invariants,
///        the recovery, and that each keyed request ran at most once.
/// @param seed of the fleet and the faults
inline void expect_recovery_after_chaos(std::uint64_t seed)
{
    using namespace std::chrono_literals;

    fleet cluster(seeded_shape(seed));
    invariant_checks watcher(cluster);
    traffic queries(cluster, 0.25);
    cluster.start_all();
    cluster.loop.run_for(10s);
    queries.start();
    chaos faults(cluster, seed);
    for (int step = 0; step < 40; ++step)
    {
        faults.step();
        for (int i = 0; i < 10; ++i)
        {
            faults.send_keyed_request();
            cluster.loop.run_for(std::chrono::milliseconds(100));
        }
    }
    faults.end_all();
    cluster.loop.run_for(25s);
    const auto settled_from = cluster.loop.now();
    cluster.loop.run_for(5s);
    queries.stop();
    cluster.loop.run_for(3s);

    BOOST_TEST(
        watcher.violations.empty(),
        (watcher.violations.empty() ? std::string() : watcher.violations[0]));
    BOOST_TEST(watcher.overload_crashes() == 0U);
    BOOST_TEST(queries.complete_fraction(settled_from, settled_from + 5s) >
               0.99);
    for (const auto& item : queries.records)
    {
        BOOST_TEST(item.has_one_version);
    }
    std::map<std::string, int> executions;
    for (const auto& [address, model] : cluster.targets)
    {
        for (const auto& [body, count] : model.executions)
        {
            executions[body] += count;
        }
    }
    for (std::size_t i = 0; i < faults.outcomes.size(); ++i)
    {
        const auto ran = executions["book-" + std::to_string(i)];
        BOOST_TEST(ran <= 1);
        for (const auto code : faults.outcomes[i])
        {
            BOOST_TEST((code != result_code::ok || ran == 1));
        }
    }
}

} // namespace hawthornrelay::tests::support
