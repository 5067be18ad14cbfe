// Measures how the cost of the control plane grows with nodes, replicas,
// changes and queries. The decision logic runs alone in one process.
//
// scale
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <adapters/peer/codec.hpp>
#include <core/base/hash.hpp>
#include <core/config/store.hpp>
#include <core/idempotency/idempotency_table.hpp>
#include <core/limits/plan_limiter.hpp>
#include <core/limits/plan_slices.hpp>
#include <core/membership/freshness.hpp>
#include <core/placement/routing_table.hpp>
#include <support/workload.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;

namespace
{

using steady = std::chrono::steady_clock;

/// Returns the shortest of @p rounds runs of @p work, in microseconds.
template <typename Work>
double cost_us(int rounds, Work work)
{
    double shortest = 1e18;
    for (int i = 0; i < rounds; ++i)
    {
        const auto start = steady::now();
        work();
        const std::chrono::duration<double, std::micro> elapsed =
            steady::now() - start;
        shortest = std::min(shortest, elapsed.count());
    }
    return shortest;
}

std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t pages = 0;
    std::size_t resident = 0;
    file >> pages >> resident;
    return resident * 4096;
}

std::string node_name(std::size_t i)
{
    return "node-" + std::to_string(i);
}

core::config::delta members(std::size_t count, std::size_t zones)
{
    core::config::delta change{0, 0, {}};
    for (std::size_t i = 0; i < count; ++i)
    {
        const core::membership::member record{
            node_name(i),
            1'700'000'000'000'000,
            "zone-" + std::to_string(i % zones),
            "vm-" + std::to_string(i),
            "10.0.0.1:7001",
            "10.0.0.1:8001",
            core::membership::member_state::active};
        change.items.push_back({core::membership::member_key(record.id),
                                core::membership::encode_member(record),
                                ++change.to});
    }
    return change;
}

core::config::delta services(std::size_t replicas, std::size_t zones)
{
    core::config::delta change{0, 0, {}};
    for (std::size_t s = 0; s < replicas / 2; ++s)
    {
        std::string list;
        for (std::size_t r = 0; r < 2; ++r)
        {
            list += (r == 0 ? "" : ",");
            list += fmt::format(R"({{"address":"10.1.{}.{}:9000","zone":)"
                                R"("zone-{}","vm":"target-{}-{}"}})",
                                s % 250,
                                r,
                                (s + r * 2) % zones,
                                s,
                                r);
        }
        change.items.push_back(
            {"config/services/s" + std::to_string(s),
             R"({"slots":2,"connection_limit":25,"replicas":[)" + list + "]}",
             ++change.to});
    }
    return change;
}

void probe_sizes()
{
    for (const std::size_t nodes : {8U, 64U, 256U, 512U, 2700U})
    {
        core::messages::probe_reply reply{1, 1, true, 1s, {}, {}};
        const auto listed = std::min<std::size_t>(
            nodes, core::control::control_limits().attestations_per_reply);
        for (std::size_t i = 0; i < listed; ++i)
        {
            reply.attestations.push_back(
                {node_name(i), 1'700'000'000'000'000, false, false, 12345, 1s});
        }
        const auto bytes =
            adapters::peer::encode(core::messages::peer_message(reply)).size();
        core::membership::freshness freshness({}, "node-0", 1);
        core::base::time_point now(1h);
        const auto membership_change = members(nodes, 9);
        std::vector<core::messages::attestation> attestations;
        for (std::size_t i = 0; i < nodes; ++i)
        {
            attestations.push_back({node_name(i), 1, false, false, 1, 1s});
        }
        freshness.merge(attestations, now);
        const auto encoded =
            adapters::peer::encode(core::messages::peer_message(reply));
        const auto answer_us = cost_us(
            20,
            [&]
            {
                reply.attestations = freshness.newest(listed, now);
                adapters::peer::encode(core::messages::peer_message(reply));
            });
        const auto merge_us = cost_us(
            20,
            [&]
            {
                const auto decoded = adapters::peer::decode(encoded);
                freshness.merge(
                    std::get<core::messages::probe_reply>(
                        std::get<core::messages::peer_message>(*decoded))
                        .attestations,
                    now);
            });
        core::membership::member_list list;
        list.apply(membership_change);
        const auto majority_us = cost_us(
            20,
            [&]
            {
                (void)freshness.majority_has(list,
                                             1,
                                             1,
                                             now,
                                             [](const core::membership::member&)
                                             {
                                                 return false;
                                             });
            });
        fmt::print("probe nodes={} reply_bytes={} answer_us={:.1f} "
                   "merge_us={:.1f} majority_us={:.1f}\n",
                   nodes,
                   bytes,
                   answer_us,
                   merge_us,
                   majority_us);
    }
}

void placement_costs()
{
    for (const std::size_t replicas : {80U, 640U, 2560U, 20000U})
    {
        for (const std::size_t nodes : {8U, 64U, 512U, 2700U})
        {
            const std::size_t zones = nodes < 64 ? 4 : 9;
            const auto before = resident_bytes();
            core::config::store store;
            store.apply(services(replicas, zones));
            core::membership::member_list list;
            list.apply(members(nodes, zones));
            core::placement::routing_table routes;
            const auto rebuild_us =
                cost_us(3,
                        [&]
                        {
                            routes.rebuild(store.contents(), list);
                        });
            const auto after = resident_bytes();
            fmt::print("placement replicas={} nodes={} rebuild_us={:.0f} "
                       "resident_bytes={}\n",
                       replicas,
                       nodes,
                       rebuild_us,
                       after > before ? after - before : 0);
        }
    }
}

void change_costs()
{
    for (const std::size_t replicas : {80U, 640U, 2560U, 20000U})
    {
        core::config::store store;
        auto initial = services(replicas, 9);
        store.apply(initial);
        auto changed_item = initial.items.front();
        changed_item.modified = initial.to + 1;
        const core::config::delta change{
            initial.to, initial.to + 1, {changed_item}};
        const auto bytes =
            adapters::peer::encode(core::messages::peer_message(
                                       core::messages::config_push{change}))
                .size();
        const auto apply_us = cost_us(1,
                                      [&]
                                      {
                                          store.apply(change);
                                      });
        fmt::print("change replicas={} delta_bytes={} apply_us={:.1f}\n",
                   replicas,
                   bytes,
                   apply_us);
    }
}

void limit_costs()
{
    for (const std::size_t open : {100U, 1000U, 10000U})
    {
        core::config::document contents;
        contents.plans["p"] = {{}, 1e6, 1'000'000, 1'000'000, false};
        contents.customers["c"] = {"p", ""};
        core::limits::plan_limiter limiter;
        core::base::time_point now(1h);
        const auto total_us = cost_us(
            1,
            [&]
            {
                now += 1s;
                for (std::size_t i = 0; i < open; ++i)
                {
                    limiter.admit({"n", i}, "c", 0, contents, now + 1s, now);
                }
            });
        fmt::print("limits open={} admit_us={:.2f}\n",
                   open,
                   total_us / static_cast<double>(open));
    }
}

void key_costs()
{
    for (const std::size_t keys : {1000U, 10000U, 100000U})
    {
        const auto before = resident_bytes();
        core::idempotency::idempotency_table keyed_requests({}, "n", 1, 7);
        const core::base::time_point now(1h);
        const auto total_us = cost_us(
            1,
            [&]
            {
                for (std::size_t i = 0; i < keys; ++i)
                {
                    keyed_requests.run_once(
                        keyed_requests.issue(now),
                        i,
                        now,
                        [](const auto& finished)
                        {
                            finished({core::base::result_code::ok, "booked"});
                        },
                        [](const core::idempotency::keyed_outcome&) {});
                }
            });
        fmt::print("keys held={} run_us={:.2f} bytes_each={:.0f}\n",
                   keys,
                   total_us / static_cast<double>(keys),
                   static_cast<double>(resident_bytes() - before) /
                       static_cast<double>(keys));
    }
}

/// Prints the seconds until a change is in force on every node, and the number
/// of nodes that are still ready after 10 s without the platform.
void propagation_costs()
{
    for (const std::size_t nodes : {8U, 16U, 32U, 64U, 128U, 256U})
    {
        tests::support::fleet_shape shape;
        shape.nodes = nodes;
        shape.services = 4;
        tests::support::fleet cluster(shape);
        cluster.start_all();
        cluster.loop.run_for(15s);
        const auto written_at = cluster.loop.now();
        const auto revision =
            cluster.write("config/zones/elsewhere", R"({"out":true})");
        const auto count = [&](const auto& predicate)
        {
            std::size_t sum = 0;
            for (std::size_t i = 0; i < nodes; ++i)
            {
                sum += predicate(cluster.node(i)) ? 1 : 0;
            }
            return sum;
        };
        const auto has_change = [&](core::node::node& node)
        {
            return node.control_state().store().current() >= revision;
        };
        while (count(has_change) < nodes &&
               cluster.loop.now() < written_at + 10s)
        {
            cluster.loop.run_for(10ms);
        }
        const std::chrono::duration<double> elapsed =
            cluster.loop.now() - written_at;
        cluster.platform_down = true;
        cluster.loop.run_for(10s);
        const auto ready = count(
            [](core::node::node& node)
            {
                return node.is_ready();
            });
        fmt::print("spread nodes={} change_everywhere_s={:.2f} "
                   "ready_in_outage={}\n",
                   nodes,
                   elapsed.count(),
                   ready);
    }
}

/// Prints the processor time of the decision logic of all nodes: at rest, and
/// for each sub-query.
void fleet_costs()
{
    for (const std::size_t nodes : {8U, 16U, 32U, 64U})
    {
        tests::support::fleet_shape shape;
        shape.nodes = nodes;
        tests::support::fleet cluster(shape);
        cluster.start_all();
        cluster.loop.run_for(12s);
        const auto calls = cluster.platform.calls;
        const auto rest_us = cost_us(1,
                                     [&]
                                     {
                                         cluster.loop.run_for(10s);
                                     });
        fmt::print("rest nodes={} us_per_node_second={:.1f} "
                   "platform_calls_per_second={:.1f}\n",
                   nodes,
                   rest_us / 10 / static_cast<double>(nodes),
                   static_cast<double>(cluster.platform.calls - calls) / 10);
    }
    for (const std::size_t queries : {500U, 1000U, 2000U, 4000U})
    {
        tests::support::fleet cluster({});
        tests::support::warm_up(cluster);
        const auto total_us = cost_us(
            1,
            [&]
            {
                tests::support::run_fleet(
                    cluster, {0.5, queries, std::chrono::milliseconds(1000)});
            });
        fmt::print("query queries={} total_us={:.0f} us_per_sub_query={:.2f}\n",
                   queries,
                   total_us,
                   total_us / static_cast<double>(queries * 20));
    }
}

} // namespace

int main()
{
    probe_sizes();
    placement_costs();
    change_costs();
    limit_costs();
    key_costs();
    fleet_costs();
    propagation_costs();
    return 0;
}
