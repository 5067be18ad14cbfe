/// @file
/// @brief Metrics and log lines of the account of clients.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include <core/relay/client_budget.hpp>
#include <ports/event_log.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Writes the account's counters and gauges for the metrics page.
std::string write_client_metrics(const core::relay::client_budget& budget);

/// @brief Logs each limit that was reached, at most once a second.
class client_report
{
  public:
    /// @brief Writes a line for each limit reached since the last lines.
    void write(const core::relay::client_budget& budget,
               ports::event_log& log,
               core::base::time_point now);

  private:
    static constexpr auto closure_count =
        static_cast<std::size_t>(core::relay::client_closure::end);

    std::array<std::uint64_t, closure_count> logged{};
    std::optional<core::base::time_point> last_at;
};

} // namespace hawthornrelay::adapters::relay
