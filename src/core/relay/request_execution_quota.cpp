// The quota of a request's organisation.
#include <core/relay/request_execution.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::result_code;

std::optional<organisation_quota> request_execution::find_quota() const
{
    const bool has_limit = this->engine.quotas != nullptr &&
                           this->caller != nullptr &&
                           this->caller->rate_per_second > 0;
    return has_limit
               ? std::optional(organisation_quota{
                     this->caller->name,
                     {this->caller->rate_per_second, this->caller->burst}})
               : std::nullopt;
}

void request_execution::take_quota()
{
    const auto now = this->engine.runtime.now();
    const auto decision = this->engine.quotas->try_take(
        this->quota->organisation, this->quota->limit, now);
    this->is_waiting_for_quota = false;
    if (decision.is_admitted)
    {
        this->is_quota_taken = true;
        this->dispatch();
        return;
    }
    // A third of the time left stays for a retry at another node, and a third
    // for the answer.
    const auto longest =
        std::min(duration(quota_wait_limit), this->request.time_left / 3);
    if (decision.may_wait && now - this->started < longest)
    {
        this->retry_quota(decision.retry_after);
        return;
    }
    this->engine.counters.add(relay_counter::quota_refusals);
    this->fail(result_code::rate_exceeded,
               "the quota of the organisation is used up",
               std::max(decision.retry_after, duration(default_retry_after)));
}

void request_execution::retry_quota(duration delay)
{
    this->is_waiting_for_quota = true;
    this->engine.runtime.call_after(delay,
                                    [self = this->shared_from_this()]
                                    {
                                        if (!self->is_finished)
                                        {
                                            self->take_quota();
                                        }
                                    });
}

void request_execution::return_quota()
{
    if (!this->is_quota_taken)
    {
        return;
    }
    for (const auto& part : this->parts)
    {
        for (const auto& attempt : part.attempts)
        {
            // A replica that turned the request away has got it, too.
            if (attempt.send != 0)
            {
                return;
            }
        }
    }
    this->is_quota_taken = false;
    this->engine.quotas->give_back(this->quota->organisation,
                                   this->engine.runtime.now());
}

} // namespace hawthornrelay::core::relay
