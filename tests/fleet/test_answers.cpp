// Tests that each answer comes from one version of the index, reaches the
// caller that asked, and reports exactly what it covers.
#define BOOST_TEST_MODULE answers
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

struct running_fleet
{
    running_fleet()
    {
        this->cluster.start_all();
        this->cluster.loop.run_for(10s);
        this->queries.start();
        this->cluster.loop.run_for(2s);
    }

    void expect_one_version()
    {
        for (const auto& item : this->queries.records)
        {
            BOOST_TEST(item.has_one_version);
        }
    }

    fleet cluster{{}};
    invariant_checks invariants{cluster};
    traffic queries{cluster, 0.35};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(snapshots, running_fleet)

BOOST_AUTO_TEST_CASE(a_rolling_publication_mixes_no_versions)
{
    const auto from = this->cluster.loop.now();
    for (auto& [address, model] : this->cluster.targets)
    {
        model.newest = 2;
        this->cluster.loop.run_for(50ms);
    }
    this->cluster.loop.run_for(1s);
    for (auto& [address, model] : this->cluster.targets)
    {
        model.oldest = 2;
        this->cluster.loop.run_for(50ms);
    }
    this->cluster.loop.run_for(3s);
    this->expect_one_version();
    BOOST_TEST(this->queries.complete_fraction(
                   from, this->cluster.loop.now() - 2s) > 0.99);
    BOOST_TEST(this->queries.records.back().version == 2U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_knows_no_versions_mixes_none)
{
    for (std::size_t s = 0; s < this->cluster.shape.services; s += 2)
    {
        for (std::size_t r = 0; r < this->cluster.shape.replicas; ++r)
        {
            this->cluster.targets.at(fleet::address(s, r)).newest = 2;
        }
    }
    this->queries.stop();
    this->cluster.loop.run_for(1s);
    for (int round = 0; round < 3; ++round)
    {
        this->cluster.kill(3);
        this->cluster.start(3);
        this->cluster.loop.run_for(12s);
        std::optional<core::query::query_answer> answer;
        this->cluster.query(3,
                            "fresh",
                            1s,
                            [&](core::query::query_answer received)
                            {
                                answer = std::move(received);
                            });
        this->cluster.loop.run_for(1s);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->answered == this->cluster.shape.services);
        BOOST_TEST(answer->version == 1U);
        for (const auto& shard : answer->shards)
        {
            BOOST_TEST(shard.body.starts_with("v1:"), shard.body);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_abrupt_change_of_version_mixes_none)
{
    for (std::uint64_t version = 2; version < 12; ++version)
    {
        for (auto& [address, model] : this->cluster.targets)
        {
            model.newest = version;
            model.oldest = version;
        }
        this->cluster.loop.run_for(500ms);
    }
    this->expect_one_version();
    BOOST_TEST(this->queries.records.size() > 100U);
}

BOOST_AUTO_TEST_CASE(a_repartition_under_queries_reports_its_coverage)
{
    const auto revision_before =
        this->cluster.node(0).control_state().store().current();
    this->cluster.write("config/services/s5", "");
    this->cluster.loop.run_for(2s);
    BOOST_TEST(this->cluster.node(0).control_state().store().current() >
               revision_before);
    const auto& last = this->queries.records.back();
    BOOST_TEST(last.answered == this->cluster.shape.services - 1);
    this->expect_one_version();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(coverage, running_fleet)

BOOST_AUTO_TEST_CASE(a_service_without_replicas_is_named_as_missing)
{
    for (const auto* address : {"s9-r0", "s9-r1"})
    {
        this->cluster.stop_target(address, 60s);
    }
    this->cluster.loop.run_for(1s);
    std::optional<core::query::query_answer> answer;
    this->cluster.query(0,
                        "splitter",
                        500ms,
                        [&](core::query::query_answer received)
                        {
                            answer = std::move(received);
                        });
    this->cluster.loop.run_for(1s);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->answered == this->cluster.shape.services - 1);
    std::size_t missing = 0;
    for (const auto& shard : answer->shards)
    {
        const bool is_stopped = shard.service == "s9";
        BOOST_TEST((shard.code == result_code::ok) == !is_stopped);
        missing += is_stopped ? 1 : 0;
    }
    BOOST_TEST(missing == 1U);
}

BOOST_AUTO_TEST_CASE(one_replica_lost_leaves_coverage_whole)
{
    const auto from = this->cluster.loop.now();
    this->cluster.stop_target("s1-r0", 60s);
    this->cluster.loop.run_for(10s);
    BOOST_TEST(this->queries.complete_fraction(
                   from + 1s, this->cluster.loop.now() - 2s) > 0.999);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(correlation, running_fleet)

BOOST_AUTO_TEST_CASE(each_caller_gets_the_answer_to_its_own_request)
{
    std::size_t answered = 0;
    for (int i = 0; i < 300; ++i)
    {
        const auto body = "caller-" + std::to_string(i);
        const auto entry = static_cast<std::size_t>(i) % 8;
        if (!this->cluster.is_running(entry))
        {
            continue;
        }
        this->cluster.query(
            entry,
            body,
            1s,
            [&answered, body](const core::query::query_answer& answer)
            {
                for (const auto& shard : answer.shards)
                {
                    const bool is_own =
                        shard.code != result_code::ok ||
                        shard.body.substr(shard.body.find(':') + 1) == body;
                    BOOST_TEST(is_own);
                }
                answered += answer.answered == 20 ? 1 : 0;
            });
        this->cluster.loop.run_for(5ms);
        if (i == 100)
        {
            // Answers to the first incarnation must not reach the second.
            this->cluster.kill(3);
            this->cluster.start(3);
        }
    }
    this->cluster.loop.run_for(3s);
    BOOST_TEST(answered > 200U);
}

BOOST_AUTO_TEST_CASE(answers_to_an_earlier_incarnation_are_dropped)
{
    std::size_t answered = 0;
    const auto send_queries = [&](const std::string& prefix)
    {
        for (int i = 0; i < 2; ++i)
        {
            const auto body = prefix + std::to_string(i);
            this->cluster.query(
                3,
                body,
                1s,
                [&answered, body](const core::query::query_answer& answer)
                {
                    for (const auto& shard : answer.shards)
                    {
                        const auto text =
                            shard.body.substr(shard.body.find(':') + 1);
                        BOOST_TEST(
                            (shard.code != result_code::ok || text == body));
                    }
                    answered += answer.answered;
                });
        }
    };
    this->queries.stop();
    this->cluster.loop.run_for(2s);
    for (auto& [address, model] : this->cluster.targets)
    {
        model.draw_work_time = []
        {
            return 700ms;
        };
    }
    for (int round = 0; round < 3; ++round)
    {
        this->cluster.kill(3);
        this->cluster.start(3);
        this->cluster.loop.run_for(3s);
        send_queries("before-");
        this->cluster.loop.run_for(20ms); // the work has reached the targets
        this->cluster.kill(3);
        this->cluster.start(3);
        this->cluster.loop.run_for(400ms);
        send_queries("after-");
        this->cluster.loop.run_for(3s);
    }
    BOOST_TEST(answered > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
