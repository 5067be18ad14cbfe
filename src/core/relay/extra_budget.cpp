#include <core/relay/extra_budget.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// When the whole system starts for the first time, nodes join within this
/// time; no slack can have been used before.
constexpr std::chrono::seconds first_join_time{5};

} // namespace

extra_budget::extra_budget(extra_budget_settings settings,
                           time_point started,
                           bool knows_history)
    : settings(settings), started(started), knows_history(knows_history),
      slack_from(knows_history ? started : started + settings.window)
{
}

void extra_budget::set_division(unsigned count, bool takes, time_point now)
{
    this->node_count = std::max(1U, count);
    const bool joins = takes && this->takes_part != std::optional(true);
    const bool is_first = this->knows_history &&
                          now - this->started <= first_join_time &&
                          this->slack_from == this->started;
    if (joins && !is_first)
    {
        this->slack_from = now + this->settings.window;
    }
    if (!takes && this->takes_part == std::optional(true))
    {
        this->knows_history = false;
    }
    this->takes_part = takes;
}

void extra_budget::set_bound(double ratio, double slack, base::duration window)
{
    this->settings.ratio = ratio;
    this->settings.slack = slack;
    this->settings.window = window;
}

void extra_budget::on_request(const std::string& service, time_point now)
{
    auto& entry = this->accounts[service];
    this->expire(entry, now);
    entry.requests.push_back(now);
}

bool extra_budget::try_take(const std::string& service,
                            time_point now,
                            double part)
{
    if (this->left(service, now, part) < 1.0)
    {
        return false;
    }
    ++this->accounts[service].in_flight;
    return true;
}

void extra_budget::on_settled(const std::string& service, time_point now)
{
    auto& entry = this->accounts[service];
    if (entry.in_flight > 0)
    {
        --entry.in_flight;
        entry.settled.push_back(now);
    }
}

double
extra_budget::left(const std::string& service, time_point now, double part)
{
    auto& entry = this->accounts[service];
    this->expire(entry, now);
    const double bound =
        this->settings.ratio * static_cast<double>(entry.requests.size()) +
        this->slack_now(now);
    const auto used =
        static_cast<double>(entry.settled.size() + entry.in_flight);
    return bound * this->settings.safety * part - used;
}

void extra_budget::expire(account& entry, time_point now) const
{
    const auto oldest = now - this->settings.window;
    const auto drop = [oldest](std::deque<time_point>& times)
    {
        while (!times.empty() && times.front() < oldest)
        {
            times.pop_front();
        }
    };
    drop(entry.requests);
    drop(entry.settled);
}

double extra_budget::slack_now(time_point now) const
{
    const bool has_part = this->takes_part.value_or(true);
    return has_part && now >= this->slack_from
               ? this->settings.slack / static_cast<double>(this->node_count)
               : 0;
}

} // namespace hawthornrelay::core::relay
