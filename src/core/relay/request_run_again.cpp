// When a request, or a part of it, may be sent once more.
#include <core/relay/request_run.hpp>

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

/// Part of the bound on extra sends that hedges may fill; the rest is kept for
/// parts that have no other send under way.
constexpr double hedge_part = 0.9;

/// Crashes without an answer in between after which a request is refused. One
/// may be the fault of another request at the same replica.
constexpr std::size_t crashes_to_refuse = 2;

/// Retry-After of such a request. The crashes count for two minutes; callers
/// come back sooner if the fault is mended.
constexpr std::chrono::seconds contained_pause{60};

} // namespace

base::fingerprint request_run::fingerprint()
{
    if (!this->known_fingerprint)
    {
        const auto& message = *this->request.message;
        const auto content =
            base::fingerprint_of(message.host + message.target, message.body);
        this->known_fingerprint = base::hash_of(
            this->request.caller, base::hash_of(message.method, content));
    }
    return *this->known_fingerprint;
}

bool request_run::refuse_crashing()
{
    auto& crashes = this->engine.crashes;
    if (crashes.is_empty())
    {
        return false;
    }
    const auto request = this->fingerprint();
    const auto count = crashes.crashes_of(request, this->started);
    this->has_crashed_before = count > 0;
    if (count < crashes_to_refuse)
    {
        return false;
    }
    this->engine.log.write(base::log_event::request_contained,
                           {{"request", this->request.message->id},
                            {"fingerprint", std::to_string(request)},
                            {"crashes", std::to_string(count)}});
    this->fail(result_code::request_quarantined,
               "the request has crashed replicas in earlier attempts",
               contained_pause);
    return true;
}

double request_run::extra_part(reason why) const
{
    return why == reason::hedge ? hedge_part : 1.0;
}

std::vector<replica_ptr> request_run::candidates_again(const part_state& part,
                                                       reason why) const
{
    std::size_t runs = 0;
    std::set<const replica*> tried;
    std::set<const replica*> ran;
    std::set<const replica*> pending;
    for (const auto& attempt : part.tries)
    {
        const auto* target = attempt.target.get();
        tried.insert(target);
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
    // The route bounds the replicas that run a request, not how often one does:
    // when the answers of all of them were lost, one of them runs it again. Not
    // more often, since the request itself may crash them.
    const bool is_full = ran.size() >= this->way->max_replicas_per_attempt;
    const bool may_crash_another = this->has_crashed_before && runs > 0;
    if (runs > this->way->max_replicas_per_attempt || may_crash_another)
    {
        return {};
    }
    auto result =
        this->engine.registry.usable(part.service, this->engine.runtime.now());
    std::erase_if(result,
                  [&](const replica_ptr& candidate)
                  {
                      const auto* target = candidate.get();
                      if (pending.contains(target))
                      {
                          return true;
                      }
                      if (is_full)
                      {
                          return !ran.contains(target) || why == reason::hedge;
                      }
                      // A replica that shed the request has not run it.
                      return ran.contains(target) ||
                             (tried.contains(target) && why != reason::shed);
                  });
    return result;
}

bool request_run::send_again(std::size_t index, reason why)
{
    auto& part = this->parts[index];
    const auto now = this->engine.runtime.now();
    if (part.tries.size() >= most_tries || now >= this->deadline)
    {
        return false;
    }
    const auto target = this->engine.choose(this->candidates_again(part, why),
                                            this->hedge_delay());
    const bool is_hopeless_hedge = why == reason::hedge && target != nullptr &&
                                   target->health.is_suspect();
    if (target == nullptr || is_hopeless_hedge)
    {
        return false;
    }
    const bool is_extra = std::any_of(part.tries.begin(),
                                      part.tries.end(),
                                      [](const try_state& attempt)
                                      {
                                          return attempt.send != 0;
                                      });
    if (is_extra &&
        !this->engine.extras.try_take(part.service, now, this->extra_part(why)))
    {
        this->engine.counters.add(relay_counter::extras_withheld);
        this->log_again(base::log_event::send_withheld, part, *target, why);
        return false;
    }
    this->engine.counters.add(why == reason::hedge ? relay_counter::hedges
                                                   : relay_counter::resends);
    this->log_again(base::log_event::sent_again, part, *target, why);
    return this->send(index, target, is_extra);
}

void request_run::log_again(base::log_event event,
                            const part_state& part,
                            const replica& target,
                            reason why) const
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
          std::to_string(
              static_cast<int>(this->engine.extras.left(part.service, now)))}});
}

} // namespace hawthornrelay::core::relay
