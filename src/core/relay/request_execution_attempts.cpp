// Decides on attempts of a part beyond the first.
#include <core/relay/request_execution.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::result_code;

namespace
{

/// Fraction of the extra-send budget available to hedges; the rest is reserved
/// for parts that have no attempt in flight.
constexpr double hedge_fraction = 0.9;

/// Retry-After of a request refused for crashes. Crashes count for two minutes;
/// a shorter delay lets callers resume sooner once the fault is fixed.
constexpr std::chrono::seconds quarantine_retry_after{60};

/// A search that breaks off at this many of its shards, or at this fraction of
/// them, without an answer may crash its replicas. Single breaks are usual:
/// replicas close idle connections.
constexpr std::size_t min_broken_to_hold = 2;
constexpr std::size_t broken_to_hold_divisor = 10;

/// Bytes of a request's target in a log line.
constexpr std::size_t max_logged_target = 128;

} // namespace

base::fingerprint request_execution::fingerprint()
{
    if (!this->known_fingerprint)
    {
        const auto& message = *this->request.message;
        const auto content = base::fingerprint_of(
            this->matched_route->host + message.target, message.body);
        this->known_fingerprint = base::hash_of(
            this->request.credentials, base::hash_of(message.method, content));
    }
    return *this->known_fingerprint;
}

crash_subject request_execution::subject_of(const part_state& part)
{
    const auto request = this->fingerprint();
    return {request,
            this->matched_route->is_search()
                ? base::hash_of(part.service, request)
                : request};
}

bool request_execution::refuse_if_crashing()
{
    const auto& crashes = this->engine.crashes;
    if (crashes.is_empty())
    {
        return false;
    }
    const auto request = this->fingerprint();
    const bool is_request_refused = crashes.must_refuse(request, this->started);
    const auto of_request = crashes.crashes_of(request, this->started);
    if (is_request_refused)
    {
        this->engine.quarantine(request);
    }
    auto most = of_request;
    std::size_t withheld = 0;
    for (auto& part : this->parts)
    {
        const auto subject = this->subject_of(part);
        const auto of_part = crashes.crashes_of(subject.part, this->started);
        part.has_earlier_crashes = of_request + of_part > 0;
        part.is_withheld = is_request_refused ||
                           crashes.must_refuse(subject.part, this->started);
        if (part.is_withheld && !is_request_refused)
        {
            this->engine.quarantine(subject.part);
        }
        withheld += part.is_withheld ? 1 : 0;
        most = std::max(most, of_part);
    }
    if (withheld == 0)
    {
        return false;
    }
    this->engine.log.write(
        base::log_event::request_contained,
        {{"request", this->request.message->id},
         {"fingerprint", std::to_string(this->fingerprint())},
         {"crashes", std::to_string(most)},
         {"parts", std::to_string(withheld)}});
    const auto needed = this->matched_route->is_search()
                            ? this->matched_route->min_shards()
                            : 1;
    if (this->parts.size() - withheld >= needed)
    {
        return false;
    }
    this->fail(result_code::request_quarantined,
               "the caller's earlier attempts crashed replicas",
               quarantine_retry_after);
    return true;
}

void request_execution::on_unanswered(const part_state& part,
                                      attempt_state& attempt,
                                      bool is_silent)
{
    const auto alive_at = attempt.target->health.alive_at();
    const bool is_known = attempt.is_reported && alive_at <= attempt.sent_at;
    // A reset shows that the replica was running; one that stays silent may
    // have been down before.
    const bool was_down = is_silent && attempt.is_to_suspect;
    if (!is_known && !was_down)
    {
        attempt.is_reported = true;
        this->log_unanswered(part, attempt, is_silent);
        this->engine.on_unanswered(attempt.target,
                                   {.subject = this->subject_of(part),
                                    .caller_attempt = this->request.message->id,
                                    .sent_at = attempt.sent_at,
                                    .is_silent = is_silent});
    }
}

void request_execution::log_unanswered(const part_state& part,
                                       const attempt_state& attempt,
                                       bool is_silent)
{
    const auto& message = *this->request.message;
    this->engine.log.write(
        base::log_event::send_unanswered,
        {{"request", message.id},
         {"service", part.service},
         {"replica", attempt.target->record.id},
         {"silent", is_silent ? "1" : "0"},
         {"fingerprint", std::to_string(this->fingerprint())},
         {"caller", this->request.caller_address},
         {"method", message.method},
         {"host", message.host},
         {"target", message.target.substr(0, max_logged_target)},
         {"body_bytes", std::to_string(message.body.size())},
         {"body_hash", std::to_string(base::hash_of(message.body))}});
}

void request_execution::check_silent_replicas()
{
    for (auto& part : this->parts)
    {
        for (auto& attempt : part.attempts)
        {
            const bool is_silent =
                attempt.is_pending && !this->is_answered(part) &&
                attempt.target->health.alive_at() <= attempt.sent_at;
            if (is_silent)
            {
                this->on_unanswered(part, attempt, true);
            }
        }
    }
}

void request_execution::clear_crashes(const part_state& part,
                                      const attempt_state& attempt,
                                      unsigned status)
{
    auto& crashes = this->engine.crashes;
    if (crashes.is_empty())
    {
        return;
    }
    const auto cleared =
        crashes.on_answered(this->subject_of(part), this->engine.runtime.now());
    if (cleared > 0)
    {
        this->engine.log.write(
            base::log_event::crashes_cleared,
            {{"request", this->request.message->id},
             {"replica", attempt.target->record.id},
             {"service", attempt.target->record.service},
             {"status", std::to_string(status)},
             {"fingerprint", std::to_string(this->fingerprint())},
             {"crashes", std::to_string(cleared)}});
    }
}

double request_execution::extra_fraction(attempt_reason why) const
{
    return why == attempt_reason::hedge ? hedge_fraction : 1.0;
}

std::vector<replica_ptr>
request_execution::next_attempt_candidates(const part_state& part,
                                           attempt_reason why) const
{
    std::size_t runs = 0;
    std::set<const replica*> attempted;
    std::set<const replica*> ran;
    std::set<const replica*> pending;
    for (const auto& attempt : part.attempts)
    {
        const auto* target = attempt.target.get();
        attempted.insert(target);
        if (attempt.may_have_run)
        {
            ran.insert(target);
            ++runs;
        }
        if (attempt.is_pending)
        {
            pending.insert(target);
        }
    }
    // The route limits the number of distinct replicas that run a request. If
    // all of their answers were lost, one of them may run it once more, but no
    // more often since the request itself may crash them.
    const bool is_replica_limit_reached =
        ran.size() >= this->matched_route->max_replicas_per_attempt;
    const bool may_crash_another = part.has_earlier_crashes && runs > 0;
    if (runs > this->matched_route->max_replicas_per_attempt ||
        may_crash_another)
    {
        return {};
    }
    auto result =
        this->engine.registry.usable(part.service, this->engine.runtime.now());
    std::erase_if(
        result,
        [&](const replica_ptr& candidate)
        {
            const auto* target = candidate.get();
            if (pending.contains(target))
            {
                return true;
            }
            if (is_replica_limit_reached)
            {
                return !ran.contains(target) || why == attempt_reason::hedge;
            }
            // A replica that shed the request did not run it and may be asked
            // again after another replica has shed it.
            return ran.contains(target) ||
                   (attempted.contains(target) && why != attempt_reason::shed);
        });
    return result;
}

bool request_execution::send_next_attempt(std::size_t index, attempt_reason why)
{
    auto& part = this->parts[index];
    const auto now = this->engine.runtime.now();
    if (part.attempts.size() >= max_attempts || now >= this->deadline)
    {
        return false;
    }
    if (this->may_crash_replicas())
    {
        // Another attempt might end the other replica of the shard too.
        part.is_held_back = true;
        return false;
    }
    const auto target =
        this->engine.choose_version(part.service,
                                    this->next_attempt_candidates(part, why),
                                    true,
                                    this->hedge_delay());
    const bool is_hedge_to_suspect = why == attempt_reason::hedge &&
                                     target != nullptr &&
                                     target->health.is_suspect();
    if (target == nullptr || is_hedge_to_suspect)
    {
        return false;
    }
    const bool is_extra = std::any_of(part.attempts.begin(),
                                      part.attempts.end(),
                                      [](const attempt_state& attempt)
                                      {
                                          return attempt.send != 0;
                                      });
    if (is_extra && !this->engine.extras.try_reserve(
                        part.service, now, this->extra_fraction(why)))
    {
        this->engine.counters.add(relay_counter::extras_withheld);
        this->log_next_attempt(
            base::log_event::send_withheld, part, *target, why);
        return false;
    }
    this->engine.counters.add(why == attempt_reason::hedge
                                  ? relay_counter::hedges
                                  : relay_counter::resends);
    this->log_next_attempt(base::log_event::sent_again, part, *target, why);
    return this->send(index, target, is_extra);
}

bool request_execution::may_crash_replicas() const
{
    const auto limit = std::max(min_broken_to_hold,
                                this->parts.size() / broken_to_hold_divisor);
    return this->matched_route->is_search() && !this->has_answered_part &&
           this->broken_attempts >= limit;
}

void request_execution::release_held_parts()
{
    for (std::size_t i = 0; i < this->parts.size(); ++i)
    {
        auto& part = this->parts[i];
        const bool is_due =
            std::exchange(part.is_held_back, false) && !part.answer;
        if (!is_due)
        {
            continue;
        }
        const auto why = this->is_pending(part) ? attempt_reason::hedge
                                                : attempt_reason::failed;
        if (!this->send_next_attempt(i, why) && !this->is_pending(part))
        {
            part.is_failed = true;
        }
    }
}

bool request_execution::has_failed(const part_state& part) const
{
    if (part.answer || part.is_failed)
    {
        return !part.answer;
    }
    // A part that is held back waits for the answer of any other part.
    return part.is_held_back && std::none_of(this->parts.begin(),
                                             this->parts.end(),
                                             [this](const part_state& other)
                                             {
                                                 return this->is_pending(other);
                                             });
}

void request_execution::log_next_attempt(base::log_event event,
                                         const part_state& part,
                                         const replica& target,
                                         attempt_reason why) const
{
    static constexpr std::array<const char*, 4> reasons{
        "hedge", "shed", "failed", "not_sent"};
    const auto now = this->engine.runtime.now();
    this->engine.log.write(
        event,
        {{"request", this->request.message->id},
         {"service", part.service},
         {"replica", target.record.id},
         {"reason", reasons.at(static_cast<std::size_t>(why))},
         {"after_ms", ms_text(now - this->started)},
         {"extras_left",
          std::to_string(static_cast<int>(
              this->engine.extras.remaining(part.service, now)))}});
}

} // namespace hawthornrelay::core::relay
