// Prints latency, coverage and extra load of uncoordinated clients and of
// hawthornrelay nodes, under the same seeded workload on the simulated clock.
//
// compare [QUERIES] [SEED] [SHAPE]
#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>

#include <support/workload.hpp>

using namespace hawthornrelay::tests::support;

namespace
{

void print(const char* name, double load, const run_figures& figures)
{
    fmt::print("| {:<28} | {:>3.0f}% | {:6.1f} | {:6.1f} | {:6.1f} | {:5.2f}% "
               "| {:5.2f}% | {:6.2f}% | {:6.1f} | {:5.2f}% |\n",
               name,
               load * 100,
               figures.quantile_ms(0.5),
               figures.quantile_ms(0.99),
               figures.quantile_ms(0.999),
               figures.hedge_load * 100,
               figures.extra_load * 100,
               figures.coverage() * 100,
               figures.goodput(),
               100.0 * static_cast<double>(figures.refused) /
                   static_cast<double>(figures.queries));
    std::fflush(stdout);
}

fleet_shape shape_named(const std::string& name)
{
    fleet_shape shape;
    if (name == "benchline")
    {
        shape.zones = {"north", "centre", "south"};
        shape.peer_delay = std::chrono::microseconds(500);
        shape.target_delay = std::chrono::microseconds(1000);
    }
    if (name == "warehouse")
    {
        shape.zones = {"north", "centre", "south"};
        shape.services = 1;
        shape.replicas = 5;
        shape.target.slots = 4;
        shape.target.connections = 45;
    }
    return shape;
}

} // namespace

int main(int argc, char** argv)
{
    workload work;
    work.queries = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 4000;
    const auto seed = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 1;
    const std::string name = argc > 3 ? argv[3] : "lenadora";
    fmt::print("shape {}, {} queries, seed {}\n", name, work.queries, seed);
    fmt::print("| version | load | p50 ms | p99 ms | p99.9 ms | hedges | "
               "extra | coverage | complete/s | refused |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|---|\n");
    for (const double load : {0.5, 0.8, 1.0, 1.2})
    {
        auto shape = shape_named(name);
        shape.seed = seed;
        work.load = load;
        print("uncoordinated", load, run_naive(shape, {}, work));
        naive_rules hedged;
        hedged.hedges = true;
        print("uncoordinated, hedged", load, run_naive(shape, hedged, work));
        naive_rules informed;
        informed.has_exact_view = true;
        informed.hedges = true;
        informed.hedge_from_send = true;
        informed.hedge_after = std::chrono::milliseconds(25);
        informed.limit = shape.target.slots + 1;
        print("globally informed, hedged",
              load,
              run_naive(shape, informed, work));
        fleet cluster(shape);
        warm_up(cluster);
        print("hawthornrelay", load, run_fleet(cluster, work));
    }
    return 0;
}
