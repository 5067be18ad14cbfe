#include <core/relay/crash_watch.hpp>

#include <algorithm>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// Records that one message between nodes carries; it must fit into a
/// datagram.
constexpr std::size_t most_told = 16;

/// A replica that is asked for its health answers or not within this time.
constexpr std::chrono::seconds suspicion_time{5};

} // namespace

crash_watch::crash_watch() : ledger(quarantine::quarantine_limits{})
{
}

void crash_watch::on_broken(const std::string& replica,
                            base::fingerprint request,
                            const std::string& attempt,
                            time_point now)
{
    this->suspicions[replica].push_back({request, base::hash_of(attempt), now});
}

std::vector<base::fingerprint> crash_watch::on_check(const std::string& replica,
                                                     bool has_answered,
                                                     time_point asked_at,
                                                     time_point now)
{
    std::vector<base::fingerprint> found;
    const auto at_replica = this->suspicions.find(replica);
    if (at_replica == this->suspicions.end())
    {
        return found;
    }
    std::erase_if(at_replica->second,
                  [&](const suspicion& open)
                  {
                      if (open.broke_at > asked_at)
                      {
                          return false;
                      }
                      // One record an attempt, however many replicas it met.
                      const bool is_new =
                          !has_answered &&
                          this->ledger.note(
                              {open.request, {}, open.attempt, {}}, now);
                      if (is_new)
                      {
                          found.push_back(open.request);
                      }
                      return true;
                  });
    if (at_replica->second.empty())
    {
        this->suspicions.erase(at_replica);
    }
    return found;
}

bool crash_watch::has_suspicion(const std::string& replica) const
{
    return this->suspicions.contains(replica);
}

std::uint32_t crash_watch::attempts_of(base::fingerprint request,
                                       time_point now) const
{
    return this->ledger.crashes_of(request, now);
}

void crash_watch::merge(const std::vector<messages::crash_record>& records,
                        time_point now)
{
    for (const auto& record : records)
    {
        this->ledger.note(record, now);
    }
}

std::vector<messages::crash_record> crash_watch::to_tell(time_point now) const
{
    auto records = this->ledger.current(now);
    std::sort(records.begin(),
              records.end(),
              [](const auto& left, const auto& right)
              {
                  return left.age < right.age;
              });
    if (records.size() > most_told)
    {
        records.resize(most_told);
    }
    return records;
}

void crash_watch::expire(time_point now)
{
    this->ledger.expire(now);
    for (auto& [replica, open] : this->suspicions)
    {
        std::erase_if(open,
                      [now](const suspicion& item)
                      {
                          return now - item.broke_at > suspicion_time;
                      });
    }
    std::erase_if(this->suspicions,
                  [](const auto& item)
                  {
                      return item.second.empty();
                  });
}

} // namespace hawthornrelay::core::relay
