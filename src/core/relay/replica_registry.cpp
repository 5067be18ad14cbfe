#include <core/relay/replica_registry.hpp>

#include <algorithm>
#include <tuple>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// The platform guarantees that registrations that lapsed in a store outage are
/// written again within two seconds after it.
constexpr std::chrono::milliseconds lapse_grace{2000};

bool is_older(const replica_record& left, const replica_record& right)
{
    return std::tie(left.started_at, left.sequence) <
           std::tie(right.started_at, right.sequence);
}

} // namespace

bool replica_registry::put(const replica_record& record, time_point now)
{
    std::deque<time_point> recent_sends;
    replica_pace earlier_pace;
    const bool starts_slowly = this->reports_work(record.service);
    const auto known = this->replicas.find(record.id);
    if (known != this->replicas.end())
    {
        auto& current = known->second->record;
        if (is_older(record, current))
        {
            return false;
        }
        this->pending_removals.erase(record.id);
        const bool is_same_incarnation =
            record.started_at == current.started_at &&
            record.address == current.address &&
            record.service == current.service;
        if (is_same_incarnation)
        {
            const bool changed = current.is_draining != record.is_draining;
            current = record;
            if (record.warm_up_left.count() > 0)
            {
                known->second->cold_until = now + record.warm_up_left;
            }
            return changed;
        }
        // Sends may have reached the new incarnation before its registration
        // arrived here, so they still count against the bound.
        recent_sends = std::move(known->second->recent_sends);
        earlier_pace = known->second->health.pace();
        const bool is_planned =
            current.is_draining || known->second->is_leaving;
        if (!is_planned && known->second->health.reports_work())
        {
            earlier_pace.on_ended(now);
        }
        this->drop(record.id);
    }
    auto added = std::make_shared<replica>();
    added->recent_sends = std::move(recent_sends);
    added->record = record;
    added->health.on_alive(now);
    if (starts_slowly)
    {
        added->health.on_started(earlier_pace, now);
    }
    added->cold_until = now + record.warm_up_left;
    this->replicas[record.id] = added;
    this->by_service[record.service].push_back(added);
    return true;
}

bool replica_registry::remove(const std::string& id,
                              bool may_have_lapsed,
                              time_point now)
{
    const auto known = this->replicas.find(id);
    if (known == this->replicas.end())
    {
        return false;
    }
    if (may_have_lapsed && !known->second->record.is_draining)
    {
        this->pending_removals.emplace(id, now + lapse_grace);
    }
    else
    {
        this->drop(id);
    }
    return true;
}

void replica_registry::remove_unreadable(const std::string& id, time_point now)
{
    this->remove(id, false, now);
}

std::vector<std::string> replica_registry::expire(time_point now)
{
    std::vector<std::string> expired;
    for (const auto& [id, until] : this->pending_removals)
    {
        if (until <= now)
        {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired)
    {
        this->drop(id);
    }
    return expired;
}

void replica_registry::set_zone_out(const std::string& zone, bool is_out)
{
    if (is_out)
    {
        this->zones_out.insert(zone);
    }
    else
    {
        this->zones_out.erase(zone);
    }
}

std::vector<replica_ptr> replica_registry::usable(const std::string& service,
                                                  time_point now) const
{
    std::vector<replica_ptr> result;
    const auto found = this->by_service.find(service);
    if (found == this->by_service.end())
    {
        return result;
    }
    for (const auto& candidate : found->second)
    {
        if (this->is_in_service(*candidate, now) &&
            candidate->back_off_until <= now)
        {
            result.push_back(candidate);
        }
    }
    return result;
}

bool replica_registry::reports_work(const std::string& service) const
{
    const auto found = this->by_service.find(service);
    return found != this->by_service.end() &&
           std::any_of(found->second.begin(),
                       found->second.end(),
                       [](const replica_ptr& other)
                       {
                           return other->health.reports_work();
                       });
}

bool replica_registry::is_in_service(const replica& candidate,
                                     time_point now) const
{
    return !candidate.record.is_draining && !candidate.is_leaving &&
           candidate.displaced_until <= now &&
           !this->zones_out.contains(candidate.record.zone);
}

std::optional<base::duration>
replica_registry::shortest_back_off(const std::string& service,
                                    time_point now) const
{
    std::optional<base::duration> shortest;
    const auto found = this->by_service.find(service);
    if (found == this->by_service.end())
    {
        return shortest;
    }
    for (const auto& candidate : found->second)
    {
        const auto wait = candidate->back_off_until - now;
        if (this->is_in_service(*candidate, now) && wait > base::duration(0))
        {
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

bool replica_registry::has_other_version(const std::string& service,
                                         const std::string& version) const
{
    const auto found = this->by_service.find(service);
    return found != this->by_service.end() &&
           std::any_of(found->second.begin(),
                       found->second.end(),
                       [&](const replica_ptr& item)
                       {
                           return item->record.version != version;
                       });
}

void replica_registry::drop(const std::string& id)
{
    this->pending_removals.erase(id);
    const auto found = this->replicas.find(id);
    if (found == this->replicas.end())
    {
        return;
    }
    found->second->is_removed = true;
    auto& list = this->by_service[found->second->record.service];
    list.erase(std::remove(list.begin(), list.end(), found->second),
               list.end());
    this->replicas.erase(found);
}

} // namespace hawthornrelay::core::relay
