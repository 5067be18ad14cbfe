#include <adapters/relay/client_report.hpp>

#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace hawthornrelay::adapters::relay
{

using core::base::log_event;
using core::relay::client_closure;

namespace
{

constexpr std::chrono::seconds log_interval{1};

/// The events in the order of client_closure. A client that was refused found
/// no other to close: it is reported with the limit on memory.
constexpr std::array<std::pair<client_closure, log_event>, 6> events{
    {{client_closure::memory, log_event::client_memory_limited},
     {client_closure::descriptors, log_event::client_descriptors_limited},
     {client_closure::refused, log_event::client_memory_limited},
     {client_closure::stalled, log_event::client_stalled},
     {client_closure::fields, log_event::client_fields_limited},
     {client_closure::pipelined, log_event::client_pipelining_limited}}};

} // namespace

std::string write_client_metrics(const core::relay::client_budget& budget)
{
    std::string page = "# TYPE hawthornrelay_client_closures_total counter\n";
    auto out = std::back_inserter(page);
    for (const auto& [reason, event] : events)
    {
        fmt::format_to(
            out,
            "hawthornrelay_client_closures_total{{reason=\"{}\"}} {}\n",
            core::relay::client_closure_names[static_cast<std::size_t>(reason)],
            budget.closures(reason));
    }
    fmt::format_to(out,
                   "# TYPE hawthornrelay_client_memory_bytes gauge\n"
                   "hawthornrelay_client_memory_bytes {}\n"
                   "# TYPE hawthornrelay_client_connections gauge\n"
                   "hawthornrelay_client_connections {}\n",
                   budget.held(),
                   budget.connections());
    return page;
}

void client_report::write(const core::relay::client_budget& budget,
                          ports::event_log& log,
                          core::base::time_point now)
{
    if (this->last_at && now - *this->last_at < log_interval)
    {
        return;
    }
    for (const auto& [reason, event] : events)
    {
        const auto index = static_cast<std::size_t>(reason);
        const auto total = budget.closures(reason);
        const auto before = std::exchange(this->logged[index], total);
        if (total > before)
        {
            this->last_at = now;
            log.write(event,
                      {{"reason",
                        std::string(core::relay::client_closure_names[index])},
                       {"clients", std::to_string(total - before)},
                       {"held_kb", std::to_string(budget.held() >> 10U)},
                       {"connections", std::to_string(budget.connections())}});
        }
    }
}

} // namespace hawthornrelay::adapters::relay
