#include <core/quarantine/crash_history.hpp>

#include <algorithm>

namespace hawthornrelay::core::quarantine
{

crash_history::crash_history(quarantine_limits limits) : limits(limits)
{
}

bool crash_history::record(const messages::crash_record& crash,
                           base::time_point now)
{
    const bool is_expired = crash.age >= this->limits.record_lifetime;
    if (is_expired || this->by_event.contains(crash.event) ||
        this->by_event.size() >= this->limits.capacity)
    {
        return false;
    }
    const auto happened_at = now - crash.age;
    this->by_event.emplace(crash.event, known_crash{crash, happened_at});
    this->by_request.emplace(crash.request, crash.event);
    auto& last = this->last_crash[crash.replica];
    last = std::max(last, happened_at);
    return true;
}

std::uint32_t crash_history::count_recent_crashes(base::fingerprint request,
                                                  base::time_point now) const
{
    std::uint32_t count = 0;
    const auto [first, last] = this->by_request.equal_range(request);
    for (auto it = first; it != last; ++it)
    {
        const auto& item = this->by_event.at(it->second);
        if (now - item.happened_at < this->limits.record_lifetime)
        {
            ++count;
        }
    }
    return count;
}

bool crash_history::is_healthy(const base::replica_id& replica,
                               base::time_point now) const
{
    const auto it = this->last_crash.find(replica);
    return it == this->last_crash.end() ||
           now - it->second >= this->limits.unhealthy_period;
}

bool crash_history::must_refuse(base::fingerprint request,
                                const base::replica_id& replica,
                                const std::vector<placement::route>& siblings,
                                base::time_point now) const
{
    const auto crashes = this->count_recent_crashes(request, now);
    if (crashes == 0)
    {
        return false;
    }
    if (crashes >= this->limits.crashes_to_refuse)
    {
        return true;
    }
    if (!this->is_healthy(replica, now))
    {
        return true;
    }
    return std::none_of(siblings.begin(),
                        siblings.end(),
                        [&](const placement::route& other)
                        {
                            return other.id != replica && other.accepts_work &&
                                   this->is_healthy(other.id, now);
                        });
}

std::vector<messages::crash_record>
crash_history::current(base::time_point now) const
{
    std::vector<messages::crash_record> records;
    for (const auto& [event, item] : this->by_event)
    {
        auto copy = item.crash;
        copy.age = now - item.happened_at;
        records.push_back(std::move(copy));
    }
    return records;
}

void crash_history::expire(base::time_point now)
{
    std::erase_if(this->by_event,
                  [&](const auto& item)
                  {
                      return now - item.second.happened_at >=
                             this->limits.record_lifetime;
                  });
    std::erase_if(this->by_request,
                  [&](const auto& item)
                  {
                      return !this->by_event.contains(item.second);
                  });
    std::erase_if(this->last_crash,
                  [&](const auto& item)
                  {
                      return now - item.second >= this->limits.unhealthy_period;
                  });
}

} // namespace hawthornrelay::core::quarantine
