#include <core/dispatch/replica_gate.hpp>

#include <algorithm>

namespace hawthornrelay::core::dispatch
{

using base::result_code;

replica_gate::replica_gate(gate_limits limits,
                           std::uint32_t slots,
                           std::uint32_t connection_limit)
    : limits(limits), slots(slots), connection_limit(connection_limit),
      allowed(limits.cold_limit)
{
}

std::uint32_t replica_gate::highest() const
{
    return std::min(this->slots + this->limits.ahead, this->connection_limit);
}

bool replica_gate::may_send(base::time_point now) const
{
    return this->flying < this->allowed && now >= this->pause_end;
}

void replica_gate::sent(base::time_point now)
{
    const auto trusted_for =
        this->limits.idle_warmth + this->recent.mean(base::duration::zero());
    if (this->flying == 0 && now - this->last_proof > trusted_for)
    {
        this->reset();
    }
    ++this->flying;
}

bool replica_gate::finished(const ports::target_reply& reply,
                            base::duration latency,
                            base::time_point now)
{
    --this->flying;
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
    if (is_refusal || this->shows_cold(reply, latency))
    {
        this->reset();
        return was_warm;
    }
    if (reply.code == result_code::ok)
    {
        this->recent.add(latency);
        // The node itself may have been paused since the answer arrived, so
        // only the time of the send is certain.
        this->last_proof = std::max(this->last_proof, now - latency);
        this->grow();
    }
    return false;
}

void replica_gate::reset()
{
    this->allowed = this->limits.cold_limit;
    this->good_in_a_row = 0;
    this->slow_count = 0;
}

bool replica_gate::shows_cold(const ports::target_reply& reply,
                              base::duration latency)
{
    const bool is_new_run =
        reply.run != 0 && this->run != 0 && reply.run != this->run;
    if (reply.run != 0)
    {
        this->run = reply.run;
    }
    const auto usual = this->recent.mean(latency);
    const bool is_slow =
        static_cast<double>(latency.count()) >
        static_cast<double>(usual.count()) * this->limits.slow_factor;
    this->slow_count = is_slow ? this->slow_count + 1 : 0;
    return reply.cold || is_new_run ||
           this->slow_count >= this->limits.slow_in_a_row;
}

void replica_gate::grow()
{
    ++this->good_in_a_row;
    const bool earned =
        this->good_in_a_row >= this->limits.answers_per_step * this->allowed;
    if (earned && this->allowed < this->highest())
    {
        ++this->allowed;
        this->good_in_a_row = 0;
    }
}

} // namespace hawthornrelay::core::dispatch
