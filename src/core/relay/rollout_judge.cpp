#include <core/relay/rollout_judge.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

namespace hawthornrelay::core::relay
{

namespace
{

/// Periods that are judged by themselves, besides the whole roll-out.
constexpr std::array<std::chrono::seconds, 2> recent_periods{
    std::chrono::seconds(4), std::chrono::seconds(15)};

/// A slice lasts at least min_slice, and until the earlier versions have this
/// many responses or max_slice has passed. Within one slice both versions see
/// the same faults; over longer times the earlier versions avoid a slow zone
/// and the canary cannot.
constexpr std::chrono::seconds min_slice{2};
constexpr std::chrono::seconds max_slice{10};
constexpr unsigned full_slice = 60;

/// A version is bad if the excess of its bad responses is this many standard
/// deviations. The verdict is repeated several times a second over correlated
/// periods, so the usual 2 to 3 would reject good versions.
constexpr double bad_deviations = 4.5;

/// The excess that the other replicas must show without the worst one.
constexpr double remaining_deviations = 2.0;

/// Least number of bad responses above the expected ones, and least excess as a
/// fraction of the responses. Smaller differences do not matter to callers.
constexpr double min_excess = 6.0;
constexpr double min_excess_fraction = 0.03;

/// Responses of replicas other than the worst one, above which these must be
/// worse than the earlier versions too.
constexpr double min_other_responses = 12.0;

/// Responses of the new version on a route that make a verdict possible.
constexpr double min_responses = 20.0;

/// Responses of the earlier versions that give a usable fraction: in a zone
/// within a slice, and over a longer time.
constexpr double min_slice_base = 5.0;
constexpr double min_base = 10.0;

double responses_of(const rollout_count& count, bool by_latency)
{
    return by_latency ? count.timed : count.responses;
}

double bad_of(const rollout_count& count, bool by_latency)
{
    return by_latency ? count.slow : count.failed;
}

/// The responses of the earlier versions on a route.
template <typename Totals>
rollout_count base_of_route(const Totals& counts, std::uint32_t route)
{
    rollout_count result;
    for (const auto& [key, count] : counts)
    {
        if (std::get<0>(key) == route && std::get<2>(key) == 0)
        {
            result.add(count);
        }
    }
    return result;
}

/// The responses of the earlier versions on a route in a zone.
template <typename Totals>
rollout_count
base_of_zone(const Totals& counts, std::uint32_t route, std::uint32_t zone)
{
    const auto found = counts.find({route, zone, 0});
    return found == counts.end() ? rollout_count() : found->second;
}

/// Chooses what the responses of a slice are compared with, nullopt if there is
/// no measure.
template <typename Totals>
std::optional<rollout_count> choose_base(const Totals& slice,
                                         const Totals& all,
                                         std::uint32_t route,
                                         std::uint32_t zone,
                                         bool by_latency)
{
    const auto in_slice = base_of_zone(slice, route, zone);
    if (responses_of(in_slice, by_latency) >= min_slice_base)
    {
        return in_slice;
    }
    const auto in_zone = base_of_zone(all, route, zone);
    if (responses_of(in_zone, by_latency) < min_base)
    {
        // Without earlier versions in the zone, its latency has no measure.
        const auto in_route = base_of_route(all, route);
        return by_latency || in_route.responses < min_base
                   ? std::nullopt
                   : std::optional(in_route);
    }
    // The earlier versions avoid the zone at present, or have no traffic. Their
    // responses of another time do not show what faults there are now.
    return std::nullopt;
}

} // namespace

void rollout_judge::on_counts(const std::string& node,
                              std::uint64_t incarnation,
                              const std::vector<rollout_count>& counts)
{
    auto& known = this->counts_by_node[{node, incarnation}];
    for (const auto& count : counts)
    {
        auto& current = known[{count.route, count.zone, count.replica}];
        // Datagrams may arrive in another order.
        if (count.responses + count.timed >= current.responses + current.timed)
        {
            current = count;
        }
    }
}

rollout_judge::totals rollout_judge::sum() const
{
    totals result;
    for (const auto& [node, counts] : this->counts_by_node)
    {
        for (const auto& [key, count] : counts)
        {
            result[key].add(count);
        }
    }
    return result;
}

void rollout_judge::excess::add(const excess& other)
{
    this->responses += other.responses;
    this->bad += other.bad;
    this->variance += other.variance;
}

double rollout_judge::excess::deviations() const
{
    // One response more keeps few failures from being significant when the
    // earlier versions have none.
    return this->bad / std::sqrt(std::max(0.0, this->variance) + 1);
}

void rollout_judge::record(base::time_point now)
{
    this->recorded_at = now;
    if (this->slice_began == base::time_point{})
    {
        this->slice_began = now;
    }
    const auto length = now - this->slice_began;
    if (length < min_slice)
    {
        return;
    }
    auto all = this->sum();
    unsigned base_responses = 0;
    for (const auto& [key, count] : all)
    {
        const auto before = this->slice_start.find(key);
        base_responses += std::get<2>(key) != 0 ? 0
                          : before == this->slice_start.end()
                              ? count.responses
                              : count.responses - before->second.responses;
    }
    if (base_responses < full_slice && length < max_slice)
    {
        return;
    }
    auto ended = this->compare_slice(all);
    for (const auto& [key, found] : ended)
    {
        this->earlier_slices[key].add(found);
    }
    this->recent_slices.emplace_back(now, std::move(ended));
    while (now - this->recent_slices.front().first > recent_periods.back())
    {
        this->recent_slices.pop_front();
    }
    this->slice_start = std::move(all);
    this->slice_began = now;
}

rollout_judge::excesses rollout_judge::compare_slice(const totals& all) const
{
    auto slice = all;
    for (const auto& [key, before] : this->slice_start)
    {
        auto& count = slice[key];
        count.responses -= before.responses;
        count.failed -= before.failed;
        count.timed -= before.timed;
        count.slow -= before.slow;
    }
    excesses result;
    for (const auto& [key, count] : slice)
    {
        const auto [route, zone, replica] = key;
        for (const bool by_latency : {false, true})
        {
            const auto base =
                replica == 0 ? std::nullopt
                             : choose_base(slice, all, route, zone, by_latency);
            if (!base)
            {
                continue;
            }
            // Half a response more, so that a fraction of 0 is not certain.
            const double base_count = responses_of(*base, by_latency) + 1;
            const double fraction =
                std::min(1.0, (bad_of(*base, by_latency) + 0.5) / base_count);
            const double responses = responses_of(count, by_latency);
            result[{by_latency, route, replica}].add(
                {.responses = responses,
                 .bad = bad_of(count, by_latency) - responses * fraction,
                 .variance = responses * fraction * (1 - fraction) *
                             (1 + responses / base_count)});
        }
    }
    return result;
}

rollout_verdict rollout_judge::verdict() const
{
    const auto present = this->compare_slice(this->sum());
    std::vector<excesses> periods{present};
    for (const auto& [key, found] : this->earlier_slices)
    {
        periods.front()[key].add(found);
    }
    for (const auto& length : recent_periods)
    {
        auto period = present;
        for (const auto& [ended_at, slice] : this->recent_slices)
        {
            if (this->recorded_at - ended_at > length)
            {
                continue;
            }
            for (const auto& [key, found] : slice)
            {
                period[key].add(found);
            }
        }
        periods.push_back(std::move(period));
    }
    auto result = rollout_verdict::undecided;
    for (const auto& period : periods)
    {
        const auto found = judge(period);
        if (found == rollout_verdict::bad)
        {
            return found;
        }
        result = found == rollout_verdict::good ? found : result;
    }
    return result;
}

rollout_verdict rollout_judge::judge(const excesses& period)
{
    std::map<std::pair<bool, std::uint32_t>, excess> by_route;
    std::map<std::pair<bool, std::uint32_t>, excess> worst_by_route;
    for (const auto& [key, found] : period)
    {
        const std::pair route(std::get<0>(key), std::get<1>(key));
        by_route[route].add(found);
        auto& worst = worst_by_route.try_emplace(route, found).first->second;
        worst = found.bad > worst.bad ? found : worst;
    }
    auto result = rollout_verdict::undecided;
    for (const auto& [route, total] : by_route)
    {
        if (total.responses >= min_responses)
        {
            result = rollout_verdict::good;
        }
        const bool is_excess =
            total.bad >= min_excess &&
            total.bad >= min_excess_fraction * total.responses &&
            total.deviations() >= bad_deviations;
        if (!is_excess)
        {
            continue;
        }
        // One faulty replica is no fault of its version.
        const auto& worst = worst_by_route.at(route);
        const excess others{.responses = total.responses - worst.responses,
                            .bad = total.bad - worst.bad,
                            .variance = total.variance - worst.variance};
        if (others.responses < min_other_responses ||
            others.deviations() >= remaining_deviations)
        {
            return rollout_verdict::bad;
        }
    }
    return result;
}

std::uint64_t rollout_judge::bad_responses() const
{
    std::uint64_t result = 0;
    for (const auto& [key, count] : this->sum())
    {
        if (std::get<2>(key) != 0)
        {
            result += std::min(count.responses, count.failed + count.slow);
        }
    }
    return result;
}

} // namespace hawthornrelay::core::relay
