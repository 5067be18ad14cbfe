#include <core/relay/admission.hpp>

#include <algorithm>
#include <cmath>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// Interval at which the shares are computed.
constexpr std::chrono::milliseconds update_interval{100};

/// Half-life of all counts: long enough for some requests of each kind, short
/// enough to follow a surge of seconds.
constexpr std::chrono::milliseconds count_half_life{500};

/// Requests may exceed what replicas accept by these factors, to notice when
/// more room is available: by the first while replicas shed, by the second
/// while they shed next to nothing.
constexpr double cautious_probe = 1.05;
constexpr double usual_probe = 1.3;
constexpr double few_sheds = 0.02;

/// Utilization above which requests wait longer than they run.
constexpr double high_utilization = 2.0;

/// Fewer sends than this give no reliable estimate.
constexpr double min_sends = 8;

/// Part of an equal share that each kind gets whatever its priority. At least a
/// quarter is required; the rest allows for fluctuation.
constexpr double floor_fraction = 0.4;

/// Kinds with fewer recent requests are forgotten.
constexpr double min_recent = 0.01;

/// Steps of the search for a level; its error is a millionth of the demand.
constexpr int level_steps = 20;

/// Raises kinds of equal priority to a common level, none above its demand.
/// @return the capacity that is left
double fill(const std::vector<kind_share*>& kinds, double capacity)
{
    const auto needed = [&kinds](double level)
    {
        double sum = 0;
        for (const auto* kind : kinds)
        {
            sum +=
                std::max(0.0, std::min(level, kind->demand) - kind->admitted);
        }
        return sum;
    };
    double high = 0;
    for (const auto* kind : kinds)
    {
        high = std::max(high, kind->demand);
    }
    double level = needed(high) <= capacity ? high : 0;
    for (int i = 0; i < level_steps && level < high; ++i)
    {
        const double middle = (level + high) / 2;
        (needed(middle) <= capacity ? level : high) = middle;
    }
    const double used = needed(level);
    for (auto* kind : kinds)
    {
        kind->admitted =
            std::max(kind->admitted, std::min(level, kind->demand));
    }
    return std::max(0.0, capacity - used);
}

} // namespace

void share_capacity(std::vector<kind_share>& shares, double capacity)
{
    double total = 0;
    for (const auto& share : shares)
    {
        total += share.demand;
    }
    const double equal = total > capacity ? capacity / total : 1.0;
    std::map<unsigned, std::vector<kind_share*>> by_priority;
    for (auto& share : shares)
    {
        share.admitted = share.demand * equal * floor_fraction;
        capacity -= share.admitted;
        by_priority[share.kind.priority].push_back(&share);
    }
    for (const auto& [priority, kinds] : by_priority)
    {
        capacity = fill(kinds, capacity);
    }
}

bool admission::try_admit(const std::string& group_name,
                          const request_kind& kind,
                          time_point now)
{
    auto& group = this->groups[group_name];
    if (now - group.updated >= update_interval)
    {
        const bool was_short = group.is_short;
        update(group, now);
        if (group.is_short != was_short && this->on_change)
        {
            this->on_change(group_name, group.is_short);
        }
    }
    auto& state = group.kinds[kind];
    state.recent += 1;
    if (!group.is_short)
    {
        group.admitted += 1;
        return true;
    }
    state.credit = std::min(state.credit + state.fraction, 2.0);
    if (state.credit < 1)
    {
        return false;
    }
    state.credit -= 1;
    group.admitted += 1;
    return true;
}

void admission::on_outcome(const std::string& group_name,
                           std::size_t parts,
                           bool is_shed,
                           double utilization)
{
    const auto found = this->groups.find(group_name);
    if (found == this->groups.end())
    {
        return;
    }
    auto& group = found->second;
    group.sends += 1;
    group.utilization += utilization;
    if (is_shed)
    {
        group.sheds += 1;
    }
    else
    {
        group.accepted += 1.0 / static_cast<double>(parts);
    }
}

void admission::update(group_state& group, time_point now)
{
    std::vector<kind_share> shares;
    double demand = 0;
    for (const auto& [kind, state] : group.kinds)
    {
        shares.push_back({kind, state.recent, 0});
        demand += state.recent;
    }
    // Sheds count only if retries elsewhere do not make up for them.
    const double load = group.utilization / std::max(group.sends, min_sends);
    const bool is_shedding = group.sheds > group.sends * few_sheds;
    const bool is_busy = load > high_utilization;
    const double capacity =
        std::min(group.admitted, group.accepted) *
        std::min(1.0, high_utilization / std::max(load, 1e-9)) *
        (is_shedding || is_busy ? cautious_probe : usual_probe);
    group.is_short = demand > capacity && group.sends >= min_sends &&
                     (group.is_short || is_shedding || is_busy);
    if (group.is_short)
    {
        share_capacity(shares, capacity);
        for (const auto& share : shares)
        {
            group.kinds[share.kind].fraction = share.admitted / share.demand;
        }
    }
    const double kept =
        std::exp2(-std::chrono::duration<double>(now - group.updated) /
                  std::chrono::duration<double>(count_half_life));
    for (auto* count : {&group.admitted,
                        &group.accepted,
                        &group.sends,
                        &group.sheds,
                        &group.utilization})
    {
        *count *= kept;
    }
    for (auto& [kind, state] : group.kinds)
    {
        state.recent *= kept;
    }
    std::erase_if(group.kinds,
                  [](const auto& item)
                  {
                      return item.second.recent < min_recent;
                  });
    group.updated = now;
}

} // namespace hawthornrelay::core::relay
