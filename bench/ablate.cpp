// Runs one workload over several seeds with one mechanism changed at a time,
// and with uncoordinated clients for comparison.
//
// ablate [QUERIES] [SEEDS] [LOAD] [VARIANT]
#include <cstdlib>
#include <functional>
#include <future>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include <support/workload.hpp>

using namespace hawthornrelay::tests::support;
using hawthornrelay::core::node::node_settings;

namespace
{

struct variant
{
    const char* name;
    std::function<void(node_settings&)> adjust_settings;
};

const std::vector<variant> variants{
    {"as shipped", [](node_settings&) {}},
    {"no hedges",
     [](node_settings& s)
     {
         s.query.hedging = false;
     }},
    {"no work moved",
     [](node_settings& s)
     {
         s.dispatch.work_stealing = false;
     }},
    {"no early refusal",
     [](node_settings& s)
     {
         s.query.early_refusal = false;
     }},
    {"in flight = slots",
     [](node_settings& s)
     {
         s.dispatch.concurrency.prefetch = 0;
     }},
    {"in flight = slots + 2",
     [](node_settings& s)
     {
         s.dispatch.concurrency.prefetch = 2;
     }},
    {"slow after 1.2 x p90",
     [](node_settings& s)
     {
         s.dispatch.slow_quantile = 0.9;
         s.dispatch.slow_margin = 1.2;
     }},
    {"slow after 1.5 x p90",
     [](node_settings& s)
     {
         s.dispatch.slow_quantile = 0.9;
         s.dispatch.slow_margin = 1.5;
     }},
    {"slow after 1.2 x p95",
     [](node_settings& s)
     {
         s.dispatch.slow_margin = 1.2;
     }},
    {"slow after 1.5 x p95",
     [](node_settings& s)
     {
         s.dispatch.slow_margin = 1.5;
     }},
};

/// Adds the figures of one run to @p sum.
void merge(run_figures& sum, const run_figures& one)
{
    sum.latencies.insert(
        sum.latencies.end(), one.latencies.begin(), one.latencies.end());
    sum.queries += one.queries;
    sum.complete += one.complete;
    sum.refused += one.refused;
    sum.requested += one.requested;
    sum.answered += one.answered;
    sum.seconds += one.seconds;
    sum.extra_load += one.extra_load;
    sum.hedge_load += one.hedge_load;
}

void print(const char* name, std::vector<std::future<run_figures>>& runs)
{
    run_figures sum;
    const auto seeds = static_cast<double>(runs.size());
    for (auto& run : runs)
    {
        merge(sum, run.get());
    }
    std::sort(sum.latencies.begin(), sum.latencies.end());
    fmt::print("| {:<26} | {:6.1f} | {:6.1f} | {:6.1f} | {:5.2f}% | {:5.2f}% "
               "| {:6.2f}% | {:6.1f} | {:5.2f}% |\n",
               name,
               sum.quantile_ms(0.5),
               sum.quantile_ms(0.99),
               sum.quantile_ms(0.999),
               100 * sum.hedge_load / seeds,
               100 * sum.extra_load / seeds,
               100 * sum.coverage(),
               sum.goodput(),
               100.0 * static_cast<double>(sum.refused) /
                   static_cast<double>(sum.queries));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    workload work;
    work.queries = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 6000;
    const auto seeds = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 4;
    work.load = argc > 3 ? std::strtod(argv[3], nullptr) : 0.8;
    const std::string_view filter = argc > 4 ? argv[4] : "";
    fmt::print(
        "{} queries, seeds 1 to {}, load {}\n", work.queries, seeds, work.load);
    fmt::print("| version | p50 ms | p99 ms | p99.9 ms | hedges | extra | "
               "coverage | complete/s | refused |\n"
               "|---|---|---|---|---|---|---|---|---|\n");
    const auto run_seeds =
        [&](const std::function<run_figures(const fleet_shape&)>& run)
    {
        std::vector<std::future<run_figures>> runs;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            fleet_shape shape;
            shape.seed = seed;
            runs.push_back(std::async(std::launch::async, run, shape));
        }
        return runs;
    };
    if (filter.empty())
    {
        naive_rules rules;
        auto uncoordinated = run_seeds(
            [&](const fleet_shape& shape)
            {
                return run_naive(shape, rules, work);
            });
        print("uncoordinated", uncoordinated);
        rules.hedges = true;
        auto hedged = run_seeds(
            [&](const fleet_shape& shape)
            {
                return run_naive(shape, rules, work);
            });
        print("uncoordinated, hedged", hedged);
        rules.has_exact_view = true;
        rules.hedge_from_send = true;
        rules.hedge_after = std::chrono::milliseconds(25);
        rules.limit = fleet_shape().target.slots + 1;
        auto informed = run_seeds(
            [&](const fleet_shape& shape)
            {
                return run_naive(shape, rules, work);
            });
        print("globally informed, hedged", informed);
    }
    for (const auto& item : variants)
    {
        if (!filter.empty() && filter != item.name)
        {
            continue;
        }
        auto runs = run_seeds(
            [&](const fleet_shape& shape)
            {
                fleet cluster(shape);
                cluster.adjust_settings = item.adjust_settings;
                warm_up(cluster);
                return run_fleet(cluster, work);
            });
        print(item.name, runs);
    }
    return 0;
}
