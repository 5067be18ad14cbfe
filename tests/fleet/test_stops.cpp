// Tests that a planned stop of a node makes no request fail.
#define BOOST_TEST_MODULE stops
#include <boost/test/unit_test.hpp>

#include <support/checks.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result_code;
using tests::support::fleet;
using tests::support::invariant_checks;
using tests::support::traffic;

namespace
{

/// Callers that ask for addresses and cache the answer for its time to live.
class address_callers
{
  public:
    explicit address_callers(fleet& cluster) : cluster(cluster)
    {
    }

    std::size_t sent = 0;
    std::size_t complete = 0;
    std::size_t failed = 0;

    void run(tests::support::duration time)
    {
        const auto end = this->cluster.loop.now() + time;
        while (this->cluster.loop.now() < end)
        {
            this->send(this->next_node());
            this->cluster.loop.run_for(10ms);
        }
    }

  private:
    std::size_t next_node()
    {
        const auto now = this->cluster.loop.now();
        if (now < this->cache_expires_at && !this->cached_nodes.empty())
        {
            return this->cached_nodes[this->sent % this->cached_nodes.size()];
        }
        this->cached_nodes.clear();
        for (std::size_t i = 0; i < this->cluster.shape.nodes; ++i)
        {
            const auto answer =
                this->cluster.is_running(i)
                    ? this->cluster.node(i).addresses(fleet::key_digest())
                    : core::base::result<core::addresses::address_answer>(
                          core::base::fail(result_code::node_not_ready));
            if (answer)
            {
                this->cache_expires_at = now + answer->time_to_live;
                for (const auto& text : answer->addresses)
                {
                    this->cached_nodes.push_back(
                        static_cast<std::size_t>(text.back() - '0'));
                }
                return this->next_node();
            }
        }
        return 0;
    }

    void send(std::size_t i)
    {
        ++this->sent;
        if (!this->cluster.is_running(i))
        {
            ++this->failed;
            return;
        }
        this->cluster.query(i,
                            "q" + std::to_string(this->sent),
                            1s,
                            [this](const core::query::query_answer& answer)
                            {
                                const bool is_whole =
                                    answer.answered ==
                                    this->cluster.shape.services;
                                ++(is_whole ? this->complete : this->failed);
                            });
    }

    fleet& cluster;
    std::vector<std::size_t> cached_nodes;
    tests::support::time_point cache_expires_at;
};

struct running_fleet
{
    running_fleet()
    {
        this->cluster.start_all();
        this->cluster.loop.run_for(12s);
    }

    /// Stops a node as SIGTERM does; its process ends when the stop completes.
    void stop(std::size_t i)
    {
        this->cluster.node(i).stop(
            [this, i]
            {
                this->stopped.push_back(i);
                this->cluster.loop.after(std::chrono::microseconds(0),
                                         [this, i]
                                         {
                                             this->cluster.kill(i);
                                         });
            });
    }

    fleet cluster{{}};
    invariant_checks invariants{cluster};
    address_callers callers{cluster};
    std::vector<std::size_t> stopped;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stops, running_fleet)

BOOST_AUTO_TEST_CASE(stopping_every_node_in_turn_fails_no_request)
{
    this->callers.run(1s);
    for (std::size_t i = 0; i < 8; ++i)
    {
        this->stop(i);
        this->callers.run(10s);
        BOOST_TEST(this->stopped.size() == i + 1);
        this->cluster.start(i);
        this->callers.run(10s);
    }
    this->cluster.loop.run_for(2s);
    BOOST_TEST(this->callers.failed == 0U);
    BOOST_TEST(this->callers.complete == this->callers.sent);
    BOOST_TEST(this->invariants.violations.empty());
    BOOST_TEST(this->invariants.overload_crashes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_stop_in_an_outage_fails_no_request)
{
    this->cluster.platform_down = true;
    this->callers.run(8s);
    this->stop(2);
    this->callers.run(40s);
    this->cluster.loop.run_for(2s);
    BOOST_TEST(this->stopped.size() == 1U);
    BOOST_TEST(this->callers.failed == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
