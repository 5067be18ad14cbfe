#include <core/relay/request_execution.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <core/base/hash.hpp>
#include <core/relay/rollout_manager.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::result_code;
using base::time_point;

namespace
{

/// A part is hedged once it takes longer than this quantile of its route's
/// recent part latencies.
constexpr double hedge_quantile = 0.96;

/// Lower bound on the hedge delay.
constexpr std::chrono::milliseconds min_hedge_delay{8};

/// Upper bound on the hedge delay as a fraction of the latency objective; a
/// later hedge is unlikely to be answered within the objective.
constexpr double max_hedge_delay_fraction = 0.3;

/// Upper bound on the slowness of a replica that delays a hedge: one that is
/// slower is more likely to have a fault than to be busy.
constexpr double max_slowness = 3;

/// Hedge delay of a part that was sent to a stalled replica.
constexpr std::chrono::milliseconds stalled_hedge_delay{5};

/// Time reserved before the latency objective to merge and write the answer.
constexpr std::chrono::milliseconds answer_reserve{5};

/// Round trip assumed for a caller with no known round-trip time.
constexpr std::chrono::milliseconds default_round_trip{6};

/// Time reserved for the answer to reach the caller before its deadline.
constexpr std::chrono::milliseconds deadline_reserve{8};

/// Quantile of the time left that approximates the deadline of a caller's first
/// attempt: most callers of a route use the same one, few a longer one.
constexpr double usual_deadline_quantile = 0.9;

/// Requests with less time left are refused at once.
constexpr std::chrono::milliseconds min_time_left{2};

/// Retry-After of requests that are refused for want of room: the shares have
/// been computed anew by then.
constexpr std::chrono::milliseconds overload_retry_after{100};

/// Replicas that have not been heard of for this long after a request was sent
/// to them are checked; longer than a usual pause.
constexpr std::chrono::milliseconds silence_check_delay{250};

/// How long a replica is not used after another one answered at its address.
/// Its registration expires earlier unless the store is unavailable.
constexpr std::chrono::seconds displaced_duration{5};

/// Tells whether a replica's failure may be forwarded to the caller. Excludes
/// statuses that imply that the request has not run.
bool may_forward_failure(const ports::replica_answer& answer)
{
    static constexpr std::array<unsigned, 4> not_run_statuses{
        408, 421, 429, 503};
    return answer.status >= 300 && !answer.signature.empty() &&
           std::find(not_run_statuses.begin(),
                     not_run_statuses.end(),
                     answer.status) == not_run_statuses.end();
}

constexpr unsigned first_server_error = 500;

/// One in this many searches logs the names of its replicas at its start. A
/// search may have 60 of them, so logging all would dominate the log.
constexpr std::uint64_t named_search_sample = 16;

} // namespace

request_execution::request_execution(request_engine& engine,
                                     std::uint64_t number,
                                     caller_request request,
                                     request_engine::answer_handler done)
    : engine(engine), number(number), request(std::move(request)),
      done(std::move(done)), config(engine.config),
      started(engine.runtime.now())
{
}

void request_execution::start()
{
    this->engine.counters.add(relay_counter::requests);
    if (!this->select_route())
    {
        return;
    }
    if (this->request.time_left < min_time_left)
    {
        this->fail(result_code::deadline_expired, "no time left");
        return;
    }
    if (this->refuse_if_closing() || this->refuse_if_crashing())
    {
        return;
    }
    this->quota = this->find_quota();
    if (this->quota)
    {
        this->take_quota();
        return;
    }
    this->dispatch();
}

void request_execution::dispatch()
{
    if (this->refuse_if_overloaded())
    {
        return;
    }
    this->compute_deadlines();
    this->silence_check_at = this->started + silence_check_delay;
    this->is_dispatching = true;
    this->send_first_attempts();
    this->is_dispatching = false;
    if (!this->is_finished)
    {
        this->check_progress();
        this->arm_timer();
    }
}

bool request_execution::refuse_if_closing()
{
    const auto& closes_at = this->engine.closes_at;
    if (!closes_at)
    {
        return false;
    }
    const auto left = *closes_at - this->started;
    const auto longest = std::min(duration(this->matched_route->timeout),
                                  this->request.time_left);
    const auto usual =
        this->engine.latencies[this->matched_route->name].quantile(
            hedge_quantile, this->matched_route->latency_objective);
    const bool may_end_in_time =
        this->matched_route->is_idempotent && usual * 2 <= left;
    if (longest <= left || may_end_in_time)
    {
        return false;
    }
    this->fail(result_code::node_stopping, "the process ends before it might");
    return true;
}

void request_execution::limit_deadline(time_point latest)
{
    if (this->is_waiting_for_quota)
    {
        // Applied in compute_deadlines().
        return;
    }
    this->deadline = std::min(this->deadline, latest);
    this->arm_timer();
}

void request_execution::send_first_attempts()
{
    std::vector<replica_ptr> targets;
    for (auto& part : this->parts)
    {
        this->engine.extras.on_request(part.service, this->started);
        const auto usable =
            part.is_withheld
                ? std::vector<replica_ptr>()
                : this->engine.registry.usable(part.service, this->started);
        targets.push_back(this->engine.choose_version(
            part.service, usable, false, this->hedge_delay()));
        part.is_failed = true;
    }
    this->log_start(targets);
    const auto reachable = this->count_reachable(targets);
    const auto needed = this->matched_route->is_search()
                            ? this->matched_route->min_shards()
                            : 1;
    if (reachable < needed)
    {
        // Fails at once instead of waiting: another node may reach more shards.
        this->fail(result_code::no_replica,
                   std::to_string(reachable) + " of " +
                       std::to_string(targets.size()) +
                       " services are reachable, " + std::to_string(needed) +
                       " are needed",
                   this->retry_delay(targets));
        return;
    }
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        if (targets[i] != nullptr)
        {
            this->parts[i].is_failed = false;
            this->send(i, targets[i], false);
        }
    }
}

duration
request_execution::retry_delay(const std::vector<replica_ptr>& targets) const
{
    duration delay = default_retry_after;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const auto wait =
            targets[i] == nullptr
                ? this->engine.until_available(this->parts[i].service)
                : std::nullopt;
        delay = std::max(delay, wait.value_or(delay));
    }
    return std::min(delay, duration(max_retry_after));
}

void request_execution::log_start(const std::vector<replica_ptr>& targets) const
{
    const auto& id = this->request.message->id;
    const bool has_names =
        targets.size() == 1 || base::hash_of(id) % named_search_sample == 0;
    std::string names;
    std::size_t unusable = 0;
    for (const auto& target : targets)
    {
        unusable += target == nullptr ? 1 : 0;
        if (has_names)
        {
            names += names.empty() ? "" : ",";
            names += target == nullptr ? "-" : target->record.id;
        }
    }
    this->engine.log.write(
        base::log_event::request_started,
        {{"request", id},
         {"route", this->matched_route->name},
         {"config", std::to_string(this->config->version)},
         {"idempotent", this->matched_route->is_idempotent ? "1" : "0"},
         {"parts", std::to_string(targets.size())},
         {"unusable", std::to_string(unusable)},
         {"replicas", std::move(names)}});
}

std::size_t request_execution::count_reachable(
    const std::vector<replica_ptr>& targets) const
{
    // choose() ranks unreachable replicas last, so the chosen one is
    // unreachable only if all of its service are.
    return static_cast<std::size_t>(
        std::count_if(targets.begin(),
                      targets.end(),
                      [this](const replica_ptr& target)
                      {
                          return target != nullptr &&
                                 !target->health.is_unreachable(this->started);
                      }));
}

bool request_execution::select_route()
{
    if (this->config == nullptr)
    {
        this->fail(result_code::node_not_ready, "no configuration yet");
        return false;
    }
    const auto& message = *this->request.message;
    this->matched_route =
        find_route(*this->config, message.host, message.target);
    if (this->matched_route == nullptr)
    {
        this->fail(result_code::no_such_path, "no route for this path");
        return false;
    }
    if (this->config->organisations && this->refuse_if_unidentified())
    {
        return false;
    }
    if (this->matched_route->is_search())
    {
        for (const auto& shard : this->matched_route->shards)
        {
            this->parts.push_back({.service = shard});
        }
        return true;
    }
    const auto& destinations = this->matched_route->destinations;
    const auto chosen =
        destinations.size() == 1
            ? 0
            : this->engine.traffic_splits[this->matched_route->name].next(
                  destinations);
    this->parts.push_back({.service = destinations[chosen].service});
    return true;
}

bool request_execution::refuse_if_unidentified()
{
    auto& message = *this->request.message;
    message.identity_fields.clear();
    const auto credentials = std::exchange(this->request.credentials, {});
    if (this->matched_route->is_public)
    {
        return false;
    }
    this->caller = this->config->organisations->find(credentials);
    if (this->caller == nullptr)
    {
        this->engine.counters.add(relay_counter::unknown_credentials);
        this->fail(result_code::unknown_credentials, "unknown or missing key");
        return true;
    }
    message.organisation = this->caller->name;
    this->request.credentials = this->caller->name;
    return false;
}

bool request_execution::refuse_if_overloaded()
{
    if (!this->config->organisations)
    {
        return false;
    }
    const request_kind kind{this->priority(),
                            this->caller == nullptr ? "" : this->caller->name};
    if (this->engine.admitted.try_admit(
            this->parts.front().service, kind, this->started))
    {
        return false;
    }
    this->engine.counters.add(relay_counter::overload_refusals);
    this->fail(result_code::overloaded,
               "replicas have no room for this kind of request",
               overload_retry_after);
    return true;
}

unsigned request_execution::priority() const
{
    const auto own =
        this->caller == nullptr ? std::nullopt : this->caller->priority;
    return own.value_or(this->matched_route->priority);
}

void request_execution::compute_deadlines()
{
    const duration timeout = this->matched_route->timeout;
    const duration caller_limit =
        this->request.time_left > duration(deadline_reserve) * 2
            ? this->request.time_left - deadline_reserve
            : this->request.time_left / 2;
    this->deadline = this->started + std::min(timeout, caller_limit);
    if (this->engine.closes_at)
    {
        this->deadline = std::min(this->deadline, *this->engine.closes_at);
    }
    const duration round_trip = this->request.round_trip.count() > 0
                                    ? this->request.round_trip
                                    : duration(default_round_trip);
    // Time that the caller spent on its earlier attempts or on connecting
    // counts against the objective; it is estimated from the time left.
    auto& deadlines = this->engine.caller_deadlines[this->matched_route->name];
    deadlines.add(this->request.time_left);
    const duration initial_time_left =
        deadlines.quantile(usual_deadline_quantile, timeout);
    const duration spent =
        std::max(duration(0), initial_time_left - this->request.time_left);
    this->partial_answer_at = this->started +
                              this->matched_route->latency_objective -
                              round_trip - answer_reserve - spent;
}

duration request_execution::max_hedge_delay() const
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(
            duration(this->matched_route->latency_objective).count()) *
        max_hedge_delay_fraction));
}

duration request_execution::hedge_delay() const
{
    const auto max_delay = this->max_hedge_delay();
    const auto usual_latency =
        this->engine.latencies[this->matched_route->name].quantile(
            hedge_quantile, max_delay);
    return std::max(std::min(usual_latency, max_delay),
                    std::min(duration(min_hedge_delay), max_delay));
}

duration request_execution::hedge_delay(const replica& target) const
{
    const auto usual = this->hedge_delay();
    if (!target.health.reports_work())
    {
        return usual;
    }
    const auto slowness = std::clamp(
        target.health.slowness(this->engine.runtime.now()), 1.0, max_slowness);
    const auto scaled = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(usual) * slowness);
    return std::min(scaled, this->max_hedge_delay());
}

bool request_execution::send(std::size_t index,
                             const replica_ptr& target,
                             bool is_extra)
{
    auto& part = this->parts[index];
    const auto now = this->engine.runtime.now();
    const auto attempt_index = part.attempts.size();
    part.attempts.reserve(max_attempts);
    const duration left =
        std::min(this->request.time_left - (now - this->started),
                 this->started + duration(this->matched_route->timeout) - now);
    part.attempts.push_back({});
    auto& attempt = part.attempts.back();
    attempt.target = target;
    attempt.sent_at = now;
    attempt.is_extra = is_extra;
    attempt.is_to_suspect = target->health.is_suspect();
    attempt.rollout_order = this->engine.count_send(*target);
    this->engine.counters.add(relay_counter::sends);
    attempt.send = this->engine.transport.send(
        target,
        this->request.message,
        left,
        [self = this->shared_from_this(), index, attempt_index](
            const ports::send_outcome& outcome)
        {
            self->on_outcome(index, attempt_index, outcome);
        });
    target->health.on_sent(attempt.send, now);
    if (part.attempts.size() == 1)
    {
        const bool is_stalled =
            target->health.oldest_wait(now) > this->hedge_delay();
        part.hedge_at =
            now + (is_stalled ? std::min(duration(stalled_hedge_delay),
                                         this->hedge_delay())
                              : this->hedge_delay(*target));
    }
    return true;
}

void request_execution::settle(attempt_state& attempt,
                               send_result result,
                               double latency_ratio)
{
    const auto now = this->engine.runtime.now();
    attempt.is_pending = false;
    attempt.may_have_run = result == send_result::answered ||
                           result == send_result::broken ||
                           result == send_result::abandoned;
    attempt.target->health.on_result(attempt.send, result, latency_ratio, now);
    const bool is_failure = result == send_result::broken ||
                            result == send_result::not_sent ||
                            result == send_result::abandoned;
    if (is_failure)
    {
        this->engine.on_possible_restart(attempt.target);
    }
    if (attempt.is_extra)
    {
        this->engine.extras.on_settled(attempt.target->record.service, now);
    }
    if (result == send_result::not_sent)
    {
        attempt.send = 0;
    }
}

void request_execution::count_for_rollout(const attempt_state& attempt,
                                          bool is_response,
                                          bool is_failed)
{
    if (attempt.rollout_order == 0)
    {
        return;
    }
    const auto& record = attempt.target->record;
    if (auto* share = this->engine.rollouts->share_of(record.service))
    {
        share->on_settled(attempt.rollout_order,
                          record,
                          this->matched_route->name,
                          is_response,
                          is_failed,
                          this->engine.runtime.now() - attempt.sent_at);
    }
}

bool request_execution::is_usable(const ports::replica_answer& answer) const
{
    return answer.status >= 200 && answer.status < 300 &&
           !answer.signature.empty();
}

bool request_execution::is_pending(const part_state& part) const
{
    return std::any_of(part.attempts.begin(),
                       part.attempts.end(),
                       [](const attempt_state& attempt)
                       {
                           return attempt.is_pending;
                       });
}

bool request_execution::shows_completion(
    const ports::replica_answer& answer) const
{
    return this->is_usable(answer) ||
           (may_forward_failure(answer) && answer.status < first_server_error);
}

bool request_execution::is_answered(const part_state& part)
{
    return part.answered_at != time_point{};
}

bool request_execution::has_run_anywhere() const
{
    for (const auto& part : this->parts)
    {
        for (const auto& attempt : part.attempts)
        {
            if (attempt.may_have_run)
            {
                return true;
            }
        }
    }
    return false;
}

void request_execution::on_outcome(std::size_t index,
                                   std::size_t attempt_index,
                                   const ports::send_outcome& outcome)
{
    const auto now = this->engine.runtime.now();
    auto& part = this->parts[index];
    auto& attempt = part.attempts[attempt_index];
    const auto elapsed = now - attempt.sent_at;
    auto& latency = this->engine.latencies[this->matched_route->name];
    const auto mean_latency = latency.mean(elapsed);
    const double latency_ratio =
        static_cast<double>(elapsed.count()) /
        std::max(1.0, static_cast<double>(mean_latency.count()));
    if (outcome.load)
    {
        attempt.target->health.on_load(*outcome.load, now);
    }
    this->settle(attempt, outcome.result, latency_ratio);
    this->count_for_rollout(attempt,
                            outcome.result == send_result::answered ||
                                outcome.result == send_result::broken,
                            !this->shows_completion(outcome.answer));
    if (this->config->organisations)
    {
        this->engine.admitted.on_outcome(
            this->parts.front().service,
            this->parts.size(),
            outcome.result == send_result::shed,
            outcome.load ? outcome.load->utilization() : 0);
    }
    if (outcome.result == send_result::other_replica)
    {
        // Requests to that address are now executed by another replica.
        attempt.target->displaced_until = now + displaced_duration;
    }
    if (outcome.result == send_result::answered ||
        outcome.result == send_result::shed)
    {
        this->engine.on_limit(attempt.target, outcome.rate_limit);
        if (outcome.is_leaving)
        {
            this->engine.on_leaving(attempt.target);
        }
        if (outcome.back_off)
        {
            this->engine.on_back_off(attempt.target, *outcome.back_off);
        }
    }
    if (outcome.warm_up_left)
    {
        attempt.target->cold_until = now + *outcome.warm_up_left;
    }
    if (outcome.result == send_result::answered)
    {
        latency.add(elapsed);
        this->engine.counters.parts.add(elapsed);
        if (this->shows_completion(outcome.answer))
        {
            this->clear_crashes(part, attempt, outcome.answer.status);
            this->has_answered_part = true;
        }
    }
    this->broken_attempts += outcome.result == send_result::broken ? 1 : 0;
    if (outcome.result == send_result::broken && !this->is_answered(part))
    {
        this->on_unanswered(part, attempt, false);
    }
    if (this->is_finished || part.answer)
    {
        return;
    }
    static constexpr std::array<relay_counter, 6> failure_counters{
        relay_counter::sends,
        relay_counter::sheds,
        relay_counter::other_replica,
        relay_counter::not_sent,
        relay_counter::broken_sends,
        relay_counter::abandoned_sends};
    if (outcome.result == send_result::answered)
    {
        this->on_answered(index, attempt, outcome);
        if (this->has_answered_part)
        {
            this->release_held_parts();
        }
    }
    else
    {
        this->engine.counters.add(
            failure_counters[static_cast<std::size_t>(outcome.result)]);
        this->engine.log.write(base::log_event::send_failed,
                               {{"request", this->request.message->id},
                                {"service", part.service},
                                {"replica", attempt.target->record.id},
                                {"after_ms", ms_text(elapsed)},
                                {"reason", outcome.detail}});
        const bool may_repeat =
            this->matched_route->is_idempotent || !attempt.may_have_run;
        const auto why = outcome.result == send_result::shed
                             ? attempt_reason::shed
                         : attempt.may_have_run ? attempt_reason::failed
                                                : attempt_reason::not_sent;
        auto& failed = this->parts[index];
        if (!(may_repeat && this->send_next_attempt(index, why)) &&
            !this->is_pending(failed) && !failed.is_held_back)
        {
            failed.is_failed = true;
        }
    }
    this->check_progress();
    this->arm_timer();
}

void request_execution::on_answered(std::size_t index,
                                    attempt_state& attempt,
                                    const ports::send_outcome& outcome)
{
    auto& part = this->parts[index];
    const auto& answer = outcome.answer;
    if (this->is_usable(answer) || this->is_final_failure(answer))
    {
        part.answer = answer;
        part.answered_at = this->engine.runtime.now();
        return;
    }
    attempt.target->health.on_result(
        0, send_result::broken, 1.0, this->engine.runtime.now());
    if (may_forward_failure(answer))
    {
        part.failure = answer;
    }
    const bool is_sent_again =
        this->matched_route->is_idempotent &&
        this->send_next_attempt(index, attempt_reason::failed);
    if (!is_sent_again && !this->is_pending(part) && !part.is_held_back)
    {
        part.is_failed = true;
    }
}

bool request_execution::is_final_failure(
    const ports::replica_answer& answer) const
{
    // Other replicas would reject such a request as well.
    const bool is_client_error = answer.status >= 400 && answer.status < 500;
    return !this->matched_route->is_search() && may_forward_failure(answer) &&
           (is_client_error || !this->matched_route->is_idempotent);
}

void request_execution::check_progress()
{
    if (this->is_finished || this->is_dispatching)
    {
        return;
    }
    std::size_t answered = 0;
    std::size_t failed = 0;
    for (const auto& part : this->parts)
    {
        answered += part.answer ? 1 : 0;
        failed += this->has_failed(part) ? 1 : 0;
    }
    const auto now = this->engine.runtime.now();
    if (!this->matched_route->is_search())
    {
        auto& part = this->parts.front();
        if (part.answer)
        {
            this->answer_single(*std::exchange(part.answer, std::nullopt));
        }
        else if (failed > 0 && part.failure)
        {
            this->answer_single(*std::exchange(part.failure, std::nullopt));
        }
        else if (failed > 0)
        {
            this->fail(part.attempts.empty() ? result_code::no_replica
                                             : result_code::target_failed,
                       "no replica answered");
        }
        return;
    }
    const auto needed = this->matched_route->min_shards();
    if (this->parts.size() - failed < needed)
    {
        this->fail(this->has_run_anywhere() ? result_code::target_failed
                                            : result_code::no_replica,
                   "too many shards have failed");
    }
    else if (answered >= needed && (answered + failed == this->parts.size() ||
                                    now >= this->partial_answer_at))
    {
        this->answer_search();
    }
}

void request_execution::arm_timer()
{
    if (this->is_finished)
    {
        return;
    }
    const auto now = this->engine.runtime.now();
    auto next = this->deadline;
    if (this->matched_route->is_search() && this->partial_answer_at > now)
    {
        next = std::min(next, this->partial_answer_at);
    }
    if (this->silence_check_at > now)
    {
        next = std::min(next, this->silence_check_at);
    }
    for (const auto& part : this->parts)
    {
        const bool may_hedge = this->matched_route->is_idempotent &&
                               !part.answer && !part.is_hedged &&
                               this->is_pending(part);
        if (may_hedge)
        {
            next = std::min(next, part.hedge_at);
        }
    }
    this->engine.runtime.cancel(this->timer);
    this->timer = this->engine.runtime.call_at(next,
                                               [self = this->shared_from_this()]
                                               {
                                                   self->timer =
                                                       ports::no_timer;
                                                   self->on_timer();
                                               });
}

void request_execution::on_timer()
{
    if (this->is_finished)
    {
        return;
    }
    const auto now = this->engine.runtime.now();
    if (now >= this->deadline)
    {
        const bool has_single_failure = !this->matched_route->is_search() &&
                                        this->parts.front().failure.has_value();
        if (has_single_failure)
        {
            this->answer_single(*this->parts.front().failure);
            return;
        }
        std::size_t answered = 0;
        for (const auto& part : this->parts)
        {
            answered += part.answer ? 1 : 0;
        }
        if (this->matched_route->is_search() &&
            answered >= this->matched_route->min_shards())
        {
            this->answer_search();
            return;
        }
        this->fail(result_code::deadline_expired, "no answer in time");
        return;
    }
    if (now >= this->silence_check_at && !this->is_silence_checked)
    {
        this->is_silence_checked = true;
        this->check_silent_replicas();
    }
    this->is_dispatching = true;
    for (std::size_t i = 0; i < this->parts.size(); ++i)
    {
        auto& part = this->parts[i];
        const bool is_due = this->matched_route->is_idempotent &&
                            !part.answer && !part.is_hedged &&
                            part.hedge_at <= now && this->is_pending(part);
        if (is_due)
        {
            part.is_hedged = true;
            this->send_next_attempt(i, attempt_reason::hedge);
        }
    }
    this->is_dispatching = false;
    this->check_progress();
    this->arm_timer();
}

} // namespace hawthornrelay::core::relay
