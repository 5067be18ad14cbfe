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
    chaos(fleet& all, std::uint64_t seed) : all(all), random(seed)
    {
    }

    /// Starts or ends one random fault.
    void step()
    {
        const auto i = this->random() % this->all.shape.nodes;
        const auto j = this->random() % this->all.shape.nodes;
        switch (this->random() % 9)
        {
        case 0:
            this->kill_or_restart(i);
            break;
        case 1:
            this->pause_or_resume(i);
            break;
        case 2:
            this->all.cuts.insert({i, j});
            break;
        case 3:
            this->all.heal();
            break;
        case 4:
            this->all.platform_down = !this->all.platform_down;
            break;
        case 5:
            this->all.platform_cuts.insert(i);
            break;
        case 6:
            this->all.platform_loses_answers =
                !this->all.platform_loses_answers;
            break;
        case 7:
            this->all.stop_target(fleet::address(i, j % 2),
                                  std::chrono::milliseconds(300));
            break;
        default:
            this->zone_out = !this->zone_out;
            this->all.write("config/zones/chiloe",
                            this->zone_out ? R"({"out":true})"
                                           : R"({"out":false})");
        }
    }

    /// Ends all faults and starts the nodes that are down.
    void end_all()
    {
        this->all.heal();
        this->all.platform_down = false;
        this->all.platform_loses_answers = false;
        for (std::size_t i = 0; i < this->all.shape.nodes; ++i)
        {
            if (this->paused.contains(i))
            {
                this->pause_or_resume(i);
            }
            if (!this->all.is_running(i))
            {
                this->all.start(i);
            }
        }
        if (this->zone_out)
        {
            this->all.write("config/zones/chiloe", R"({"out":false})");
        }
    }

    /// Sends one keyed request up to three times, each time through a random
    /// node, and records the codes of the answers.
    void send_keyed_request()
    {
        const auto i = this->random() % this->all.shape.nodes;
        if (!this->all.is_running(i) || this->paused.contains(i))
        {
            return;
        }
        const auto key = this->all.node(i).issue_key(fleet::key_digest());
        if (!key)
        {
            return;
        }
        const auto number = this->outcomes.size();
        this->outcomes.emplace_back();
        for (int resend = 0; resend < 3; ++resend)
        {
            const auto via = this->random() % this->all.shape.nodes;
            if (!this->all.is_running(via) || this->paused.contains(via))
            {
                continue;
            }
            this->all.node(via).submit_keyed(
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
        if (this->all.is_running(i))
        {
            this->paused.erase(i);
            this->all.kill(i);
        }
        else
        {
            this->all.start(i);
        }
    }

    void pause_or_resume(std::size_t i)
    {
        if (!this->all.is_running(i))
        {
            return;
        }
        if (this->paused.erase(i) != 0)
        {
            this->all.resume(i);
        }
        else
        {
            this->paused.insert(i);
            this->all.pause(i);
        }
    }

    fleet& all;
    std::mt19937_64 random;
    std::set<std::size_t> paused;
    bool zone_out = false;
};

/// @brief Runs random faults for 40 s, ends them, and checks the invariants,
///        the recovery, and that each keyed request ran at most once.
/// @param seed of the fleet and the faults
inline void expect_order_after_chaos(std::uint64_t seed)
{
    using namespace std::chrono_literals;

    fleet all(seeded_shape(seed));
    checks watcher(all);
    traffic queries(all, 0.25);
    all.start_all();
    all.loop.run_for(10s);
    queries.start();
    chaos faults(all, seed);
    for (int step = 0; step < 40; ++step)
    {
        faults.step();
        for (int i = 0; i < 10; ++i)
        {
            faults.send_keyed_request();
            all.loop.run_for(std::chrono::milliseconds(100));
        }
    }
    faults.end_all();
    all.loop.run_for(25s);
    const auto settled_from = all.loop.now();
    all.loop.run_for(5s);
    queries.stop();
    all.loop.run_for(3s);

    BOOST_TEST(watcher.broken.empty(),
               (watcher.broken.empty() ? std::string() : watcher.broken[0]));
    BOOST_TEST(watcher.falls() == 0U);
    BOOST_TEST(queries.complete_share(settled_from, settled_from + 5s) > 0.99);
    for (const auto& item : queries.records)
    {
        BOOST_TEST(item.one_version);
    }
    std::map<std::string, int> executions;
    for (const auto& [address, model] : all.targets)
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
