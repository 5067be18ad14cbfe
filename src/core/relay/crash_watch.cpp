#include <core/relay/crash_watch.hpp>

#include <algorithm>
#include <iterator>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// How long a crash counts against its request.
constexpr std::chrono::minutes remembered_time{2};

/// Crashes closer to each other than this may be one that several attempts met,
/// on one node or on several.
constexpr std::chrono::seconds same_crash_time{1};

/// A replica that is asked for its health answers or not within this time.
constexpr std::chrono::seconds suspicion_time{5};

/// Crashes that one message between nodes carries; it must fit into a datagram.
constexpr std::size_t most_told = 16;

/// Bounds on memory; what is beyond them is not watched.
constexpr std::size_t most_requests = 4096;
constexpr std::size_t most_crashes = 16;

bool is_same_time(time_point left, time_point right)
{
    return left - right < same_crash_time && right - left < same_crash_time;
}

} // namespace

void crash_watch::on_broken(const std::string& replica,
                            base::fingerprint request,
                            const std::string& attempt,
                            time_point now)
{
    this->suspicions[replica].push_back({request, base::hash_of(attempt), now});
}

void crash_watch::on_answered(base::fingerprint request, time_point now)
{
    const auto found = this->requests.find(request);
    if (found != this->requests.end())
    {
        found->second.answered_at = now;
    }
}

std::vector<base::fingerprint> crash_watch::on_check(const std::string& replica,
                                                     bool has_answered,
                                                     time_point asked_at)
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
                      if (!has_answered && this->note_own(open))
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

std::vector<crash_watch::met_crash> crash_watch::history::open() const
{
    std::vector<met_crash> result;
    std::copy_if(this->crashes.begin(),
                 this->crashes.end(),
                 std::back_inserter(result),
                 [this](const met_crash& crash)
                 {
                     return !this->answered_at || crash.at > *this->answered_at;
                 });
    return result;
}

crash_watch::history* crash_watch::history_of(base::fingerprint request)
{
    const bool is_full = this->requests.size() >= most_requests &&
                         !this->requests.contains(request);
    return is_full ? nullptr : &this->requests[request];
}

bool crash_watch::note_own(const suspicion& confirmed)
{
    auto* known = this->history_of(confirmed.request);
    if (known == nullptr || known->crashes.size() >= most_crashes)
    {
        return false;
    }
    const bool is_known =
        std::any_of(known->crashes.begin(),
                    known->crashes.end(),
                    [&confirmed](const met_crash& other)
                    {
                        return is_same_time(other.at, confirmed.broke_at);
                    });
    if (!is_known)
    {
        known->crashes.push_back({confirmed.attempt, confirmed.broke_at});
    }
    return !is_known;
}

bool crash_watch::has_suspicion(const std::string& replica) const
{
    return this->suspicions.contains(replica);
}

std::size_t crash_watch::crashes_of(base::fingerprint request,
                                    time_point now) const
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
    {
        return 0;
    }
    std::vector<time_point> apart;
    for (const auto& crash : found->second.open())
    {
        const bool counts =
            now - crash.at < remembered_time &&
            std::none_of(apart.begin(),
                         apart.end(),
                         [&crash](time_point other)
                         {
                             return is_same_time(other, crash.at);
                         });
        if (counts)
        {
            apart.push_back(crash.at);
        }
    }
    return apart.size();
}

void crash_watch::merge(const std::vector<crash_report>& reports,
                        time_point now)
{
    for (const auto& report : reports)
    {
        auto* known = report.age < remembered_time
                          ? this->history_of(report.request)
                          : nullptr;
        if (known == nullptr)
        {
            continue;
        }
        auto& crashes = known->crashes;
        const auto at = now - report.age;
        const auto found = std::find_if(crashes.begin(),
                                        crashes.end(),
                                        [&report](const met_crash& crash)
                                        {
                                            return crash.number == report.crash;
                                        });
        if (found != crashes.end())
        {
            // A report that was read late, after a pause, looks too young.
            found->at = std::min(found->at, at);
        }
        else if (crashes.size() < most_crashes)
        {
            crashes.push_back({report.crash, at});
        }
    }
}

std::vector<crash_report> crash_watch::to_tell(time_point now) const
{
    std::vector<crash_report> reports;
    for (const auto& [request, known] : this->requests)
    {
        for (const auto& crash : known.open())
        {
            reports.push_back({request, crash.number, now - crash.at});
        }
    }
    std::sort(reports.begin(),
              reports.end(),
              [](const auto& left, const auto& right)
              {
                  return left.age < right.age;
              });
    reports.resize(std::min(reports.size(), most_told));
    return reports;
}

void crash_watch::expire(time_point now)
{
    for (auto& [request, known] : this->requests)
    {
        std::erase_if(known.crashes,
                      [now](const met_crash& crash)
                      {
                          return now - crash.at >= remembered_time;
                      });
    }
    std::erase_if(this->requests,
                  [](const auto& item)
                  {
                      return item.second.crashes.empty();
                  });
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
