// Prints the effect of each fault on callers at several loads: the fraction
// of complete answers, latency, and the seconds until coverage is complete
// again.
//
// faults [SECONDS]
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <future>
#include <vector>

#include <fmt/format.h>

#include <support/checks.hpp>

using namespace hawthornrelay::tests::support;
using namespace std::chrono_literals;

namespace
{

struct fault
{
    const char* name;
    std::function<void(fleet&)> inject;
};

const std::vector<fault> faults{
    {"none", [](fleet&) {}},
    {"process of a node killed",
     [](fleet& cluster)
     {
         cluster.kill(3);
     }},
    {"VM of a node lost",
     [](fleet& cluster)
     {
         cluster.kill_vm(3);
     }},
    {"VM lost, listed after 1 s",
     [](fleet& cluster)
     {
         cluster.kill_vm(3);
         cluster.loop.after(1s,
                            [&cluster]
                            {
                                cluster.platform.gone_vms.insert(
                                    "entry-" + cluster.name(3));
                            });
     }},
    {"node paused for 15 s",
     [](fleet& cluster)
     {
         cluster.pause(3);
         cluster.loop.after(15s,
                            [&cluster]
                            {
                                cluster.resume(3);
                            });
     }},
    {"node cut off",
     [](fleet& cluster)
     {
         cluster.isolate(3);
         cluster.platform_cuts = {3};
     }},
    {"platform away",
     [](fleet& cluster)
     {
         cluster.platform_down = true;
     }},
    {"platform away, then a kill",
     [](fleet& cluster)
     {
         cluster.platform_down = true;
         cluster.loop.after(5s,
                            [&cluster]
                            {
                                cluster.kill(3);
                            });
     }},
    {"platform slow by 600 ms",
     [](fleet& cluster)
     {
         cluster.platform_delay = 600ms;
     }},
    {"zone taken out",
     [](fleet& cluster)
     {
         cluster.write("config/zones/chiloe", R"({"out":true})");
     }},
    {"zone out, back after 10 s",
     [](fleet& cluster)
     {
         cluster.write("config/zones/chiloe", R"({"out":true})");
         cluster.loop.after(10s,
                            [&cluster]
                            {
                                cluster.write("config/zones/chiloe",
                                              R"({"out":false})");
                            });
     }},
    {"planned stop of a node",
     [](fleet& cluster)
     {
         cluster.node(3).stop(
             [&cluster]
             {
                 cluster.loop.after(0us,
                                    [&cluster]
                                    {
                                        cluster.kill(3);
                                    });
             });
     }},
    {"one target restarted",
     [](fleet& cluster)
     {
         cluster.stop_target("s4-r0", 500ms);
     }},
    {"a target in 10 turns cold",
     [](fleet& cluster)
     {
         for (std::size_t s = 0; s < cluster.shape.services; s += 5)
         {
             cluster.targets.at(fleet::address(s, 1)).turn_cold();
         }
     }},
    {"index version replaced",
     [](fleet& cluster)
     {
         for (auto& [address, model] : cluster.targets)
         {
             model.newest = 2;
         }
         cluster.loop.after(3s,
                            [&cluster]
                            {
                                for (auto& [address, model] : cluster.targets)
                                {
                                    model.oldest = 2;
                                }
                            });
     }},
};

/// Returns the table row for one fault at one load.
std::string
run_fault(const fault& scenario, double load, std::chrono::seconds time)
{
    fleet cluster({});
    invariant_checks checker(cluster);
    traffic queries(cluster, load);
    cluster.start_all();
    cluster.loop.run_for(10s);
    queries.start();
    cluster.loop.run_for(5s);
    const auto injected_at = cluster.loop.now();
    const auto first = queries.records.size();
    scenario.inject(cluster);
    cluster.loop.run_for(time);
    queries.stop();
    cluster.loop.run_for(2s);
    auto& records = queries.records;
    std::vector<duration> latencies;
    std::size_t total = 0;
    std::size_t refused = 0;
    duration last_incomplete{};
    for (std::size_t i = first; i < records.size(); ++i)
    {
        const auto& item = records[i];
        if (item.sent_at < injected_at)
        {
            continue;
        }
        ++total;
        if (item.answered == cluster.shape.services)
        {
            latencies.push_back(item.latency);
            continue;
        }
        refused += item.code != result_code::ok ? 1 : 0;
        last_incomplete = std::max(last_incomplete, item.sent_at - injected_at);
    }
    std::sort(latencies.begin(), latencies.end());
    const auto quantile = [&](double fraction)
    {
        const auto rank = static_cast<std::size_t>(
            fraction * static_cast<double>(latencies.size() - 1));
        return static_cast<double>(latencies[rank].count()) / 1000;
    };
    return fmt::format(
        "| {:<27} | {:>3.0f}% | {:7.3f}% | {:6.3f}% | {:6.1f} | {:6.1f} | "
        "{:6.2f} | {} | {} | {} |",
        scenario.name,
        load * 100,
        100.0 * static_cast<double>(latencies.size()) /
            static_cast<double>(total),
        100.0 * static_cast<double>(refused) / static_cast<double>(total),
        quantile(0.5),
        quantile(0.99),
        std::chrono::duration<double>(last_incomplete).count(),
        checker.overload_crashes(),
        checker.max_in_flight,
        checker.violations.size());
}

} // namespace

int main(int argc, char** argv)
{
    const std::chrono::seconds time(argc > 1 ? std::strtol(argv[1], nullptr, 10)
                                             : 25);
    fmt::print("{} s after each fault, seed 1\n"
               "| fault | load | complete | refused | p50 ms | p99 ms | last "
               "incomplete, s | fell over | most in flight | two holders |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n",
               time.count());
    for (const double load : {0.35, 0.8})
    {
        std::vector<std::future<std::string>> rows;
        rows.reserve(faults.size());
        for (const auto& item : faults)
        {
            rows.push_back(
                std::async(std::launch::async, run_fault, item, load, time));
        }
        for (auto& row : rows)
        {
            fmt::print("{}\n", row.get());
        }
    }
    return 0;
}
