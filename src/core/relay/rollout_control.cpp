#include <core/relay/rollout_control.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

using base::duration;

namespace
{

/// The new version is observed for most of an order's duration, as some become
/// bad later. The rest is for the replacement of a decider.
constexpr double observed_fraction = 0.7;

/// Most traffic goes to the new version for this part of the duration before
/// completion, and for no longer than max_shift. Together with the canary's
/// part of the share, this stays below the bound for a bad version.
constexpr double shift_fraction = 0.05;
constexpr std::chrono::seconds max_shift{3};

/// Standbys hear of the stage within the least time.
constexpr std::chrono::milliseconds min_drain{600};
constexpr std::chrono::milliseconds max_drain{2000};

/// The stored age of an order is at most this part of its duration old.
constexpr double refresh_fraction = 0.1;

duration part_of(std::chrono::milliseconds whole, double fraction)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(whole) * fraction);
}

} // namespace

rollout_control::rollout_control(const rollout_order& order,
                                 const rollout_bounds& bounds)
    : duration(order.duration), bounds(bounds)
{
}

duration rollout_control::observation_time() const
{
    return std::max(part_of(this->duration, observed_fraction),
                    base::duration(this->duration - this->bounds.max_stretch) -
                        this->shift_time());
}

duration rollout_control::shift_time() const
{
    return std::min(base::duration(max_shift),
                    part_of(this->duration, shift_fraction));
}

duration rollout_control::refresh_interval() const
{
    return part_of(this->duration, refresh_fraction);
}

void rollout_control::step(const rollout_view& view,
                           const std::optional<rollout_state>& stored)
{
    this->current_stage = rollout_stage::hold;
    this->wanted = std::nullopt;
    if (stored && *stored != rollout_state::running)
    {
        return;
    }
    this->has_rejected = this->has_rejected || view.is_withdrawn ||
                         view.verdict == rollout_verdict::bad;
    const bool is_out_of_time = view.age >= base::duration(this->duration);
    // Without a replica the service would have none after completion.
    if (this->has_rejected || (is_out_of_time && !view.has_target_replica))
    {
        this->has_rejected = true;
        this->wanted = rollout_state::rolled_back;
        return;
    }
    if (!stored)
    {
        this->wanted = rollout_state::running;
        return;
    }
    const bool is_observed = view.age >= this->observation_time();
    if (!is_observed || !view.has_target_replica)
    {
        this->shift_began_at.reset();
        this->drain_began_at.reset();
        this->current_stage = rollout_stage::canary;
        return;
    }
    if (!this->shift_began_at)
    {
        this->shift_began_at = view.age;
    }
    if (view.age - *this->shift_began_at < this->shift_time())
    {
        this->current_stage = rollout_stage::shift;
        return;
    }
    if (!this->drain_began_at)
    {
        this->drain_began_at = view.age;
    }
    this->current_stage = rollout_stage::drain;
    const auto drained_for = view.age - *this->drain_began_at;
    // A node that is silent does not delay completion beyond max_drain.
    if (drained_for >= (view.is_drained ? min_drain : max_drain))
    {
        this->wanted = rollout_state::completed;
    }
}

} // namespace hawthornrelay::core::relay
