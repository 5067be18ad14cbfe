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

/// The weight of a load that includes the work halves in this time: the figures
/// change many times a second, so that one of half a second ago says little.
constexpr std::chrono::milliseconds load_half_life{150};

/// A replica with this work factor gets few requests if others are usual.
constexpr double slow_work = 1.5;

/// A replica that gave no sign of life to this node for this long starts
/// slowly.
constexpr std::chrono::seconds long_silence{30};

/// Bounds on the latency that the reported work does not explain.
constexpr double min_unexplained = 0.1;
constexpr double max_unexplained = 20;

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

void replica_health::on_started(const replica_pace& earlier, time_point now)
{
    this->slow_start = earlier;
    this->slow_start.begin(now);
}

void replica_health::on_suspicion(bool was_suspect, time_point now)
{
    if (!this->reports_work() || was_suspect == this->is_suspect())
    {
        return;
    }
    if (was_suspect)
    {
        this->slow_start.begin(now);
    }
    else
    {
        this->slow_start.on_ended(now);
    }
}

void replica_health::on_sent(std::uint64_t send, time_point now)
{
    const auto known_at = std::max(this->last_alive_at, this->silence_ended_at);
    if (this->reports_work() && now - known_at >= long_silence)
    {
        this->silence_ended_at = now;
        this->slow_start.begin_after_silence(now);
    }
    this->in_flight[send] = now;
}

void replica_health::on_result(std::uint64_t send,
                               send_result result,
                               double latency_ratio,
                               time_point now)
{
    this->in_flight.erase(send);
    const bool was_suspect = this->is_suspect();
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
        if (this->load.work_factor)
        {
            this->unexplained_ratio.add(
                std::clamp(latency_ratio / *this->load.work_factor,
                           min_unexplained,
                           max_unexplained),
                now);
            this->slow_start.on_answer(
                latency_ratio / *this->load.work_factor, this->load, now);
        }
        this->has_failed_check = false;
    }
    else if (result != send_result::abandoned)
    {
        // An abandoned send may only have met a pause of the replica.
        this->slow_start.on_rejected(now);
    }
    this->on_suspicion(was_suspect, now);
}

void replica_health::on_load(const replica_load& load, time_point now)
{
    this->load = load;
    this->load_at = now;
}

void replica_health::on_check(bool has_answered,
                              bool is_healthy,
                              time_point now)
{
    const bool was_suspect = this->is_suspect();
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
    this->on_suspicion(was_suspect, now);
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
    const double failures =
        failure_cost * (this->failed.at(now) + this->shed.at(now));
    const double expected = this->slowness(now);
    if (this->load.work_factor)
    {
        return (expected + this->queueing_cost(expected, now)) *
                   distance_factor +
               failures;
    }
    const double utilization =
        now - this->load_at < load_validity ? this->load.utilization() : 0.0;
    const double waiting =
        waiting_cost *
        (static_cast<double>(this->in_flight.size()) + utilization);
    return expected * distance_factor + waiting + failures;
}

bool replica_health::is_report_outdated(duration age, time_point now) const
{
    // A passed check would end the count of failures in a row.
    return this->failures_in_a_row == 0 &&
           this->load.work_factor.value_or(0) >= slow_work &&
           now - this->load_at >= age;
}

bool replica_health::is_report_old(time_point now) const
{
    return this->reports_work() && now - this->load_at >= load_half_life;
}

double replica_health::load_weight(time_point now) const
{
    const auto age = std::chrono::duration<double>(now - this->load_at);
    const auto half = std::chrono::duration<double>(load_half_life);
    return std::exp2(-std::max(0.0, age / half));
}

double replica_health::slowness(time_point now) const
{
    const double observed = std::max(0.1, this->latency_ratio.at(now));
    if (!this->load.work_factor)
    {
        return observed;
    }
    const double reported =
        *this->load.work_factor * this->unexplained_ratio.at(now);
    const double weight = this->load_weight(now);
    return std::max(0.1, weight * reported + (1 - weight) * observed);
}

double replica_health::queueing_cost(double slowness, time_point now) const
{
    const auto own = static_cast<double>(this->in_flight.size());
    // The report includes the sends in flight that were made before it.
    const auto unreported =
        std::count_if(this->in_flight.begin(),
                      this->in_flight.end(),
                      [this](const auto& send)
                      {
                          return send.second >= this->load_at;
                      });
    const double weight = this->load_weight(now);
    const double present =
        std::max(own,
                 weight * (this->load.running + this->load.waiting) +
                     static_cast<double>(unreported));
    const double queued = std::max(0.0, present + 1 - this->load.slots);
    return waiting_cost * (own + weight * this->load.utilization()) +
           slowness * queued / this->load.slots;
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
