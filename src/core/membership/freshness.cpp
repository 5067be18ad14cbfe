#include <core/membership/freshness.hpp>

#include <algorithm>

namespace hawthornrelay::core::membership
{

freshness::freshness(freshness_limits limits,
                     base::node_id self,
                     base::incarnation incarnation)
    : limits(limits), self(std::move(self)), incarnation(incarnation)
{
}

void freshness::mark_verified(base::time_point when)
{
    if (!this->verified_at || *this->verified_at < when)
    {
        this->verified_at = when;
    }
}

void freshness::platform_failed(base::time_point when)
{
    this->failed_at = when;
}

void freshness::platform_answered()
{
    this->failed_at.reset();
}

void freshness::attest(base::revision applied,
                       bool stopping,
                       base::time_point now)
{
    auto& own = this->attestations[this->self];
    own.incarnation = this->incarnation;
    own.applied = applied;
    own.stopping = stopping;
    own.made_at = now;
    own.platform_away =
        this->failed_at && now - *this->failed_at < this->limits.attested_for;
}

void freshness::merge(const std::vector<messages::attestation>& reported,
                      base::time_point probe_sent)
{
    for (const auto& item : reported)
    {
        if (item.node == this->self)
        {
            continue;
        }
        const auto made_at = probe_sent - item.age;
        auto& known = this->attestations[item.node];
        const bool is_newer =
            item.incarnation > known.incarnation ||
            (item.incarnation == known.incarnation && made_at > known.made_at);
        if (is_newer)
        {
            known = attested_state{item.incarnation,
                                   item.platform_away,
                                   item.stopping,
                                   item.applied,
                                   made_at};
        }
    }
}

std::vector<messages::attestation> freshness::newest(std::size_t limit,
                                                     base::time_point now) const
{
    std::vector<messages::attestation> result;
    result.reserve(this->attestations.size());
    for (const auto& [id, attested] : this->attestations)
    {
        result.push_back(
            {id,
             attested.incarnation,
             attested.platform_away,
             attested.stopping,
             attested.applied,
             std::max(now - attested.made_at, base::duration::zero())});
    }
    if (result.size() > limit)
    {
        std::nth_element(result.begin(),
                         result.begin() + static_cast<std::ptrdiff_t>(limit),
                         result.end(),
                         [](const auto& a, const auto& b)
                         {
                             return a.age < b.age;
                         });
        result.resize(limit);
    }
    return result;
}

bool freshness::is_verified(base::time_point now) const
{
    return this->verified_at &&
           now - *this->verified_at < this->limits.verified_for;
}

std::optional<base::duration>
freshness::verified_age(base::time_point now) const
{
    if (!this->verified_at)
    {
        return std::nullopt;
    }
    return now - *this->verified_at;
}

bool freshness::may_act(const member_list& list,
                        base::revision applied,
                        base::time_point now) const
{
    if (applied == 0)
    {
        return false;
    }
    return this->is_verified(now) ||
           this->majority_lacks_platform(list, applied, now);
}

bool freshness::majority_lacks_platform(const member_list& list,
                                        base::revision applied,
                                        base::time_point now) const
{
    std::size_t members = 0;
    std::size_t away = 0;
    for (const auto& [id, row] : list.rows())
    {
        if (row.record.state == member_state::removed)
        {
            continue;
        }
        ++members;
        const auto* attested = this->attestation_of(id);
        if (attested == nullptr ||
            now - attested->made_at >= this->limits.attested_for)
        {
            continue;
        }
        if (attested->applied > applied)
        {
            return false;
        }
        if (attested->platform_away)
        {
            ++away;
        }
    }
    return away * 2 > members;
}

bool freshness::majority_has(
    const member_list& list,
    base::revision revision,
    base::revision settled_epoch,
    base::time_point now,
    const std::function<bool(const member&)>& is_gone) const
{
    std::size_t counted = 0;
    std::size_t confirming = 0;
    for (const auto& [id, row] : list.rows())
    {
        const bool is_removal_settled =
            row.record.state == member_state::removed &&
            row.modified <= settled_epoch;
        if (is_removal_settled || is_gone(row.record))
        {
            continue;
        }
        ++counted;
        const auto* attested = this->attestation_of(id);
        const bool is_confirmed =
            attested != nullptr &&
            attested->incarnation == row.record.incarnation &&
            attested->applied >= revision &&
            now - attested->made_at < this->limits.attested_for;
        if (is_confirmed)
        {
            ++confirming;
        }
    }
    return confirming * 2 > counted;
}

const freshness::attested_state*
freshness::attestation_of(const base::node_id& id) const
{
    const auto it = this->attestations.find(id);
    return it == this->attestations.end() ? nullptr : &it->second;
}

} // namespace hawthornrelay::core::membership
