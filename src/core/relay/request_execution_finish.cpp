// Completion of a request: answers, failures, logging, caller disconnects.
#include <core/relay/request_execution.hpp>

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

/// Attempts still pending after the caller disconnected are cancelled after
/// this time. Those that finish earlier keep their connections.
constexpr std::chrono::milliseconds disconnect_grace{300};

} // namespace

void request_execution::answer_search()
{
    caller_answer answer;
    answer.is_search = true;
    std::vector<std::string_view> bodies;
    std::set<std::string_view> seen;
    for (const auto& part : this->parts)
    {
        // An answer must not contain a signature twice.
        if (part.answer && seen.insert(part.answer->signature).second)
        {
            answer.signatures.push_back(part.answer->signature);
            bodies.emplace_back(part.answer->body);
        }
    }
    answer.missing_shards = this->parts.size() - answer.signatures.size();
    answer.content.status = 200;
    answer.content.body =
        top_records(bodies, this->matched_route->result_limit);
    if (answer.missing_shards > 0)
    {
        this->engine.counters.add(relay_counter::answers_partial);
    }
    this->finish(std::move(answer));
}

void request_execution::answer_single(ports::replica_answer content)
{
    caller_answer answer;
    answer.content = std::move(content);
    this->finish(std::move(answer));
}

void request_execution::fail(result_code code,
                             std::string detail,
                             duration retry_after)
{
    caller_answer answer;
    answer.code = code;
    answer.detail = std::move(detail);
    // An attempt still in flight may reach a replica, so it counts as run.
    answer.is_not_run = !this->has_run_anywhere();
    answer.retry_after = retry_after;
    this->finish(std::move(answer));
}

void request_execution::cancel_pending(bool is_immediate)
{
    const auto reset = [self = this->shared_from_this()]
    {
        for (auto& part : self->parts)
        {
            for (auto& attempt : part.attempts)
            {
                if (attempt.is_pending)
                {
                    self->abandon(part, attempt);
                }
            }
        }
    };
    if (is_immediate)
    {
        reset();
        return;
    }
    this->engine.runtime.call_after(disconnect_grace, reset);
}

void request_execution::abandon(const part_state& part, attempt_state& attempt)
{
    this->engine.transport.cancel(attempt.send);
    this->settle(attempt, send_result::abandoned, 1.0);
    this->count_for_rollout(attempt, false, false);
    if (this->is_answered(part))
    {
        return;
    }
    const auto waited = this->engine.runtime.now() - attempt.sent_at;
    this->engine.log.write(base::log_event::send_failed,
                           {{"request", this->request.message->id},
                            {"service", part.service},
                            {"replica", attempt.target->record.id},
                            {"after_ms", ms_text(waited)},
                            {"reason", "no answer before the request ended"}});
    this->on_unanswered(part, attempt, true);
}

bool request_execution::has_pending_attempts() const
{
    return std::any_of(this->parts.begin(),
                       this->parts.end(),
                       [](const part_state& part)
                       {
                           return std::any_of(part.attempts.begin(),
                                              part.attempts.end(),
                                              [](const attempt_state& attempt)
                                              {
                                                  return attempt.is_pending;
                                              });
                       });
}

void request_execution::on_caller_disconnected()
{
    if (this->is_finished)
    {
        return;
    }
    this->engine.counters.add(relay_counter::callers_gone);
    this->is_finished = true;
    this->engine.runtime.cancel(this->timer);
    this->cancel_pending(false);
    this->engine.log.write(base::log_event::caller_gone,
                           {{"request", this->request.message->id}});
    this->engine.remove_request(this->number);
}

std::string request_execution::describe_stragglers() const
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
        for (const auto& attempt : part.attempts)
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

void request_execution::finish(caller_answer answer)
{
    this->is_finished = true;
    this->engine.runtime.cancel(this->timer);
    this->return_quota();
    const auto now = this->engine.runtime.now();
    const auto elapsed = now - this->started;
    auto& counters = this->engine.counters;
    counters.answers.add(elapsed);
    const bool is_ok = answer.code == result_code::ok;
    counters.add(is_ok               ? relay_counter::answers_ok
                 : answer.is_not_run ? relay_counter::refusals
                                     : relay_counter::answers_failed);
    std::size_t sends = 0;
    for (const auto& part : this->parts)
    {
        sends += part.attempts.size();
    }
    this->engine.log.write(
        base::log_event::request_answered,
        {{"request", this->request.message->id},
         {"route",
          this->matched_route == nullptr ? "-" : this->matched_route->name},
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
          this->matched_route == nullptr ? "" : this->describe_stragglers()},
         {"taken_ms", ms_text(elapsed)},
         {"detail", answer.detail}});
    const bool is_late =
        this->matched_route != nullptr &&
        elapsed > duration(this->matched_route->latency_objective);
    if (is_late)
    {
        counters.add(relay_counter::answers_late);
    }
    // Pending attempts, such as the slower one of a hedge, may still finish,
    // which keeps their connections. Replicas stop requests whose deadline has
    // passed.
    const auto handler = std::exchange(this->done, nullptr);
    this->engine.remove_request(this->number);
    if (!this->parts.empty())
    {
        // Without a pending attempt nothing is left to cancel, and the
        // request's body must not stay in memory until the deadline. The object
        // is in use until the current call has returned.
        const auto linger =
            this->has_pending_attempts()
                ? std::max(duration(disconnect_grace),
                           this->deadline - now + disconnect_grace)
                : duration::zero();
        this->engine.runtime.call_after(linger,
                                        [self = this->shared_from_this()]
                                        {
                                            self->cancel_pending(true);
                                        });
    }
    handler(std::move(answer));
}

} // namespace hawthornrelay::core::relay
