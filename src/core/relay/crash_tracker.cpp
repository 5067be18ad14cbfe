#include <core/relay/crash_tracker.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Crashes closer together than this may be one crash seen by several attempts,
/// on one node or on several.
constexpr std::chrono::seconds same_crash_interval{1};

/// Suspicions expire after this time; a replica that ended has restarted and
/// registered by then.
constexpr std::chrono::seconds suspicion_timeout{10};

/// Limited so that a beacon fits into a datagram.
constexpr std::size_t max_reports_per_message = 16;

/// Reports of a message that are reserved for the newest crashes, which must
/// spread at once.
constexpr std::ptrdiff_t newest_reports_per_message = 8;

/// Memory limits. A request without a crash gives way to another one; crashes
/// beyond the limits are not recorded.
constexpr std::size_t max_histories = 4096;
constexpr std::size_t max_crashes_per_request = 16;

/// A replica that loses many answers without ending leaves the newest.
constexpr std::size_t max_suspicions_per_replica = 64;

/// Histories that are looked at to find one that can be dropped.
constexpr std::size_t max_eviction_candidates = 64;

bool is_same_time(time_point left, time_point right)
{
    return left - right < same_crash_interval &&
           right - left < same_crash_interval;
}

} // namespace

void crash_tracker::on_unanswered(const std::string& replica,
                                  unanswered_send send,
                                  time_point now)
{
    const auto& subject = send.subject;
    this->mark_suspected(subject.request, now);
    if (subject.part != subject.request)
    {
        this->mark_suspected(subject.part, now);
        if (auto* part = this->history_for(subject.part))
        {
            part->request = subject.request;
        }
    }
    const bool is_heard =
        send.is_silent && send.replica_alive_at > send.sent_at;
    auto& at_replica = this->suspicions[replica];
    if (at_replica.size() >= max_suspicions_per_replica)
    {
        at_replica.erase(at_replica.begin());
    }
    at_replica.push_back({std::move(send), now, !is_heard});
}

void crash_tracker::mark_suspected(base::fingerprint fingerprint,
                                   time_point now)
{
    if (auto* known = this->history_for(fingerprint))
    {
        known->suspected_at = now;
    }
}

std::size_t crash_tracker::on_answered(const crash_subject& subject,
                                       time_point now)
{
    std::size_t cleared = 0;
    for (const auto fingerprint : {subject.request, subject.part})
    {
        cleared = std::max(cleared, this->crashes_of(fingerprint, now));
        const auto found = this->histories.find(fingerprint);
        if (found != this->histories.end())
        {
            found->second.answered_at = now;
        }
    }
    return cleared;
}

std::vector<resolved_suspicion>
crash_tracker::on_check(const std::string& replica,
                        check_outcome outcome,
                        time_point asked_at,
                        time_point now)
{
    if (outcome == check_outcome::open)
    {
        return {};
    }
    return this->resolve(
        replica,
        [&](suspicion& suspected) -> std::optional<resolved_suspicion>
        {
            if (suspected.raised_at > asked_at)
            {
                return std::nullopt;
            }
            const bool waits_for_end =
                suspected.needs_check || suspected.send.is_silent;
            if (outcome == check_outcome::gone && waits_for_end)
            {
                return this->confirm(suspected, now);
            }
            if (!std::exchange(suspected.needs_check, false))
            {
                return std::nullopt;
            }
            return resolved_suspicion{suspected.send.subject,
                                      suspected.send.caller_attempt};
        });
}

std::vector<resolved_suspicion> crash_tracker::on_incarnation(
    const std::string& replica, std::uint64_t incarnation, time_point now)
{
    return this->resolve(
        replica,
        [&](suspicion& suspected) -> std::optional<resolved_suspicion>
        {
            const bool has_ended = suspected.send.incarnation < incarnation;
            return has_ended ? std::optional(this->confirm(suspected, now))
                             : std::nullopt;
        });
}

template <class Decision>
std::vector<resolved_suspicion>
crash_tracker::resolve(const std::string& replica, Decision decide)
{
    std::vector<resolved_suspicion> resolved;
    const auto at_replica = this->suspicions.find(replica);
    if (at_replica == this->suspicions.end())
    {
        return resolved;
    }
    std::erase_if(at_replica->second,
                  [&](suspicion& suspected)
                  {
                      const auto decided = decide(suspected);
                      if (decided)
                      {
                          resolved.push_back(*decided);
                      }
                      return decided && decided->is_crash;
                  });
    if (at_replica->second.empty())
    {
        this->suspicions.erase(at_replica);
    }
    return resolved;
}

std::vector<std::string> crash_tracker::suspected_replicas() const
{
    std::vector<std::string> result;
    result.reserve(this->suspicions.size());
    for (const auto& [replica, suspected] : this->suspicions)
    {
        result.push_back(replica);
    }
    return result;
}

resolved_suspicion crash_tracker::confirm(const suspicion& confirmed,
                                          time_point now)
{
    const auto& subject = confirmed.send.subject;
    bool is_new = this->record_crash(subject.request, confirmed, now);
    if (subject.part != subject.request)
    {
        is_new = this->record_crash(subject.part, confirmed, now) || is_new;
    }
    return {subject, confirmed.send.caller_attempt, true, is_new};
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

crash_tracker::history*
crash_tracker::history_for(base::fingerprint fingerprint)
{
    const auto found = this->histories.find(fingerprint);
    if (found != this->histories.end())
    {
        return &found->second;
    }
    if (this->histories.size() >= max_histories &&
        !this->make_room(fingerprint))
    {
        return nullptr;
    }
    return &this->histories[fingerprint];
}

bool crash_tracker::make_room(base::fingerprint fingerprint)
{
    // Fingerprints are evenly distributed, so this is a random sample.
    auto candidate = this->histories.lower_bound(fingerprint);
    for (std::size_t i = 0; i < max_eviction_candidates; ++i)
    {
        if (candidate == this->histories.end())
        {
            candidate = this->histories.begin();
        }
        if (candidate->second.crashes.empty())
        {
            this->histories.erase(candidate);
            return true;
        }
        ++candidate;
    }
    return false;
}

bool crash_tracker::record_crash(base::fingerprint fingerprint,
                                 const suspicion& confirmed,
                                 time_point now)
{
    const auto& send = confirmed.send;
    auto* known = this->history_for(fingerprint);
    if (known == nullptr || known->crashes.size() >= max_crashes_per_request)
    {
        return false;
    }
    const bool is_answered_since =
        known->answered_at && *known->answered_at >= send.sent_at;
    if (is_answered_since)
    {
        return false;
    }
    const auto at = send.is_silent ? now : confirmed.raised_at;
    const auto earlier = known->unanswered_crashes();
    const bool is_known = std::any_of(
        earlier.begin(),
        earlier.end(),
        [&](const crash_observation& other)
        {
            // Of a replica that falls silent it is not known when it ended: it
            // may be the same failure unless the replica was alive since.
            return is_same_time(other.at, at) ||
                   (send.is_silent && send.replica_alive_at <= other.at);
        });
    if (!is_known)
    {
        known->crashes.push_back({base::hash_of(send.caller_attempt), at});
    }
    return !is_known;
}

bool crash_tracker::has_suspicion(const std::string& replica) const
{
    const auto found = this->suspicions.find(replica);
    return found != this->suspicions.end() &&
           std::any_of(found->second.begin(),
                       found->second.end(),
                       [](const suspicion& item)
                       {
                           return item.needs_check;
                       });
}

std::size_t crash_tracker::crashes_of(base::fingerprint fingerprint,
                                      time_point now) const
{
    const auto found = this->histories.find(fingerprint);
    if (found == this->histories.end())
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

bool crash_tracker::must_refuse(base::fingerprint fingerprint,
                                time_point now) const
{
    const auto found = this->quarantined_until.find(fingerprint);
    const bool is_quarantined =
        found != this->quarantined_until.end() && now < found->second;
    return is_quarantined ||
           this->crashes_of(fingerprint, now) >= crashes_to_refuse;
}

bool crash_tracker::is_cleared(base::fingerprint fingerprint,
                               time_point now) const
{
    const auto found = this->histories.find(fingerprint);
    return found != this->histories.end() && found->second.answered_at &&
           this->crashes_of(fingerprint, now) < crashes_to_refuse;
}

bool crash_tracker::quarantine(base::fingerprint fingerprint, time_point now)
{
    auto& until = this->quarantined_until[fingerprint];
    const bool is_new = until <= now;
    if (is_new)
    {
        until = now + crash_retention;
    }
    return is_new;
}

void crash_tracker::release(base::fingerprint fingerprint)
{
    this->quarantined_until.erase(fingerprint);
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

bool crash_tracker::is_reported_by_request(const history& known) const
{
    if (!known.request)
    {
        return false;
    }
    const auto found = this->histories.find(*known.request);
    return found != this->histories.end() &&
           !found->second.unanswered_crashes().empty();
}

std::vector<crash_report> crash_tracker::reports_to_send(time_point now)
{
    std::vector<crash_report> reports;
    for (const auto& [fingerprint, known] : this->histories)
    {
        if (this->is_reported_by_request(known))
        {
            continue;
        }
        for (const auto& crash : known.unanswered_crashes())
        {
            reports.push_back({fingerprint, crash.number, now - crash.at});
        }
    }
    if (reports.size() <= max_reports_per_message)
    {
        return reports;
    }
    std::sort(reports.begin(),
              reports.end(),
              [](const auto& left, const auto& right)
              {
                  return left.age < right.age;
              });
    const auto others = std::next(reports.begin(), newest_reports_per_message);
    const auto offset = this->reports_sent_in_turn %
                        static_cast<std::size_t>(reports.end() - others);
    std::rotate(others,
                std::next(others, static_cast<std::ptrdiff_t>(offset)),
                reports.end());
    this->reports_sent_in_turn +=
        max_reports_per_message - newest_reports_per_message;
    reports.resize(max_reports_per_message);
    return reports;
}

void crash_tracker::expire(time_point now)
{
    std::erase_if(this->quarantined_until,
                  [now](const auto& item)
                  {
                      return item.second <= now;
                  });
    for (auto& [request, known] : this->histories)
    {
        std::erase_if(known.crashes,
                      [now](const crash_observation& crash)
                      {
                          return now - crash.at >= crash_retention;
                      });
    }
    std::erase_if(this->histories,
                  [now](const auto& item)
                  {
                      return item.second.crashes.empty() &&
                             now - item.second.suspected_at > suspicion_timeout;
                  });
    for (auto& [replica, suspected] : this->suspicions)
    {
        std::erase_if(suspected,
                      [now](const suspicion& item)
                      {
                          return now - item.raised_at > suspicion_timeout;
                      });
    }
    std::erase_if(this->suspicions,
                  [](const auto& item)
                  {
                      return item.second.empty();
                  });
}

} // namespace hawthornrelay::core::relay
