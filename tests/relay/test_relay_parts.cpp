// Tests of the extra-send budget, the merging of records, routing, the replica
// registry and the store mirror.
#define BOOST_TEST_MODULE relay_parts
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include <core/relay/configuration.hpp>
#include <core/relay/extra_budget.hpp>
#include <core/relay/record_merge.hpp>
#include <core/relay/replica_registry.hpp>
#include <core/relay/store_mirror.hpp>
#include <support/relay_simulation.hpp>

using namespace hawthornrelay;
using namespace hawthornrelay::core::relay;
using namespace std::chrono_literals;
using core::base::duration;
using core::base::time_point;
using tests::support::recording_log;

namespace
{

const time_point begin{1h};

/// Extra sends that the platform allows in the window from `window_start`.
double max_extra_sends(const std::vector<time_point>& requests,
                       time_point window_start)
{
    const auto count_from = [&](time_point start)
    {
        return static_cast<double>(std::count_if(requests.begin(),
                                                 requests.end(),
                                                 [&](time_point at)
                                                 {
                                                     return at >= start &&
                                                            at < start + 10s;
                                                 }));
    };
    return 56 + 0.2 * std::max({count_from(window_start),
                                count_from(window_start - 10s),
                                count_from(window_start - 5s)});
}

replica_record replica_of(const std::string& id, std::uint64_t sequence)
{
    replica_record record;
    record.id = id;
    record.service = "s";
    record.address = "10.0.0.1:80";
    record.zone = "z";
    record.started_at = 5;
    record.sequence = sequence;
    return record;
}

ports::store_item item(const std::string& key, std::uint64_t revision)
{
    return {key, "v" + std::to_string(revision), revision, false, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(extra_sends)

// Compares the budgets of the nodes with the platform's rule, which covers all
// nodes together. Sends arrive up to 100 ms after their decision.
BOOST_AUTO_TEST_CASE(nodes_together_keep_the_bound_in_any_window)
{
    BOOST_TEST(rc::check(
        [](std::uint32_t seed)
        {
            std::uint64_t state = seed;
            const auto random = [&state](std::uint64_t below)
            {
                state = state * 6364136223846793005ULL + 1442695040888963407ULL;
                return (state >> 33U) % below;
            };
            const unsigned nodes = 1 + static_cast<unsigned>(random(8));
            std::vector<extra_budget> budgets;
            for (unsigned i = 0; i < nodes; ++i)
            {
                budgets.emplace_back(
                    extra_budget_settings{.slack = 56}, begin, true);
                budgets.back().set_division(nodes, true, begin);
            }
            std::vector<time_point> requests;
            std::vector<time_point> arrivals;
            auto now = begin;
            const auto sends_per_request = random(4);
            for (int step = 0; step < 3000; ++step)
            {
                now += std::chrono::milliseconds(random(20));
                auto& budget = budgets[random(nodes)];
                budget.on_request("s", now);
                requests.push_back(now);
                for (std::uint64_t i = 0; i < sends_per_request; ++i)
                {
                    if (budget.try_reserve("s", now))
                    {
                        const auto delay =
                            std::chrono::milliseconds(random(100));
                        arrivals.push_back(now + delay);
                        budget.on_settled("s", now + delay);
                    }
                }
            }
            std::sort(arrivals.begin(), arrivals.end());
            for (std::size_t i = 0; i < arrivals.size(); i += 7)
            {
                const auto end = std::lower_bound(
                    arrivals.begin(), arrivals.end(), arrivals[i] + 10s);
                const auto count = std::distance(
                    arrivals.begin() + static_cast<std::ptrdiff_t>(i), end);
                RC_ASSERT(static_cast<double>(count) <=
                          max_extra_sends(requests, arrivals[i]));
            }
        }));
}

BOOST_AUTO_TEST_CASE(a_restarted_node_earns_its_slack_in_a_window)
{
    extra_budget budget({.slack = 56}, begin, false);
    BOOST_TEST(!budget.try_reserve("s", begin + 9s));
    BOOST_TEST(budget.try_reserve("s", begin + 10s));
}

BOOST_AUTO_TEST_CASE(a_node_has_slack_a_window_after_it_became_an_entry)
{
    extra_budget budget({.slack = 56}, begin, true);
    budget.set_division(8, false, begin);
    BOOST_TEST(!budget.try_reserve("s", begin + 1s));
    budget.set_division(8, true, begin + 2s); // soon after the start
    BOOST_TEST(budget.try_reserve("s", begin + 2s));
    budget.set_division(8, false, begin + 20s);
    budget.set_division(8, true, begin + 21s);
    BOOST_TEST(!budget.try_reserve("s", begin + 30s));
    BOOST_TEST(budget.try_reserve("s", begin + 31s));
    extra_budget late({.slack = 56}, begin, true);
    late.set_division(8, false, begin);
    late.set_division(8, true, begin + 100s);
    BOOST_TEST(!late.try_reserve("s", begin + 109s));
}

BOOST_AUTO_TEST_CASE(a_send_that_may_still_arrive_counts)
{
    extra_budget budget({.ratio = 0, .slack = 2, .safety = 1}, begin, true);
    BOOST_TEST(budget.try_reserve("s", begin));
    BOOST_TEST(budget.try_reserve("s", begin));
    BOOST_TEST(!budget.try_reserve("s", begin + 30s));
    budget.on_settled("s", begin + 30s);
    BOOST_TEST(!budget.try_reserve("s", begin + 39s));
    BOOST_TEST(budget.try_reserve("s", begin + 41s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(records)

BOOST_AUTO_TEST_CASE(the_greatest_are_kept_as_by_a_full_sort)
{
    BOOST_TEST(rc::check(
        [](const std::vector<std::string>& bodies, std::uint8_t limit)
        {
            std::vector<std::string_view> parts(bodies.begin(), bodies.end());
            std::vector<std::basic_string<unsigned char>> all;
            for (const auto& body : bodies)
            {
                for (std::size_t at = 0; at + 16 <= body.size(); at += 16)
                {
                    const auto record = body.substr(at, 16);
                    all.emplace_back(record.begin(), record.end());
                }
            }
            std::sort(all.rbegin(), all.rend());
            all.resize(std::min<std::size_t>(all.size(), limit));
            std::string expected;
            for (const auto& record : all)
            {
                expected.append(record.begin(), record.end());
            }
            RC_ASSERT(top_records(parts, limit) == expected);
        }));
}

BOOST_AUTO_TEST_CASE(remainders_are_no_records_and_equal_ones_all_count)
{
    const std::string high(16, '\xff');
    const std::string low(16, 'a');
    const auto body = low + high + "rest";
    BOOST_TEST((top_records({body, high}, 9) == high + high + low));
    BOOST_TEST((top_records({body, high}, 2) == high + high));
    BOOST_TEST(top_records({"short"}, 9).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    configuration config;
    for (const auto* prefix : {"/a/", "/a/b/", "/c/"})
    {
        route added;
        added.name = prefix;
        added.host = "h.example";
        added.prefix = prefix;
        config.routes.push_back(added);
    }
    const auto name = [&](std::string_view host, std::string_view target)
    {
        const auto* found = find_route(config, host, target);
        return found == nullptr ? std::string("-") : found->name;
    };
    BOOST_TEST(name("h.example", "/a/x") == "/a/");
    BOOST_TEST(name("H.Example:80", "/a/b/x?q=/c/") == "/a/b/");
    BOOST_TEST(name("h.example", "/a") == "-");
    BOOST_TEST(name("other.example", "/a/x") == "-");
    BOOST_TEST(name("h.example", "/x?/a/") == "-");
}

BOOST_AUTO_TEST_CASE(three_hundred_requests_follow_the_weights)
{
    weighted_choice choice;
    const std::vector<weighted_service> to{{"a", 0.7}, {"b", 0.2}, {"c", 0.1}};
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 300; ++i)
    {
        ++counts[choice.next(to)];
    }
    BOOST_TEST(counts[0] == 210);
    BOOST_TEST(counts[1] == 60);
    BOOST_TEST(counts[2] == 30);
}

BOOST_AUTO_TEST_CASE(the_least_number_of_shards_is_rounded_up_exactly)
{
    route search;
    search.shards.assign(100, "s");
    search.min_shard_ratio = 0.89;
    BOOST_TEST(search.min_shards() == 89U);
    search.shards.assign(20, "s");
    BOOST_TEST(search.min_shards() == 18U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(registrations)

BOOST_AUTO_TEST_CASE(a_lapsed_registration_is_kept_for_two_seconds)
{
    replica_registry registry;
    registry.put(replica_of("r", 1), begin);
    registry.remove("r", true, begin);
    BOOST_TEST(registry.usable("s", begin + 1s).size() == 1U);
    BOOST_TEST(registry.expire(begin + 1999ms).empty());
    BOOST_TEST(registry.expire(begin + 2s).size() == 1U);
    BOOST_TEST(registry.usable("s", begin + 2s).empty());
}

BOOST_AUTO_TEST_CASE(a_removal_in_calm_times_counts_at_once)
{
    replica_registry registry;
    registry.put(replica_of("r", 1), begin);
    registry.remove("r", false, begin);
    BOOST_TEST(registry.usable("s", begin).empty());
}

BOOST_AUTO_TEST_CASE(an_older_registration_of_a_replica_is_ignored)
{
    replica_registry registry;
    auto draining = replica_of("r", 4);
    draining.is_draining = true;
    registry.put(draining, begin);
    registry.put(replica_of("r", 3), begin);
    BOOST_TEST(registry.usable("s", begin).empty());
    auto restarted = replica_of("r", 1);
    restarted.started_at = 6;
    registry.put(restarted, begin);
    BOOST_TEST(registry.usable("s", begin).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_registration_removes_only_its_replica)
{
    replica_registry registry;
    registry.put(replica_of("r", 1), begin);
    registry.put(replica_of("q", 1), begin);
    registry.remove_unreadable("r", begin);
    BOOST_TEST(registry.usable("s", begin).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(mirror)

// Guards against: large values that are written again and again fill the memory
// of the process.
BOOST_AUTO_TEST_CASE(the_history_is_bounded_in_bytes)
{
    recording_log log;
    store_mirror copy(log, [](const ports::store_item&) {});
    copy.apply_listing({{}, false, 1}, false);
    constexpr std::uint64_t writes = 200;
    for (std::uint64_t i = 2; i < writes; ++i)
    {
        copy.apply_changes({{{"k", std::string(1U << 20U, 'x'), i}}, false, i});
    }
    BOOST_TEST(!copy.changes_since({1}));
    BOOST_TEST(!copy.changes_since({writes - 10}));
    BOOST_TEST(copy.changes_since({writes - 2}).has_value());
    BOOST_TEST(copy.listing().items.size() == 1U);
}

BOOST_AUTO_TEST_CASE(values_only_move_forward)
{
    std::vector<std::string> applied;
    recording_log log;
    store_mirror copy(log,
                      [&](const ports::store_item& changed)
                      {
                          applied.push_back(changed.key + changed.value);
                      });
    copy.apply_listing({{item("k", 5)}, false, 6}, false);
    copy.apply_changes({{item("k", 4), item("k", 5)}, false, 4});
    copy.apply_changes({{item("k", 7)}, false, 7});
    BOOST_TEST((applied == std::vector<std::string>{"kv5", "kv7"}));
    BOOST_TEST(copy.position().revision == 7U);
}

BOOST_AUTO_TEST_CASE(a_listing_removes_what_it_does_not_name)
{
    std::size_t removed = 0;
    recording_log log;
    store_mirror copy(log,
                      [&](const ports::store_item& changed)
                      {
                          removed +=
                              changed.is_removed && changed.may_have_lapsed;
                      });
    copy.apply_listing({{item("old", 1), item("new", 9)}, false, 9}, false);
    copy.apply_listing({{}, false, 5}, true); // from a source that lags
    BOOST_TEST(removed == 1U);
    BOOST_TEST(copy.listing().items.size() == 1U);
    BOOST_TEST(copy.position().revision == 9U);
}

BOOST_AUTO_TEST_CASE(an_earlier_era_is_refused)
{
    recording_log log;
    store_mirror copy(log, [](const ports::store_item&) {});
    BOOST_TEST(copy.apply_listing({{item("k", 5)}, false, 5, 2}, false));
    BOOST_TEST(!copy.apply_listing({{item("k", 9)}, false, 9, 1}, false));
    BOOST_TEST(!copy.apply_changes({{item("k", 9)}, false, 9, 1}));
    BOOST_TEST(copy.listing().items.front().value == "v5");
    BOOST_TEST(!copy.changes_since({5, 1}));
    BOOST_TEST(copy.changes_since({5, 2}).has_value());
}

BOOST_AUTO_TEST_CASE(others_get_the_changes_they_miss_or_must_list)
{
    recording_log log;
    store_mirror copy(log, [](const ports::store_item&) {});
    BOOST_TEST(!copy.changes_since({0}));
    copy.apply_listing({{item("k", 5)}, false, 10}, false);
    copy.apply_changes({{item("l", 11), item("m", 12)}, false, 12});
    BOOST_TEST(copy.changes_since({10})->items.size() == 2U);
    BOOST_TEST(copy.changes_since({11})->items.size() == 1U);
    BOOST_TEST(copy.changes_since({12})->items.empty());
    BOOST_TEST(!copy.changes_since({9}));
}

BOOST_AUTO_TEST_SUITE_END()
