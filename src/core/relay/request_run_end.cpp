// How a request ends: answers, failures, the log line, callers that leave.
#include <core/relay/request_run.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include <core/relay/record_merge.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::result_code;

namespace
{

/// After a caller has left, its sends may still finish in this time and keep
/// their connections; then they are reset.
constexpr std::chrono::milliseconds gone_grace{300};

} // namespace

void request_run::answer_search()
{
    caller_answer answer;
    answer.is_search = true;
    std::vector<std::string_view> bodies;
    std::set<std::string_view> seen;
    for (const auto& part : this->parts)
    {
        // A signature must not stand twice in an answer.
        if (part.answer && seen.insert(part.answer->signature).second)
        {
            answer.signatures.push_back(part.answer->signature);
            bodies.emplace_back(part.answer->body);
        }
    }
    answer.missing_shards = this->parts.size() - answer.signatures.size();
    answer.content.status = 200;
    answer.content.body = greatest_records(bodies, this->way->result_limit);
    if (answer.missing_shards > 0)
    {
        this->engine.counters.add(relay_counter::answers_partial);
    }
    this->finish(std::move(answer));
}

void request_run::answer_single(ports::replica_answer content)
{
    caller_answer answer;
    answer.content = std::move(content);
    this->finish(std::move(answer));
}

void request_run::fail(result_code code,
                       std::string detail,
                       duration retry_after)
{
    caller_answer answer;
    answer.code = code;
    answer.detail = std::move(detail);
    // A send that may still arrive at a replica is no proof either.
    answer.is_not_run = !this->has_run_anywhere();
    answer.retry_after = retry_after;
    this->finish(std::move(answer));
}

void request_run::release_pending(bool now)
{
    const auto reset = [self = this->shared_from_this()]
    {
        for (auto& part : self->parts)
        {
            for (auto& attempt : part.tries)
            {
                if (attempt.is_pending)
                {
                    self->engine.transport.cancel(attempt.send);
                    self->settle(attempt, send_result::abandoned, 1.0);
                }
            }
        }
    };
    if (now)
    {
        reset();
        return;
    }
    this->engine.runtime.call_after(gone_grace, reset);
}

void request_run::on_caller_gone()
{
    if (this->is_finished)
    {
        return;
    }
    this->engine.counters.add(relay_counter::callers_gone);
    this->is_finished = true;
    this->engine.runtime.cancel(this->timer);
    this->release_pending(false);
    this->engine.log.write(base::log_event::caller_gone,
                           {{"request", this->request.message->id}});
    this->engine.forget(this->number);
}

std::string request_run::describe_stragglers() const
{
    std::string text;
    const auto late = this->started + this->hedge_delay() * 2;
    for (const auto& part : this->parts)
    {
        if (part.answer && part.answered_at <= late)
        {
            continue;
        }
        text += text.empty() ? "" : ";";
        text += part.service + (part.answer ? "+" : "-");
        for (const auto& attempt : part.tries)
        {
            text += "," + attempt.target->record.id + "@" +
                    ms_text(attempt.sent_at - this->started) +
                    (attempt.is_pending ? "?" : "");
        }
        if (part.answer)
        {
            text += ":" + ms_text(part.answered_at - this->started);
        }
    }
    return text;
}

void request_run::finish(caller_answer answer)
{
    this->is_finished = true;
    this->engine.runtime.cancel(this->timer);
    const auto now = this->engine.runtime.now();
    const auto taken = now - this->started;
    auto& counters = this->engine.counters;
    counters.answers.add(taken);
    const bool is_ok = answer.code == result_code::ok;
    counters.add(is_ok               ? relay_counter::answers_ok
                 : answer.is_not_run ? relay_counter::refusals
                                     : relay_counter::answers_failed);
    std::size_t sends = 0;
    for (const auto& part : this->parts)
    {
        sends += part.tries.size();
    }
    this->engine.log.write(
        base::log_event::request_answered,
        {{"request", this->request.message->id},
         {"route", this->way == nullptr ? "-" : this->way->name},
         {"config",
          this->config == nullptr ? "-"
                                  : std::to_string(this->config->version)},
         {"code", std::string(base::name_of(answer.code))},
         {"status", std::to_string(answer.content.status)},
         {"parts", std::to_string(this->parts.size())},
         {"missing", std::to_string(answer.missing_shards)},
         {"sends", std::to_string(sends)},
         {"caller_ms", ms_text(this->request.time_left)},
         {"round_trip_us", std::to_string(this->request.round_trip.count())},
         {"stragglers",
          this->way == nullptr ? "" : this->describe_stragglers()},
         {"taken_ms", ms_text(taken)}});
    const bool is_late =
        this->way != nullptr && taken > duration(this->way->latency_objective);
    if (is_late)
    {
        counters.add(relay_counter::answers_late);
    }
    // Losers of hedges finish by themselves, which keeps their connections;
    // what is past its deadline is stopped by the replica.
    const auto handler = std::exchange(this->done, nullptr);
    this->engine.forget(this->number);
    if (!this->parts.empty())
    {
        const auto linger =
            std::max(duration(gone_grace), this->deadline - now + gone_grace);
        this->engine.runtime.call_after(linger,
                                        [self = this->shared_from_this()]
                                        {
                                            self->release_pending(true);
                                        });
    }
    handler(std::move(answer));
}

} // namespace hawthornrelay::core::relay
