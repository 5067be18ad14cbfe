// Messages, bytes and error of quotas against the number of nodes: ledgers on a
// simulated clock and network. Prints a table for docs/design/quotas.md.
#include <cstdio>
#include <cstdlib>

#include <adapters/relay/quota_wire.hpp>
#include <support/quota_simulation.hpp>

using namespace std::chrono_literals;
using hawthornrelay::core::relay::quota_limit;
using hawthornrelay::core::relay::quota_message;
using hawthornrelay::tests::support::quota_fleet;

namespace
{

/// Headers of IP and UDP.
constexpr std::size_t header_bytes = 28;

constexpr int organisation_count = 86;
constexpr auto length = 6500ms;

/// All organisations within their limit of 3/s; one sends a multiple of 40/s.
void run(std::size_t node_count, double factor)
{
    const quota_limit few{3, 5};
    const quota_limit some{40, 40};
    quota_fleet fleet(node_count, 1);
    fleet.run_until(fleet.clock + 3s);
    std::size_t largest = 0;
    fleet.size_of = [&largest](const quota_message& message)
    {
        const auto size =
            hawthornrelay::adapters::relay::write_quota_datagram(message)
                .size();
        largest = std::max(largest, size);
        return size + header_bytes;
    };
    const auto start = fleet.clock;
    const auto send = [&](const std::string& name,
                          const quota_limit& limit,
                          double per_second)
    {
        const auto step = quota_fleet::duration(
            static_cast<quota_fleet::duration::rep>(1e6 / per_second));
        for (auto when = start; when < start + length; when += step)
        {
            fleet.at(when,
                     [&fleet, name, limit]
                     {
                         fleet.request(
                             fleet.random() % fleet.nodes.size(), name, limit);
                     });
        }
    };
    for (int i = 1; i < organisation_count; ++i)
    {
        send("o" + std::to_string(i), few, few.rate_per_second);
    }
    send("acme", some, factor * some.rate_per_second);
    fleet.run_until(start + length + 200ms);
    const auto seconds =
        std::chrono::duration<double>(fleet.clock - start).count();
    std::size_t within = 0;
    std::size_t busiest = 0;
    for (const auto& [name, times] : fleet.arrivals)
    {
        within += name == "acme" ? 0 : times.size();
    }
    for (const auto& node : fleet.nodes)
    {
        busiest =
            std::max<std::size_t>(busiest, node.ledger->counters.messages_sent);
    }
    const auto nodes = static_cast<double>(node_count);
    std::printf("| %zu | %.1f | %.1f | %.0f | %.0f | %zu | %zu of 284 | %zu "
                "of %d |\n",
                node_count,
                static_cast<double>(fleet.datagrams) / seconds / nodes,
                static_cast<double>(busiest) / seconds,
                static_cast<double>(fleet.bytes) / seconds / nodes,
                static_cast<double>(fleet.bytes) /
                    static_cast<double>(fleet.datagrams) *
                    static_cast<double>(busiest) / seconds,
                largest,
                fleet.most_in("acme", 5s),
                std::size_t{85} * 20 - within,
                85 * 20);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    std::printf(
        "| nodes | datagrams/s a node | at the busiest | bytes/s a node "
        "| at the busiest | largest | most in 5 s at 7.5 times | "
        "refused within quota |\n|---|---|---|---|---|---|---|---|\n");
    for (int i = 1; i < argc; ++i)
    {
        run(std::strtoul(argv[i], nullptr, 10), 7.5);
    }
    return 0;
}
