#include <core/relay/replica_pace.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Shares after a start, after a silence, and at least.
constexpr double initial_share = 1.0 / 16;
constexpr double share_after_silence = 0.5;
constexpr double min_share = 1.0 / 64;

/// Interval of the schedule: the whole share is reached after 2 s.
constexpr std::chrono::milliseconds growth_interval{500};

/// Growth in one interval above the threshold; halved for each end of the
/// replica, so that one that ends above some share does so ever less often.
constexpr double growth = 1.0 / 16;
constexpr unsigned max_falls = 5;

/// Answers within this time after a reduction may be to sends from before it.
constexpr std::chrono::milliseconds reduction_interval{250};

/// A node that sends little may see no answer for long; after this time growth
/// goes on without one.
constexpr std::chrono::seconds hold_limit{2};

/// Reductions end this long after the last one, and after the whole share was
/// reached.
constexpr std::chrono::seconds watch_time{10};

/// An end of the replica is forgotten after this time.
constexpr std::chrono::minutes fall_memory{2};

/// Weight of one answer in the mean of ratios.
constexpr double ratio_weight = 0.25;

/// Growth of the ratio over the least one of the slow start that shows an
/// overload. A cold replica is 1.6 times slow throughout.
constexpr double max_gradient = 2.0;

} // namespace

void replica_pace::begin(time_point now)
{
    this->start(initial_share, now);
}

void replica_pace::begin_after_silence(time_point now)
{
    this->start(share_after_silence, now);
}

void replica_pace::start(double initial, time_point now)
{
    if (now - this->ended_at > fall_memory)
    {
        this->falls = 0;
        this->threshold = 1;
    }
    this->is_active = true;
    this->current = std::min(initial, this->threshold);
    this->is_held = false;
    this->recent_ratio.reset();
    this->least_ratio = 0;
    this->grown_at = now;
    this->reduced_at = now - reduction_interval;
    this->step = pace_step::started;
}

void replica_pace::on_answer(double unexplained_ratio,
                             const replica_load& load,
                             time_point now)
{
    if (!this->is_active)
    {
        return;
    }
    this->recent_ratio =
        this->recent_ratio
            ? *this->recent_ratio +
                  ratio_weight * (unexplained_ratio - *this->recent_ratio)
            : unexplained_ratio;
    // Answers that are faster than usual are no reason to expect others.
    const double ratio = std::max(1.0, *this->recent_ratio);
    this->least_ratio =
        this->least_ratio > 0 ? std::min(this->least_ratio, ratio) : ratio;
    const bool is_overloaded =
        load.waiting >= load.slots || ratio > this->least_ratio * max_gradient;
    if (is_overloaded)
    {
        this->reduce(now);
    }
    else if (load.waiting < 1 && this->is_held)
    {
        this->is_held = false;
        this->grown_at = now;
    }
}

void replica_pace::on_rejected(time_point now)
{
    if (this->is_active)
    {
        this->reduce(now);
    }
}

void replica_pace::on_ended(time_point now)
{
    const bool is_recent = now - this->ended_at <= fall_memory;
    this->grow(now);
    this->falls = is_recent ? std::min(this->falls + 1, max_falls) : 0;
    this->threshold = std::max(min_share, this->current / 2);
    this->ended_at = now;
}

void replica_pace::reduce(time_point now)
{
    this->grow(now);
    if (now - this->reduced_at < reduction_interval)
    {
        return;
    }
    this->current = std::max(min_share, this->current / 2);
    this->threshold = this->current;
    this->is_held = true;
    this->reduced_at = now;
    this->grown_at = now;
    this->step = pace_step::reduced;
}

void replica_pace::grow(time_point now)
{
    if (this->is_held && now - this->reduced_at >= hold_limit)
    {
        this->is_held = false;
        this->grown_at = now;
    }
    if (this->is_held)
    {
        return;
    }
    const double increment = std::ldexp(growth, -static_cast<int>(this->falls));
    while (this->current < 1 && now - this->grown_at >= growth_interval)
    {
        this->grown_at += growth_interval;
        const double next = this->current < this->threshold
                                ? std::min(this->current * 2, this->threshold)
                                : this->current + increment;
        this->current = std::min(1.0, next);
        if (this->current >= 1)
        {
            this->step = pace_step::completed;
        }
    }
}

double replica_pace::share(time_point now)
{
    if (!this->is_active)
    {
        return 1;
    }
    this->grow(now);
    if (this->current >= 1 && now - this->grown_at >= watch_time &&
        now - this->reduced_at >= watch_time)
    {
        this->is_active = false;
    }
    return this->current;
}

std::optional<pace_step> replica_pace::take_step()
{
    return std::exchange(this->step, std::nullopt);
}

} // namespace hawthornrelay::core::relay
