#include <core/relay/crash_tracker.hpp>

#include <algorithm>
#include <iterator>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// How long a crash counts against a request.
constexpr std::chrono::minutes crash_retention{2};

/// Crashes closer together than this may be one crash seen by several attempts,
/// on one node or on several.
constexpr std::chrono::seconds same_crash_interval{1};

/// Suspicions expire after this time; a health check has ended by then.
constexpr std::chrono::seconds suspicion_timeout{5};

/// Limited so that a beacon fits into a datagram.
constexpr std::size_t max_reports_per_message = 16;

/// Memory limits; requests and crashes beyond them are not recorded.
constexpr std::size_t max_requests = 4096;
constexpr std::size_t max_crashes_per_request = 16;

bool is_same_time(time_point left, time_point right)
{
    return left - right < same_crash_interval &&
           right - left < same_crash_interval;
}

} // namespace

void crash_tracker::on_broken(const std::string& replica,
                              base::fingerprint request,
                              const std::string& caller_attempt,
                              time_point now)
{
    this->suspicions[replica].push_back({request, caller_attempt, now});
}

std::size_t crash_tracker::on_answered(base::fingerprint request,
                                       time_point now)
{
    const auto cleared = this->crashes_of(request, now);
    const auto found = this->requests.find(request);
    if (found != this->requests.end())
    {
        found->second.answered_at = now;
    }
    return cleared;
}

std::vector<resolved_suspicion> crash_tracker::on_check(
    const std::string& replica, bool has_answered, time_point asked_at)
{
    std::vector<resolved_suspicion> resolved;
    const auto at_replica = this->suspicions.find(replica);
    if (at_replica == this->suspicions.end())
    {
        return resolved;
    }
    std::erase_if(at_replica->second,
                  [&](const suspicion& suspected)
                  {
                      if (suspected.broke_at > asked_at)
                      {
                          return false;
                      }
                      resolved.push_back(
                          {suspected.request,
                           suspected.caller_attempt,
                           !has_answered,
                           !has_answered && this->record_crash(suspected)});
                      return true;
                  });
    if (at_replica->second.empty())
    {
        this->suspicions.erase(at_replica);
    }
    return resolved;
}

std::vector<crash_tracker::crash_observation>
crash_tracker::history::unanswered_crashes() const
{
    std::vector<crash_observation> result;
    std::copy_if(this->crashes.begin(),
                 this->crashes.end(),
                 std::back_inserter(result),
                 [this](const crash_observation& crash)
                 {
                     return !this->answered_at || crash.at > *this->answered_at;
                 });
    return result;
}

crash_tracker::history* crash_tracker::history_for(base::fingerprint request)
{
    const bool is_full = this->requests.size() >= max_requests &&
                         !this->requests.contains(request);
    return is_full ? nullptr : &this->requests[request];
}

bool crash_tracker::record_crash(const suspicion& confirmed)
{
    auto* known = this->history_for(confirmed.request);
    if (known == nullptr || known->crashes.size() >= max_crashes_per_request)
    {
        return false;
    }
    const bool is_known =
        std::any_of(known->crashes.begin(),
                    known->crashes.end(),
                    [&confirmed](const crash_observation& other)
                    {
                        return is_same_time(other.at, confirmed.broke_at);
                    });
    if (!is_known)
    {
        known->crashes.push_back(
            {base::hash_of(confirmed.caller_attempt), confirmed.broke_at});
    }
    return !is_known;
}

bool crash_tracker::has_suspicion(const std::string& replica) const
{
    return this->suspicions.contains(replica);
}

std::size_t crash_tracker::crashes_of(base::fingerprint request,
                                      time_point now) const
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
    {
        return 0;
    }
    std::vector<time_point> distinct;
    for (const auto& crash : found->second.unanswered_crashes())
    {
        const bool counts =
            now - crash.at < crash_retention &&
            std::none_of(distinct.begin(),
                         distinct.end(),
                         [&crash](time_point other)
                         {
                             return is_same_time(other, crash.at);
                         });
        if (counts)
        {
            distinct.push_back(crash.at);
        }
    }
    return distinct.size();
}

void crash_tracker::merge(const std::vector<crash_report>& reports,
                          time_point now)
{
    for (const auto& report : reports)
    {
        auto* known = report.age < crash_retention
                          ? this->history_for(report.request)
                          : nullptr;
        if (known == nullptr)
        {
            continue;
        }
        auto& crashes = known->crashes;
        const auto at = now - report.age;
        const auto found =
            std::find_if(crashes.begin(),
                         crashes.end(),
                         [&report](const crash_observation& crash)
                         {
                             return crash.number == report.crash;
                         });
        if (found != crashes.end())
        {
            // A report that was read late, after a pause of this process,
            // seems more recent than it is.
            found->at = std::min(found->at, at);
        }
        else if (crashes.size() < max_crashes_per_request)
        {
            crashes.push_back({report.crash, at});
        }
    }
}

std::vector<crash_report> crash_tracker::reports_to_send(time_point now) const
{
    std::vector<crash_report> reports;
    for (const auto& [request, known] : this->requests)
    {
        for (const auto& crash : known.unanswered_crashes())
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
    reports.resize(std::min(reports.size(), max_reports_per_message));
    return reports;
}

void crash_tracker::expire(time_point now)
{
    for (auto& [request, known] : this->requests)
    {
        std::erase_if(known.crashes,
                      [now](const crash_observation& crash)
                      {
                          return now - crash.at >= crash_retention;
                      });
    }
    std::erase_if(this->requests,
                  [](const auto& item)
                  {
                      return item.second.crashes.empty();
                  });
    for (auto& [replica, suspected] : this->suspicions)
    {
        std::erase_if(suspected,
                      [now](const suspicion& item)
                      {
                          return now - item.broke_at > suspicion_timeout;
                      });
    }
    std::erase_if(this->suspicions,
                  [](const auto& item)
                  {
                      return item.second.empty();
                  });
}

} // namespace hawthornrelay::core::relay
