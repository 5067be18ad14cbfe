#include <core/relay/extra_budget.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// Nodes join within this time at the system's first start; no slack can have
/// been used before.
constexpr std::chrono::seconds first_start_join_window{5};

} // namespace

extra_budget::extra_budget(extra_budget_settings settings,
                           time_point started,
                           bool is_history_known)
    : settings(settings), started(started), is_history_known(is_history_known),
      slack_available_from(is_history_known ? started
                                            : started + settings.window)
{
}

void extra_budget::set_division(unsigned count,
                                bool receives_slack,
                                time_point now)
{
    this->node_count = std::max(1U, count);
    const bool joins =
        receives_slack && this->receives_slack != std::optional(true);
    const bool is_first = this->is_history_known &&
                          now - this->started <= first_start_join_window &&
                          this->slack_available_from == this->started;
    if (joins && !is_first)
    {
        this->slack_available_from = now + this->settings.window;
    }
    if (!receives_slack && this->receives_slack == std::optional(true))
    {
        this->is_history_known = false;
    }
    this->receives_slack = receives_slack;
}

void extra_budget::set_bound(double ratio, double slack, base::duration window)
{
    this->settings.ratio = ratio;
    this->settings.slack = slack;
    this->settings.window = window;
}

void extra_budget::on_request(const std::string& service, time_point now)
{
    auto& service_account = this->accounts[service];
    this->expire(service_account, now);
    service_account.requests.push_back(now);
}

bool extra_budget::try_reserve(const std::string& service,
                               time_point now,
                               double fraction)
{
    if (this->remaining(service, now, fraction) < 1.0)
    {
        return false;
    }
    ++this->accounts[service].in_flight;
    return true;
}

void extra_budget::on_settled(const std::string& service, time_point now)
{
    auto& service_account = this->accounts[service];
    if (service_account.in_flight > 0)
    {
        --service_account.in_flight;
        service_account.settled.push_back(now);
    }
}

double extra_budget::remaining(const std::string& service,
                               time_point now,
                               double fraction)
{
    auto& service_account = this->accounts[service];
    this->expire(service_account, now);
    const double bound =
        this->settings.ratio *
            static_cast<double>(service_account.requests.size()) +
        this->available_slack(now);
    const auto used = static_cast<double>(service_account.settled.size() +
                                          service_account.in_flight);
    return bound * this->settings.safety * fraction - used;
}

void extra_budget::expire(account& service_account, time_point now) const
{
    const auto oldest = now - this->settings.window;
    const auto drop = [oldest](std::deque<time_point>& times)
    {
        while (!times.empty() && times.front() < oldest)
        {
            times.pop_front();
        }
    };
    drop(service_account.requests);
    drop(service_account.settled);
}

double extra_budget::available_slack(time_point now) const
{
    const bool has_slack = this->receives_slack.value_or(true);
    return has_slack && now >= this->slack_available_from
               ? this->settings.slack / static_cast<double>(this->node_count)
               : 0;
}

} // namespace hawthornrelay::core::relay
