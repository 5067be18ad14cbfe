#include <core/relay/rollout_judge.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <set>

namespace hawthornrelay::core::relay
{

namespace
{

/// Periods that are judged by themselves, besides the whole roll-out.
constexpr std::array<std::chrono::seconds, 2> recent_periods{
    std::chrono::seconds(4), std::chrono::seconds(15)};

/// Interval of the totals that are kept to judge recent periods.
constexpr std::chrono::milliseconds record_interval{500};

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

/// Responses of the earlier versions in a zone that give a usable fraction.
constexpr double min_base_responses = 10.0;

double responses_of(const rollout_count& count, bool by_latency)
{
    return by_latency ? count.timed : count.responses;
}

double bad_of(const rollout_count& count, bool by_latency)
{
    return by_latency ? count.slow : count.failed;
}

/// Sums over replicas and zones of one route.
struct comparison
{
    double responses = 0;
    double excess = 0;
    double variance = 0;

    void add(double count, double bad, double base_fraction, double base_count)
    {
        this->responses += count;
        this->excess += bad - count * base_fraction;
        this->variance += count * base_fraction * (1 - base_fraction) *
                          (1 + count / base_count);
    }

    void subtract(const comparison& other)
    {
        this->responses -= other.responses;
        this->excess -= other.excess;
        this->variance -= other.variance;
    }

    [[nodiscard]] double deviations() const
    {
        // One response more keeps few failures from being significant when the
        // earlier versions have none.
        return this->excess / std::sqrt(std::max(0.0, this->variance) + 1);
    }
};

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

void rollout_judge::record(base::time_point now)
{
    if (!this->history.empty() &&
        now - this->history.back().first < record_interval)
    {
        return;
    }
    this->history.emplace_back(now, this->sum());
    while (now - this->history.front().first > recent_periods.back())
    {
        this->history.pop_front();
    }
}

rollout_verdict rollout_judge::verdict() const
{
    const auto all = this->sum();
    auto result = rollout_verdict::undecided;
    std::vector<totals> periods{all};
    for (const auto& period : recent_periods)
    {
        const auto start = std::find_if(
            this->history.begin(),
            this->history.end(),
            [&](const auto& item)
            {
                return this->history.back().first - item.first <= period;
            });
        if (start == this->history.end())
        {
            continue;
        }
        auto recent = all;
        for (const auto& [key, before] : start->second)
        {
            auto& count = recent[key];
            count.responses -= before.responses;
            count.failed -= before.failed;
            count.timed -= before.timed;
            count.slow -= before.slow;
        }
        periods.push_back(std::move(recent));
    }
    for (const auto& recent : periods)
    {
        for (const bool by_latency : {false, true})
        {
            const auto found = compare(recent, all, by_latency);
            if (found == rollout_verdict::bad)
            {
                return found;
            }
            if (found == rollout_verdict::good)
            {
                result = found;
            }
        }
    }
    return result;
}

rollout_verdict
rollout_judge::compare(const totals& recent, const totals& all, bool by_latency)
{
    std::set<std::uint32_t> routes;
    for (const auto& [key, count] : recent)
    {
        routes.insert(std::get<0>(key));
    }
    auto result = rollout_verdict::undecided;
    for (const auto route : routes)
    {
        double responses = 0;
        if (is_bad(recent, all, route, by_latency, responses))
        {
            return rollout_verdict::bad;
        }
        if (responses >= min_responses)
        {
            result = rollout_verdict::good;
        }
    }
    return result;
}

bool rollout_judge::is_bad(const totals& recent,
                           const totals& all,
                           std::uint32_t route,
                           bool by_latency,
                           double& responses)
{
    rollout_count route_base;
    for (const auto& [key, count] : all)
    {
        if (std::get<0>(key) == route && std::get<2>(key) == 0)
        {
            route_base.add(count);
        }
    }
    const auto base_of = [&](std::uint32_t zone) -> std::optional<rollout_count>
    {
        // The recent figures of the zone, so that a fault that affects both
        // versions is seen in both; otherwise those of the whole roll-out.
        for (const auto* source : {&recent, &all})
        {
            const auto found = source->find({route, zone, 0});
            if (found != source->end() &&
                responses_of(found->second, by_latency) >= min_base_responses)
            {
                return found->second;
            }
        }
        // Without earlier versions in the zone, its latency has no measure.
        return by_latency ? std::nullopt : std::optional(route_base);
    };
    comparison route_total;
    std::map<std::uint32_t, comparison> by_replica;
    for (const auto& [key, count] : recent)
    {
        const auto [count_route, zone, replica] = key;
        if (count_route != route || replica == 0)
        {
            continue;
        }
        const auto base = base_of(zone);
        if (!base)
        {
            continue;
        }
        // Half a response more, so that a fraction of 0 is not certain.
        const double base_count = responses_of(*base, by_latency) + 1;
        const double base_fraction =
            (bad_of(*base, by_latency) + 0.5) / base_count;
        const double own_count = responses_of(count, by_latency);
        const double own_bad = bad_of(count, by_latency);
        route_total.add(
            own_count, own_bad, std::min(1.0, base_fraction), base_count);
        by_replica[replica].add(
            own_count, own_bad, std::min(1.0, base_fraction), base_count);
    }
    responses = route_total.responses;
    const bool is_excess =
        route_total.excess >= min_excess &&
        route_total.excess >= min_excess_fraction * route_total.responses &&
        route_total.deviations() >= bad_deviations;
    if (!is_excess)
    {
        return false;
    }
    // One faulty replica is no fault of its version.
    const auto worst =
        std::max_element(by_replica.begin(),
                         by_replica.end(),
                         [](const auto& left, const auto& right)
                         {
                             return left.second.excess < right.second.excess;
                         });
    auto others = route_total;
    others.subtract(worst->second);
    return others.responses < min_other_responses ||
           others.deviations() >= remaining_deviations;
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
