#include <core/placement/placement.hpp>

#include <algorithm>
#include <cstdint>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::placement
{

namespace
{

using candidates = std::vector<const membership::member*>;

bool is_used(const holders& used, const base::node_id& id)
{
    return std::find(used.begin(), used.end(), id) != used.end();
}

/// The unused candidate with the highest weight, or nullptr if all are used.
const membership::member* highest_weighted(const candidates& from,
                                           std::uint64_t seed,
                                           const holders& used)
{
    const membership::member* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto* candidate : from)
    {
        const auto weight = base::hash_of(candidate->id, seed);
        const bool is_better = best == nullptr || weight > best_weight;
        if (is_better && !is_used(used, candidate->id))
        {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

member_index::member_index(const std::vector<membership::member>& members)
    : members(members)
{
    for (const auto& item : this->members)
    {
        this->all_members.push_back(&item);
        this->by_zone[item.zone].push_back(&item);
    }
}

const membership::member* member_index::best(const std::string& zone,
                                             std::uint64_t seed,
                                             const holders& used) const
{
    static const holders none_used;
    const auto local = this->by_zone.find(zone);
    if (local != this->by_zone.end())
    {
        const auto* found = highest_weighted(local->second, seed, used);
        if (found != nullptr)
        {
            return found;
        }
    }
    const auto* found = highest_weighted(this->all_members, seed, used);
    if (found != nullptr)
    {
        return found;
    }
    return highest_weighted(this->all_members, seed, none_used);
}

holders holders_of(std::string_view name,
                   const config::service& target,
                   const member_index& members)
{
    holders chosen;
    const auto service_seed = base::hash_of(name);
    for (std::size_t i = 0; i < target.replicas.size(); ++i)
    {
        const auto* best =
            members.best(target.replicas[i].zone, service_seed + i, chosen);
        chosen.push_back(best == nullptr ? base::node_id{} : best->id);
    }
    return chosen;
}

std::vector<base::node_id>
ranked(std::string_view name,
       const std::vector<membership::member>& members,
       std::size_t count)
{
    const auto seed = base::hash_of(name);
    std::vector<std::pair<std::uint64_t, base::node_id>> weights;
    weights.reserve(members.size());
    for (const auto& candidate : members)
    {
        weights.emplace_back(base::hash_of(candidate.id, seed), candidate.id);
    }
    std::sort(weights.rbegin(), weights.rend());
    std::vector<base::node_id> result;
    for (std::size_t i = 0; i < std::min(count, weights.size()); ++i)
    {
        result.push_back(weights[i].second);
    }
    return result;
}

} // namespace hawthornrelay::core::placement
