// Unit tests of classes of the core: concurrency limiters, queues, shares,
// placement, limits, configuration, freshness and request keys.
#define BOOST_TEST_MODULE core_parts
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <core/config/codec.hpp>
#include <core/config/store.hpp>
#include <core/dispatch/concurrency_limiter.hpp>
#include <core/dispatch/latency_window.hpp>
#include <core/dispatch/work_queue.hpp>
#include <core/idempotency/idempotency_table.hpp>
#include <core/idempotency/request_key.hpp>
#include <core/limits/plan_slices.hpp>
#include <core/limits/token_bucket.hpp>
#include <core/membership/freshness.hpp>
#include <core/placement/placement.hpp>
#include <core/placement/share_table.hpp>
#include <core/query/retry_budget.hpp>

using namespace hawthornrelay::core;
using namespace std::chrono_literals;
using base::result_code;
using base::time_point;

namespace
{

const time_point noon(12h);

hawthornrelay::ports::target_reply reply_of(result_code code, bool cold = false)
{
    hawthornrelay::ports::target_reply reply;
    reply.code = code;
    reply.incarnation = 1;
    reply.is_cold = cold;
    return reply;
}

/// Records one request that was sent and ended with a result code.
void send_and_finish(dispatch::concurrency_limiter& limiter,
                     result_code code,
                     time_point now,
                     base::duration latency = 8ms)
{
    limiter.sent(now);
    limiter.finished(reply_of(code), latency, now);
}

membership::member member_in(const std::string& zone, const std::string& id)
{
    membership::member result;
    result.id = id;
    result.zone = zone;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(concurrency_limiters)

BOOST_AUTO_TEST_CASE(starts_at_the_cold_limit)
{
    dispatch::concurrency_limiter limiter({}, 2, 25);
    BOOST_TEST(limiter.limit() == 1U);
    limiter.sent(noon);
    BOOST_TEST(!limiter.may_send(noon));
}

BOOST_AUTO_TEST_CASE(grows_to_the_slots_and_the_round_trip)
{
    dispatch::concurrency_limiter limiter({}, 2, 25);
    for (int i = 0; i < 100; ++i)
    {
        send_and_finish(limiter, result_code::ok, noon);
    }
    BOOST_TEST(limiter.limit() == 3U);
    BOOST_TEST(limiter.is_warm());
}

BOOST_AUTO_TEST_CASE(never_exceeds_the_connections)
{
    dispatch::concurrency_limiter limiter({}, 8, 2);
    for (int i = 0; i < 100; ++i)
    {
        send_and_finish(limiter, result_code::ok, noon);
    }
    BOOST_TEST(limiter.limit() == 2U);
}

BOOST_AUTO_TEST_CASE(resets_on_every_sign_of_a_cold_replica)
{
    for (const auto code : {result_code::target_shed,
                            result_code::target_lost,
                            result_code::target_unreachable,
                            result_code::replica_out})
    {
        dispatch::concurrency_limiter limiter({}, 2, 25);
        for (int i = 0; i < 100; ++i)
        {
            send_and_finish(limiter, result_code::ok, noon);
        }
        send_and_finish(limiter, code, noon);
        BOOST_TEST(limiter.limit() == 1U);
        BOOST_TEST(!limiter.may_send(noon));
        BOOST_TEST(limiter.may_send(noon + 1s));
    }
}

BOOST_AUTO_TEST_CASE(resets_when_the_target_reports_cold)
{
    dispatch::concurrency_limiter limiter({}, 2, 25);
    for (int i = 0; i < 100; ++i)
    {
        send_and_finish(limiter, result_code::ok, noon);
    }
    limiter.sent(noon);
    const bool turned_cold =
        limiter.finished(reply_of(result_code::ok, true), 8ms, noon);
    BOOST_TEST(turned_cold);
    BOOST_TEST(limiter.limit() == 1U);
}

BOOST_AUTO_TEST_CASE(resets_after_idle_time_that_may_hide_a_restart)
{
    dispatch::concurrency_limiter limiter({}, 2, 25);
    for (int i = 0; i < 100; ++i)
    {
        send_and_finish(limiter, result_code::ok, noon);
    }
    limiter.sent(noon + 200ms);
    BOOST_TEST(limiter.limit() == 3U);
    // The answer arrived while the node was paused. It proves only that the
    // replica was warm at the send; the replica may have restarted since.
    limiter.finished(reply_of(result_code::ok), 11s, noon + 11s);
    limiter.sent(noon + 11s + 200ms);
    BOOST_TEST(limiter.limit() == 1U);
    BOOST_TEST(!limiter.may_send(noon + 11s + 200ms));
}

BOOST_AUTO_TEST_CASE(one_straggler_is_no_sign_of_cold)
{
    dispatch::concurrency_limiter limiter({}, 2, 25);
    for (int i = 0; i < 100; ++i)
    {
        send_and_finish(limiter, result_code::ok, noon);
    }
    send_and_finish(limiter, result_code::ok, noon, 80ms);
    BOOST_TEST(limiter.limit() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(work_queues)

BOOST_AUTO_TEST_CASE(orders_hedges_then_urgency_then_deadlines)
{
    dispatch::work_queue queue;
    const auto add = [&](std::uint64_t attempt,
                         bool hedge,
                         bool urgent,
                         base::duration time_left)
    {
        messages::work_item item;
        item.attempt = attempt;
        item.hedge = hedge;
        item.urgent = urgent;
        queue.push({{"n", attempt}, item, noon + time_left});
    };
    add(1, false, false, 1s);
    add(2, false, true, 9s);
    add(3, true, false, 9s);
    add(4, false, true, 1s);
    for (const std::uint64_t expected : {3U, 4U, 2U, 1U})
    {
        BOOST_TEST(queue.pop()->key.attempt == expected);
    }
    BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(removes_what_was_cancelled_and_only_that)
{
    dispatch::work_queue queue;
    for (std::uint64_t i = 0; i < 4; ++i)
    {
        messages::work_item item;
        item.urgent = true;
        queue.push({{"n", i}, item, noon});
    }
    BOOST_TEST(queue.remove({"n", 2}));
    BOOST_TEST(!queue.remove({"n", 2}));
    BOOST_TEST(!queue.remove({"other", 1}));
    BOOST_TEST(queue.size() == 3U);
    BOOST_TEST(queue.ahead_of(true) == 3U);
}

BOOST_AUTO_TEST_CASE(moves_neither_hedges_nor_non_idempotent_work)
{
    dispatch::work_queue queue;
    messages::work_item hedge;
    hedge.hedge = true;
    messages::work_item non_idempotent;
    non_idempotent.idempotent = false;
    messages::work_item moved;
    moved.origin = "entry";
    queue.push({{"n", 1}, hedge, noon});
    queue.push({{"n", 2}, non_idempotent, noon});
    queue.push({{"n", 3}, moved, noon});
    BOOST_TEST(!queue.pop_movable().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(shares)

using placement::share_table;

BOOST_AUTO_TEST_CASE(pass_from_holder_to_claimant_once)
{
    share_table old_holder;
    BOOST_TEST(old_holder.assign({"s", 0}, 1, std::nullopt));
    share_table next;
    BOOST_TEST(!next.assign({"s", 0}, 2, "old"));
    old_holder.withdraw({"s", 0}, 2);
    // No grant while work is in flight, nor before the holder knows the epoch
    // of the claim.
    BOOST_TEST(!old_holder.answer({{"s", 0}, 2}, "next", 2, 1).has_value());
    BOOST_TEST(!old_holder.answer({{"s", 0}, 3}, "next", 2, 0).has_value());
    const auto grant = old_holder.answer({{"s", 0}, 2}, "next", 2, 0);
    BOOST_REQUIRE(grant.has_value());
    BOOST_TEST(grant->granted);
    BOOST_TEST(next.receive(*grant, "old"));
    const auto second = old_holder.answer({{"s", 0}, 2}, "third", 2, 0);
    BOOST_TEST(!second->granted);
    BOOST_TEST(second->moved_to == "next");
}

BOOST_AUTO_TEST_CASE(a_grant_from_another_node_is_ignored)
{
    share_table next;
    next.assign({"s", 0}, 2, "old");
    BOOST_TEST(!next.receive({{"s", 0}, 2, true, {}}, "stranger"));
    BOOST_TEST(!next.is_held({"s", 0}));
}

BOOST_AUTO_TEST_CASE(a_held_share_is_not_granted)
{
    share_table holder;
    holder.assign({"s", 0}, 1, std::nullopt);
    BOOST_TEST(!holder.answer({{"s", 0}, 1}, "next", 5, 0).has_value());
}

BOOST_AUTO_TEST_CASE(the_fence_frees_only_older_epochs)
{
    share_table table;
    table.assign({"s", 0}, 4, "gone");
    table.assign({"s", 1}, 9, "gone");
    BOOST_TEST(table.acquire_fenced(5).size() == 1U);
    BOOST_TEST(table.is_held({"s", 0}));
    BOOST_TEST(!table.is_held({"s", 1}));
}

BOOST_AUTO_TEST_CASE(nothing_is_held_after_a_suspension)
{
    share_table table;
    table.assign({"s", 0}, 1, std::nullopt);
    table.suspend(7);
    BOOST_TEST(!table.is_held({"s", 0}));
    BOOST_TEST(!table.answer({{"s", 0}, 7}, "next", 8, 0).has_value());
}

/// At most one node holds the share, for any order of assignments, claims and
/// lost messages.
BOOST_AUTO_TEST_CASE(any_interleaving_keeps_one_holder)
{
    const bool is_satisfied = rc::check(
        [](const std::vector<std::uint8_t>& steps)
        {
            constexpr std::size_t nodes = 4;
            const base::share_id share{"s", 0};
            const std::vector<std::string> names{"a", "b", "c", "d"};
            std::vector<share_table> tables(nodes);
            std::vector<base::revision> adopted_epochs(nodes, 1);
            std::vector<std::size_t> holder_by_epoch{0, 0};
            tables[0].assign(share, 1, std::nullopt);
            const auto adopt = [&](std::size_t i, base::revision epoch)
            {
                if (epoch <= adopted_epochs[i])
                {
                    return;
                }
                const auto previous = holder_by_epoch[adopted_epochs[i]];
                adopted_epochs[i] = epoch;
                if (holder_by_epoch[epoch] == i)
                {
                    tables[i].assign(share, epoch, names[previous]);
                }
                else
                {
                    tables[i].withdraw(share, epoch);
                }
            };
            for (const auto step : steps)
            {
                const std::size_t i = step % nodes;
                const std::size_t other = (step / 4) % nodes;
                switch ((step / 16) % 4)
                {
                case 0:
                    holder_by_epoch.push_back(other);
                    break;
                case 1:
                    adopt(i, holder_by_epoch.size() - 1);
                    break;
                case 2:
                    adopt(i, (adopted_epochs[i] + holder_by_epoch.size()) / 2);
                    break;
                default:
                    const auto* record = tables[i].find(share);
                    if (record == nullptr || i == other ||
                        record->phase != share_table::state::waiting)
                    {
                        break;
                    }
                    const auto counterpart = static_cast<std::size_t>(
                        std::find(
                            names.begin(), names.end(), record->counterpart) -
                        names.begin());
                    if (counterpart >= nodes)
                    {
                        break;
                    }
                    const auto reply =
                        tables[counterpart].answer({share, adopted_epochs[i]},
                                                   names[i],
                                                   adopted_epochs[counterpart],
                                                   0);
                    if (reply && step % 3 != 0) // some replies are lost
                    {
                        tables[i].receive(*reply, names[counterpart]);
                    }
                }
                const auto holders = std::count_if(tables.begin(),
                                                   tables.end(),
                                                   [&](const share_table& t)
                                                   {
                                                       return t.is_held(share);
                                                   });
                RC_ASSERT(holders <= 1);
            }
        });
    BOOST_TEST(is_satisfied);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement_of_holders)

BOOST_AUTO_TEST_CASE(prefers_the_zone_and_separates_replicas)
{
    std::vector<membership::member> members;
    members.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        members.push_back(
            member_in(i % 2 == 0 ? "even" : "odd", "n" + std::to_string(i)));
    }
    const placement::member_index index(members);
    for (int s = 0; s < 50; ++s)
    {
        config::service service;
        service.replicas = {{"a", "even", "", false}, {"b", "odd", "", false}};
        const auto holders =
            placement::holders_of("s" + std::to_string(s), service, index);
        BOOST_TEST((holders[0].back() - '0') % 2 == 0);
        BOOST_TEST((holders[1].back() - '0') % 2 == 1);
    }
}

BOOST_AUTO_TEST_CASE(moves_only_what_a_lost_member_held)
{
    const bool is_satisfied = rc::check(
        [](std::uint8_t seed)
        {
            std::vector<membership::member> members;
            members.reserve(9);
            for (int i = 0; i < 9; ++i)
            {
                members.push_back(member_in("z", "n" + std::to_string(i)));
            }
            config::service service;
            service.replicas = {{"a", "z", "", false}};
            const auto name = "s" + std::to_string(seed);
            const auto before = placement::holders_of(
                name, service, placement::member_index(members));
            const auto lost = members[seed % members.size()].id;
            std::erase_if(members,
                          [&](const auto& m)
                          {
                              return m.id == lost;
                          });
            const auto after = placement::holders_of(
                name, service, placement::member_index(members));
            RC_ASSERT(before[0] == lost || before == after);
        });
    BOOST_TEST(is_satisfied);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limits_of_a_plan)

BOOST_AUTO_TEST_CASE(a_new_bucket_is_empty_and_fills_at_its_rate)
{
    limits::token_bucket bucket(10, 5, noon);
    BOOST_TEST(!bucket.take(noon));
    BOOST_TEST(bucket.take(noon + 100ms));
    BOOST_TEST(!bucket.take(noon + 100ms));
    int taken = 0;
    while (bucket.take(noon + 1h))
    {
        ++taken;
    }
    BOOST_TEST(taken == 5);
}

BOOST_AUTO_TEST_CASE(slices_add_up_to_the_plan)
{
    const bool is_satisfied = rc::check(
        [](std::uint16_t rate, std::uint8_t burst, std::uint8_t concurrency)
        {
            const config::plan plan{{},
                                    static_cast<double>(rate) + 1,
                                    burst + 1U,
                                    concurrency + 1U,
                                    false};
            const auto slices = limits::slice_count(plan);
            std::uint32_t burst_sum = 0;
            std::uint32_t concurrency_sum = 0;
            for (std::uint32_t i = 0; i < slices; ++i)
            {
                RC_ASSERT(limits::part_of(plan.burst, slices, i) >= 1U);
                burst_sum += limits::part_of(plan.burst, slices, i);
                concurrency_sum += limits::part_of(plan.concurrency, slices, i);
            }
            RC_ASSERT(burst_sum == plan.burst);
            RC_ASSERT(concurrency_sum == plan.concurrency);
        });
    BOOST_TEST(is_satisfied);
}

BOOST_AUTO_TEST_CASE(extra_attempts_stay_within_their_ratio)
{
    query::retry_budget budget(0.05, 10);
    int spent = 0;
    for (int i = 0; i < 10000; ++i)
    {
        budget.earn(1);
        spent += budget.spend() ? 1 : 0;
    }
    BOOST_TEST(spent <= 510);
    BOOST_TEST(spent >= 490);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(configuration_store)

BOOST_AUTO_TEST_CASE(takes_no_old_delta_and_no_gap)
{
    config::store store;
    BOOST_TEST(store.apply({0, 3, {{"config/zones/a", R"({"out":true})", 3}}}));
    BOOST_TEST(!store.apply({5, 6, {}}));
    BOOST_TEST(!store.apply({0, 2, {{"config/zones/a", "{}", 2}}}));
    BOOST_TEST(store.current() == 3U);
    BOOST_TEST(store.contents().zones_out.contains("a"));
}

BOOST_AUTO_TEST_CASE(ends_the_same_for_any_order_of_deltas)
{
    const bool is_satisfied = rc::check(
        [](const std::vector<std::uint8_t>& picks)
        {
            config::store complete;
            std::vector<config::item> history;
            for (base::revision r = 1; r <= 20; ++r)
            {
                history.push_back(
                    {"config/zones/z" + std::to_string(r % 4),
                     r % 3 == 0 ? R"({"out":true})" : R"({"out":false})",
                     r});
            }
            complete.apply({0, 20, history});
            config::store incremental;
            for (const auto pick : picks)
            {
                const base::revision from = pick % 20;
                const base::revision to = from + 1 + pick / 20 % (20 - from);
                config::delta delta{from, to, {}};
                for (const auto& item : history)
                {
                    if (item.modified > from && item.modified <= to)
                    {
                        delta.items.push_back(item);
                    }
                }
                const auto before = incremental.current();
                incremental.apply(delta);
                RC_ASSERT(incremental.current() >= before);
            }
            incremental.apply(complete.changes_since(incremental.current()));
            RC_ASSERT(incremental.contents().zones_out ==
                      complete.contents().zones_out);
        });
    BOOST_TEST(is_satisfied);
}

BOOST_AUTO_TEST_CASE(keeps_the_last_valid_value)
{
    config::store store;
    store.apply({0, 1, {{"config/zones/a", R"({"out":true})", 1}}});
    store.apply({1, 2, {{"config/zones/a", "garbage", 2}}});
    BOOST_TEST(store.contents().zones_out.contains("a"));
    BOOST_TEST(store.rejected().contains("config/zones/a"));
}

BOOST_AUTO_TEST_CASE(names_the_wrong_member)
{
    using config::check_value;
    using config::item_kind;
    const auto plan = check_value(
        {item_kind::plan, "p"},
        R"({"services":["a"],"rate":-1,"burst":1,"concurrency":1})");
    BOOST_REQUIRE(!plan.has_value());
    BOOST_TEST(plan.error().detail.find("rate") != std::string::npos);
    for (const auto* text : {"", "[]", "{", "null", R"({"slots":0})"})
    {
        const auto checked = check_value({item_kind::service, "s"}, text);
        BOOST_TEST(checked.has_value() == std::string_view(text).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_outage)

namespace
{

/// Freshness of node "n0", one of five members, in a platform outage.
struct outage
{
    outage()
    {
        config::delta change{0, 0, {}};
        for (int i = 0; i < 5; ++i)
        {
            auto record = member_in("z", "n" + std::to_string(i));
            record.incarnation = 1;
            change.items.push_back({membership::member_key(record.id),
                                    membership::encode_member(record),
                                    ++change.to});
        }
        this->members.apply(change);
        this->freshness_state.platform_failed(noon);
        this->freshness_state.attest(7, false, noon);
    }

    void receive_attestation(int node,
                             bool away,
                             base::revision applied,
                             base::duration age)
    {
        this->freshness_state.merge(
            {{"n" + std::to_string(node), 1, away, false, applied, age}}, noon);
    }

    bool may_act(base::duration elapsed = {}) const
    {
        return this->freshness_state.may_act(this->members, 7, noon + elapsed);
    }

    membership::member_list members;
    membership::freshness freshness_state{{}, "n0", 1};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(needs_a_majority_that_attests_the_outage, outage)
{
    BOOST_TEST(!this->may_act());
    this->receive_attestation(1, true, 7, 100ms);
    BOOST_TEST(!this->may_act());
    this->receive_attestation(2, true, 7, 100ms);
    BOOST_TEST(this->may_act());
}

BOOST_FIXTURE_TEST_CASE(ends_when_the_attestations_are_old, outage)
{
    this->receive_attestation(1, true, 7, 100ms);
    this->receive_attestation(2, true, 7, 100ms);
    BOOST_TEST(!this->may_act(1400ms));
}

BOOST_FIXTURE_TEST_CASE(ignores_members_that_reach_the_platform, outage)
{
    this->receive_attestation(1, false, 7, 100ms);
    this->receive_attestation(2, false, 7, 100ms);
    this->receive_attestation(3, true, 7, 100ms);
    BOOST_TEST(!this->may_act());
}

BOOST_FIXTURE_TEST_CASE(ends_when_a_member_has_a_newer_revision, outage)
{
    this->receive_attestation(1, true, 7, 100ms);
    this->receive_attestation(2, true, 7, 100ms);
    this->receive_attestation(3, true, 8, 100ms);
    BOOST_TEST(!this->may_act());
}

BOOST_FIXTURE_TEST_CASE(needs_no_majority_while_verified, outage)
{
    this->freshness_state.mark_verified(noon);
    BOOST_TEST(this->may_act(1900ms));
    BOOST_TEST(!this->may_act(2000ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(request_keys)

BOOST_AUTO_TEST_CASE(survive_being_written_and_read)
{
    idempotency::idempotency_table keyed_requests({}, "node.with-dots", 77, 5);
    const auto key = keyed_requests.issue(noon);
    const auto parsed =
        idempotency::parse_request_key(idempotency::format(key));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->node == key.node);
    BOOST_TEST(parsed->keyed_hash == key.keyed_hash);
    BOOST_TEST((parsed->expires == key.expires));
}

BOOST_AUTO_TEST_CASE(any_text_is_a_key_or_malformed)
{
    const bool is_satisfied = rc::check(
        [](const std::string& text)
        {
            const auto parsed = idempotency::parse_request_key(text);
            RC_ASSERT(parsed.has_value() ||
                      parsed.error().code == result_code::key_malformed);
        });
    BOOST_TEST(is_satisfied);
}

BOOST_AUTO_TEST_CASE(keep_their_first_definite_outcome)
{
    idempotency::idempotency_table keyed_requests({}, "n", 1, 5);
    const auto key = keyed_requests.issue(noon);
    int started = 0;
    std::vector<result_code> outcomes;
    const auto submit = [&](base::time_point now, result_code code)
    {
        keyed_requests.run_once(
            key,
            1,
            now,
            [&](const auto& finished)
            {
                ++started;
                finished({code, {}});
            },
            [&](const idempotency::keyed_outcome& outcome)
            {
                outcomes.push_back(outcome.code);
            });
    };
    submit(noon, result_code::queue_full); // not run: may be retried
    submit(noon, result_code::ok);
    submit(noon, result_code::target_failed);
    submit(noon + 2h, result_code::ok);
    BOOST_TEST(started == 2);
    BOOST_TEST((outcomes[0] == result_code::queue_full));
    BOOST_TEST((outcomes[1] == result_code::ok));
    BOOST_TEST((outcomes[2] == result_code::ok));
    keyed_requests.expire(noon + 2h);
    submit(noon + 2h, result_code::ok);
    BOOST_TEST(started == 2);
    BOOST_TEST((outcomes.back() == result_code::outcome_unknown));
}

BOOST_AUTO_TEST_CASE(not_issued_here_are_refused)
{
    idempotency::idempotency_table keyed_requests({}, "n", 1, 5);
    auto key = keyed_requests.issue(noon);
    ++key.number;
    std::optional<result_code> code;
    keyed_requests.run_once(
        key,
        1,
        noon,
        [](const auto&)
        {
            BOOST_TEST(false);
        },
        [&](const idempotency::keyed_outcome& outcome)
        {
            code = outcome.code;
        });
    BOOST_TEST((code == result_code::key_malformed));
}

BOOST_AUTO_TEST_SUITE_END()
