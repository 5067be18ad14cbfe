#include <adapters/relay/metrics_page.hpp>

#include <iterator>
#include <string_view>

#include <fmt/format.h>

namespace hawthornrelay::adapters::relay
{

namespace
{

void write_histogram(std::string& page,
                     std::string_view name,
                     const core::relay::latency_histogram& histogram)
{
    auto out = std::back_inserter(page);
    fmt::format_to(out, "# TYPE hawthornrelay_{}_seconds histogram\n", name);
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.buckets.size(); ++i)
    {
        total += histogram.buckets[i];
        const auto bound =
            i < core::relay::latency_histogram::bounds_ms.size()
                ? fmt::format("{}",
                              core::relay::latency_histogram::bounds_ms[i] /
                                  1000.0)
                : std::string("+Inf");
        fmt::format_to(out,
                       "hawthornrelay_{}_seconds_bucket{{le=\"{}\"}} {}\n",
                       name,
                       bound,
                       total);
    }
    fmt::format_to(out,
                   "hawthornrelay_{0}_seconds_sum {1}\n"
                   "hawthornrelay_{0}_seconds_count {2}\n",
                   name,
                   std::chrono::duration<double>(histogram.sum).count(),
                   total);
}

} // namespace

std::string write_metrics(const core::relay::relay_counters& engine,
                          const core::relay::relay_counters& pool,
                          std::size_t active,
                          std::uint64_t dropped_lines)
{
    std::string page;
    auto out = std::back_inserter(page);
    for (std::size_t i = 0; i < engine.values.size(); ++i)
    {
        const auto name = core::relay::relay_counter_names[i];
        fmt::format_to(out,
                       "# TYPE hawthornrelay_{0}_total counter\n"
                       "hawthornrelay_{0}_total {1}\n",
                       name,
                       engine.values[i] + pool.values[i]);
    }
    fmt::format_to(out,
                   "# TYPE hawthornrelay_active_requests gauge\n"
                   "hawthornrelay_active_requests {}\n"
                   "# TYPE hawthornrelay_dropped_log_lines_total counter\n"
                   "hawthornrelay_dropped_log_lines_total {}\n",
                   active,
                   dropped_lines);
    write_histogram(page, "answer", engine.answers);
    write_histogram(page, "part", engine.parts);
    return page;
}

} // namespace hawthornrelay::adapters::relay
