#include <core/query/replica_view.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace hawthornrelay::core::query
{

namespace
{

/// Time in which the weight of a load report halves.
constexpr base::duration report_half_life = std::chrono::milliseconds(20);

} // namespace

void replica_view::sent(const base::replica_id& id)
{
    ++this->replicas[id].outstanding;
}

void replica_view::ended(const base::replica_id& id)
{
    auto& replica = this->replicas[id];
    if (replica.outstanding > 0)
    {
        --replica.outstanding;
    }
}

void replica_view::report(const base::replica_id& id,
                          const messages::work_result& result,
                          base::time_point now)
{
    auto& replica = this->replicas[id];
    if (result.newest != 0)
    {
        replica.oldest = result.oldest;
        replica.newest = result.newest;
    }
    if (result.limit != 0)
    {
        replica.limit = result.limit;
        replica.wait = result.wait;
        replica.busy = result.busy;
        replica.last_report = now;
    }
}

void replica_view::avoid(const base::replica_id& id, base::time_point until)
{
    this->replicas[id].avoid_until = until;
}

double replica_view::expected_load(const replica_state& replica,
                                   base::time_point now)
{
    const std::chrono::duration<double> age = now - replica.last_report;
    const std::chrono::duration<double> half_life = report_half_life;
    const double weight = std::exp2(-age.count() / half_life.count());
    const double work = weight * replica.busy + replica.outstanding;
    return work / replica.limit;
}

const placement::route* replica_view::choose(
    const std::vector<placement::route>& routes,
    const std::set<std::uint32_t>& excluded,
    base::index_version version,
    base::time_point now,
    const std::function<bool(const base::node_id&)>& is_reachable)
{
    using rank = std::tuple<bool, bool, double>;
    const placement::route* best = nullptr;
    rank best_rank;
    const auto start = this->rotation++;
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        const auto& route = routes[(start + i) % routes.size()];
        const bool is_candidate = route.accepts_work && !route.holder.empty() &&
                                  !excluded.contains(route.id.index);
        if (!is_candidate)
        {
            continue;
        }
        const auto& replica = this->replicas[route.id];
        const bool lacks_version =
            version != 0 && replica.newest != 0 &&
            (version < replica.oldest || version > replica.newest);
        const bool is_suspect =
            replica.avoid_until > now || !is_reachable(route.holder);
        const rank candidate{
            lacks_version, is_suspect, expected_load(replica, now)};
        if (best == nullptr || candidate < best_rank)
        {
            best = &route;
            best_rank = candidate;
        }
    }
    return best;
}

base::index_version
replica_view::newest_version(const std::vector<placement::route>& routes) const
{
    base::index_version newest = 0;
    for (const auto& route : routes)
    {
        const auto it = this->replicas.find(route.id);
        if (it != this->replicas.end() && route.accepts_work)
        {
            newest = std::max(newest, it->second.newest);
        }
    }
    return newest;
}

base::duration
replica_view::min_wait(const std::vector<placement::route>& routes,
                       base::time_point now) const
{
    auto least = base::duration::max();
    for (const auto& route : routes)
    {
        const auto it = this->replicas.find(route.id);
        if (!route.accepts_work)
        {
            continue;
        }
        if (it == this->replicas.end())
        {
            return base::duration::zero();
        }
        const auto age = now - it->second.last_report;
        least = std::min(
            least, std::max(it->second.wait - age, base::duration::zero()));
    }
    return least == base::duration::max() ? base::duration::zero() : least;
}

} // namespace hawthornrelay::core::query
