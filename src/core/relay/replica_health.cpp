#include <core/relay/replica_health.hpp>

#include <algorithm>
#include <cmath>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Weight of one sample; roughly the last seven samples dominate the mean.
constexpr double sample_weight = 0.25;

/// Half-life of a mean's decay to its baseline, so that a replica that was slow
/// gets requests again within seconds.
constexpr std::chrono::milliseconds decay_half_life{1500};

/// A reported load is ignored after this time.
constexpr std::chrono::milliseconds load_validity{300};

/// Consecutive failures that make a replica suspect.
constexpr unsigned suspect_after = 2;

/// Nodes with connections repeat the check of a suspect replica within this
/// time. On other nodes the result expires, so that a request may be sent to
/// it.
constexpr std::chrono::seconds check_validity{1};

/// Cost of one request waiting at the replica, in multiples of the usual
/// latency.
constexpr double waiting_cost = 0.5;

/// Cost of a failure in multiples of the usual latency: it needs another
/// attempt.
constexpr double failure_cost = 4.0;

} // namespace

void decaying_mean::add(double sample, time_point now)
{
    const double before = this->at(now);
    this->value = before + sample_weight * (sample - before);
    this->updated = now;
}

double decaying_mean::at(time_point now) const
{
    const auto idle = std::chrono::duration<double>(now - this->updated);
    const auto half = std::chrono::duration<double>(decay_half_life);
    const double remaining = std::exp2(-std::max(0.0, idle / half));
    return this->baseline + (this->value - this->baseline) * remaining;
}

void replica_health::on_sent(std::uint64_t send, time_point now)
{
    this->in_flight[send] = now;
}

void replica_health::on_result(std::uint64_t send,
                               send_result result,
                               double latency_ratio,
                               time_point now)
{
    this->in_flight.erase(send);
    const bool is_failure = result == send_result::broken ||
                            result == send_result::not_sent ||
                            result == send_result::abandoned ||
                            result == send_result::other_replica;
    this->failed.add(is_failure ? 1.0 : 0.0, now);
    this->failures_in_a_row = is_failure ? this->failures_in_a_row + 1 : 0;
    if (!is_failure)
    {
        this->on_alive(now);
        this->shed.add(result == send_result::shed ? 1.0 : 0.0, now);
    }
    if (result == send_result::answered)
    {
        this->latency_ratio.add(latency_ratio, now);
        this->has_failed_check = false;
    }
}

void replica_health::on_load(double utilization, time_point now)
{
    this->utilization = utilization;
    this->busy_at = now;
}

void replica_health::on_check(bool has_answered,
                              bool is_healthy,
                              time_point now)
{
    this->has_failed_check = !has_answered;
    this->checked_at = now;
    if (has_answered)
    {
        this->on_alive(now);
    }
    if (is_healthy)
    {
        this->failures_in_a_row = 0;
    }
}

bool replica_health::is_suspect() const
{
    return this->has_failed_check || this->failures_in_a_row >= suspect_after;
}

bool replica_health::is_unreachable(time_point now) const
{
    return this->has_failed_check && now - this->checked_at < check_validity;
}

double replica_health::cost(double distance_factor, time_point now) const
{
    const double load =
        now - this->busy_at < load_validity ? this->utilization : 0.0;
    const double waiting =
        waiting_cost * (static_cast<double>(this->in_flight.size()) + load);
    const double failures =
        failure_cost * (this->failed.at(now) + this->shed.at(now));
    return std::max(0.1, this->latency_ratio.at(now)) * distance_factor +
           waiting + failures;
}

duration replica_health::oldest_wait(time_point now) const
{
    duration oldest{0};
    for (const auto& [send, sent_at] : this->in_flight)
    {
        oldest = std::max(oldest, now - sent_at);
    }
    return oldest;
}

} // namespace hawthornrelay::core::relay
