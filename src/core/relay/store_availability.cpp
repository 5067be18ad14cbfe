#include <core/relay/store_availability.hpp>

namespace hawthornrelay::core::relay
{

using base::result_code;
using base::time_point;

namespace
{

/// A registration lapses three heartbeat intervals after its last renewal, and
/// the last one before an outage is at most one interval old.
constexpr int shortest_outage_in_heartbeats = 2;

/// Items that lapsed in an outage are written again within this time after its
/// end, including the time until the end is detected.
constexpr std::chrono::milliseconds lapse_window{2500};

} // namespace

store_availability::store_availability(
    std::chrono::milliseconds heartbeat_interval)
    : shortest_outage(heartbeat_interval * shortest_outage_in_heartbeats)
{
}

void store_availability::on_answer(time_point now)
{
    if (this->is_out || (this->has_failed && this->is_silent(now)))
    {
        this->last_outage = now;
    }
    this->is_out = false;
    this->has_failed = false;
    this->last_answer = now;
}

void store_availability::on_late_answer(time_point now)
{
    this->on_answer(now);
    this->last_outage = now;
}

void store_availability::on_failure(const base::error& error, time_point now)
{
    const bool is_connection_fault =
        error.code == result_code::platform_connection_lost ||
        error.code == result_code::platform_answer_lost;
    this->has_failed = true;
    if (!is_connection_fault || this->is_silent(now))
    {
        this->is_out = true;
        this->last_outage = now;
    }
}

bool store_availability::may_have_lapsed(time_point now) const
{
    return this->last_outage && now - *this->last_outage < lapse_window;
}

bool store_availability::is_silent(time_point now) const
{
    return !this->last_answer ||
           now - *this->last_answer >= this->shortest_outage;
}

} // namespace hawthornrelay::core::relay
