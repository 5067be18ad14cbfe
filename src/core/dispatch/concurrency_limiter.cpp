#include <core/dispatch/concurrency_limiter.hpp>

#include <algorithm>

namespace hawthornrelay::core::dispatch
{

using base::result_code;

concurrency_limiter::concurrency_limiter(concurrency_limits limits,
                                         std::uint32_t slots,
                                         std::uint32_t connection_limit)
    : limits(limits), slots(slots), connection_limit(connection_limit),
      current_limit(limits.cold_limit)
{
}

std::uint32_t concurrency_limiter::max_limit() const
{
    return std::min(this->slots + this->limits.prefetch,
                    this->connection_limit);
}

bool concurrency_limiter::may_send(base::time_point now) const
{
    return this->in_flight_count < this->current_limit &&
           now >= this->pause_end;
}

void concurrency_limiter::sent(base::time_point now)
{
    const auto max_idle =
        this->limits.max_warm_idle + this->recent.mean(base::duration::zero());
    if (this->in_flight_count == 0 && now - this->last_answered_send > max_idle)
    {
        this->reset();
    }
    ++this->in_flight_count;
}

bool concurrency_limiter::finished(const ports::target_reply& reply,
                                   base::duration latency,
                                   base::time_point now)
{
    --this->in_flight_count;
    if (reply.code == result_code::cancelled ||
        reply.code == result_code::deadline_expired)
    {
        return false;
    }
    const bool is_refusal = reply.code == result_code::target_shed ||
                            reply.code == result_code::replica_out ||
                            reply.code == result_code::target_lost ||
                            reply.code == result_code::target_unreachable;
    if (is_refusal)
    {
        this->pause_end = now + this->limits.pause_after_refusal;
    }
    const bool was_warm = this->is_warm();
    if (is_refusal || this->detect_cold(reply, latency))
    {
        this->reset();
        return was_warm;
    }
    if (reply.code == result_code::ok)
    {
        this->recent.add(latency);
        // This process may have been suspended since the answer arrived, so
        // only the send time is reliable.
        this->last_answered_send =
            std::max(this->last_answered_send, now - latency);
        this->grow();
    }
    return false;
}

void concurrency_limiter::reset()
{
    this->current_limit = this->limits.cold_limit;
    this->successes = 0;
    this->slow_streak = 0;
}

bool concurrency_limiter::detect_cold(const ports::target_reply& reply,
                                      base::duration latency)
{
    const bool is_new_incarnation = reply.incarnation != 0 &&
                                    this->incarnation != 0 &&
                                    reply.incarnation != this->incarnation;
    if (reply.incarnation != 0)
    {
        this->incarnation = reply.incarnation;
    }
    const auto usual = this->recent.mean(latency);
    const bool is_slow =
        static_cast<double>(latency.count()) >
        static_cast<double>(usual.count()) * this->limits.slow_factor;
    this->slow_streak = is_slow ? this->slow_streak + 1 : 0;
    return reply.is_cold || is_new_incarnation ||
           this->slow_streak >= this->limits.slow_streak_limit;
}

void concurrency_limiter::grow()
{
    ++this->successes;
    const bool may_grow =
        this->successes >= this->limits.answers_per_step * this->current_limit;
    if (may_grow && this->current_limit < this->max_limit())
    {
        ++this->current_limit;
        this->successes = 0;
    }
}

} // namespace hawthornrelay::core::dispatch
