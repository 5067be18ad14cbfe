#include <core/relay/request_run.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::result_code;
using base::time_point;

namespace
{

/// Part latencies above this quantile are hedged.
constexpr double hedge_quantile = 0.96;

/// No hedge before this time, whatever the quantile.
constexpr std::chrono::milliseconds least_hedge_delay{8};

/// A hedge later than this share of the objective comes too late to help.
constexpr double latest_hedge_share = 0.3;

/// A part that is known to wait at a stalled replica is hedged this soon.
constexpr std::chrono::milliseconds stalled_hedge_delay{5};

/// Time kept for merging and writing an answer before the objective.
constexpr std::chrono::milliseconds cut_reserve{5};

/// Round trip assumed for a caller when none was measured.
constexpr std::chrono::milliseconds default_round_trip{6};

/// Time for a final answer to reach the caller before its deadline.
constexpr std::chrono::milliseconds deadline_reserve{8};

/// Most callers of a route state the same deadline at their first attempt; few
/// are more patient.
constexpr double usual_deadline = 0.9;

/// A request with less time is refused at once.
constexpr std::chrono::milliseconds least_time_left{2};

/// A replica whose address another one has taken is not asked in this time.
/// Its registration is gone long before, unless the store is away.
constexpr std::chrono::seconds displaced_time{5};

/// A replica's own failure may reach the caller, but for statuses that would
/// promise that the request has not run.
bool may_pass_on(const ports::replica_answer& answer)
{
    static constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return answer.status >= 300 && !answer.signature.empty() &&
           std::find(promises.begin(), promises.end(), answer.status) ==
               promises.end();
}

/// One search in so many names its replicas in the log at its start; a line
/// with 60 of them for each search would be most of the log.
constexpr std::uint64_t named_search_sample = 16;

} // namespace

request_run::request_run(request_engine& engine,
                         std::uint64_t number,
                         caller_request request,
                         request_engine::answer_handler done)
    : engine(engine), number(number), request(std::move(request)),
      done(std::move(done)), config(engine.config),
      started(engine.runtime.now())
{
}

void request_run::start()
{
    this->engine.counters.add(relay_counter::requests);
    if (!this->select_route())
    {
        return;
    }
    if (this->request.time_left < least_time_left)
    {
        this->fail(result_code::deadline_expired, "no time left");
        return;
    }
    if (this->refuse_crashing())
    {
        return;
    }
    this->plan_times();
    this->is_dispatching = true;
    this->send_all_parts();
    this->is_dispatching = false;
    if (!this->is_finished)
    {
        this->check_progress();
        this->arm();
    }
}

void request_run::send_all_parts()
{
    std::vector<replica_ptr> targets;
    for (auto& part : this->parts)
    {
        this->engine.extras.on_request(part.service, this->started);
        const auto usable =
            this->engine.registry.usable(part.service, this->started);
        targets.push_back(this->engine.choose(usable, this->hedge_delay()));
        part.is_failed = true;
    }
    this->log_start(targets);
    if (!this->are_enough_reachable(targets))
    {
        // Waiting would not help; another node may reach more.
        this->fail(result_code::no_replica, "too many shards do not answer");
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

void request_run::log_start(const std::vector<replica_ptr>& targets) const
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
         {"route", this->way->name},
         {"config", std::to_string(this->config->version)},
         {"idempotent", this->way->is_idempotent ? "1" : "0"},
         {"parts", std::to_string(targets.size())},
         {"unusable", std::to_string(unusable)},
         {"replicas", std::move(names)}});
}

bool request_run::are_enough_reachable(
    const std::vector<replica_ptr>& targets) const
{
    // The best replica of a service is unreachable only if all are.
    const auto reachable =
        std::count_if(targets.begin(),
                      targets.end(),
                      [this](const replica_ptr& target)
                      {
                          return target != nullptr &&
                                 !target->health.is_unreachable(this->started);
                      });
    const auto needed = this->way->is_search() ? this->way->min_shards() : 1;
    return static_cast<std::size_t>(reachable) >= needed;
}

bool request_run::select_route()
{
    if (this->config == nullptr)
    {
        this->fail(result_code::node_not_ready, "no configuration yet");
        return false;
    }
    const auto& message = *this->request.message;
    this->way = find_route(*this->config, message.host, message.target);
    if (this->way == nullptr)
    {
        this->fail(result_code::no_such_path, "no route for this path");
        return false;
    }
    if (this->way->is_search())
    {
        for (const auto& shard : this->way->shards)
        {
            this->parts.push_back({.service = shard});
        }
        return true;
    }
    const auto& to = this->way->destinations;
    const auto chosen =
        to.size() == 1 ? 0 : this->engine.splits[this->way->name].next(to);
    this->parts.push_back({.service = to[chosen].service});
    return true;
}

void request_run::plan_times()
{
    const duration timeout = this->way->timeout;
    const duration caller =
        this->request.time_left > duration(deadline_reserve) * 2
            ? this->request.time_left - deadline_reserve
            : this->request.time_left / 2;
    this->deadline = this->started + std::min(timeout, caller);
    const duration round_trip = this->request.round_trip.count() > 0
                                    ? this->request.round_trip
                                    : duration(default_round_trip);
    // What a repeated attempt, or a new connection, has cost the caller before
    // shows in the time that it has left.
    auto& deadlines = this->engine.caller_deadlines[this->way->name];
    deadlines.add(this->request.time_left);
    const duration whole = deadlines.quantile(usual_deadline, timeout);
    const duration used =
        std::max(duration(0), whole - this->request.time_left);
    this->cut_at = this->started + this->way->latency_objective - round_trip -
                   cut_reserve - used;
}

duration request_run::hedge_delay() const
{
    const duration latest(static_cast<duration::rep>(
        static_cast<double>(duration(this->way->latency_objective).count()) *
        latest_hedge_share));
    const auto seen = this->engine.latencies[this->way->name].quantile(
        hedge_quantile, latest);
    return std::max(std::min(seen, latest),
                    std::min(duration(least_hedge_delay), latest));
}

bool request_run::send(std::size_t index,
                       const replica_ptr& target,
                       bool is_extra)
{
    auto& part = this->parts[index];
    const auto now = this->engine.runtime.now();
    const auto attempt = part.tries.size();
    part.tries.reserve(most_tries);
    const duration left =
        std::min(this->request.time_left - (now - this->started),
                 this->started + duration(this->way->timeout) - now);
    part.tries.push_back({});
    auto& entry = part.tries.back();
    entry.target = target;
    entry.sent_at = now;
    entry.is_extra = is_extra;
    this->engine.counters.add(relay_counter::sends);
    entry.send = this->engine.transport.send(
        target,
        this->request.message,
        left,
        [self = this->shared_from_this(), index, attempt](
            const ports::send_outcome& outcome)
        {
            self->on_outcome(index, attempt, outcome);
        });
    target->health.on_sent(entry.send, now);
    if (part.tries.size() == 1)
    {
        const bool is_stalled =
            target->health.oldest_wait(now) > this->hedge_delay();
        part.hedge_at =
            now + (is_stalled ? std::min(duration(stalled_hedge_delay),
                                         this->hedge_delay())
                              : this->hedge_delay());
    }
    return true;
}

void request_run::settle(try_state& attempt,
                         send_result result,
                         double slowness)
{
    const auto now = this->engine.runtime.now();
    attempt.is_pending = false;
    attempt.may_have_run = result == send_result::answered ||
                           result == send_result::broken ||
                           result == send_result::abandoned;
    attempt.target->health.on_result(attempt.send, result, slowness, now);
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

bool request_run::is_usable(const ports::replica_answer& answer) const
{
    return answer.status >= 200 && answer.status < 300 &&
           !answer.signature.empty();
}

bool request_run::is_pending(const part_state& part) const
{
    return std::any_of(part.tries.begin(),
                       part.tries.end(),
                       [](const try_state& attempt)
                       {
                           return attempt.is_pending;
                       });
}

bool request_run::has_run_anywhere() const
{
    for (const auto& part : this->parts)
    {
        for (const auto& attempt : part.tries)
        {
            if (attempt.may_have_run)
            {
                return true;
            }
        }
    }
    return false;
}

void request_run::on_outcome(std::size_t index,
                             std::size_t attempt,
                             const ports::send_outcome& outcome)
{
    const auto now = this->engine.runtime.now();
    auto& part = this->parts[index];
    auto& entry = part.tries[attempt];
    const auto taken = now - entry.sent_at;
    auto& latency = this->engine.latencies[this->way->name];
    const auto usual = latency.mean(taken);
    const double slowness = static_cast<double>(taken.count()) /
                            std::max(1.0, static_cast<double>(usual.count()));
    this->settle(entry, outcome.result, slowness);
    if (outcome.busy_share)
    {
        entry.target->health.on_load(*outcome.busy_share, now);
    }
    if (outcome.result == send_result::other_here)
    {
        // What is sent there counts as work of the replica that answers.
        entry.target->displaced_until = now + displaced_time;
    }
    if (outcome.cold_for)
    {
        entry.target->cold_until = now + *outcome.cold_for;
    }
    if (outcome.result == send_result::answered)
    {
        latency.add(taken);
        this->engine.counters.parts.add(taken);
        if (!this->engine.crashes.is_empty())
        {
            this->engine.crashes.on_answered(this->fingerprint(), now);
        }
    }
    if (this->is_finished || part.answer)
    {
        return;
    }
    static constexpr std::array<relay_counter, 6> counted{
        relay_counter::sends,
        relay_counter::sheds,
        relay_counter::other_replica,
        relay_counter::not_sent,
        relay_counter::broken_sends,
        relay_counter::abandoned_sends};
    if (outcome.result == send_result::answered)
    {
        this->on_answered(index, entry, outcome);
    }
    else
    {
        this->engine.counters.add(
            counted[static_cast<std::size_t>(outcome.result)]);
        this->engine.log.write(base::log_event::send_failed,
                               {{"request", this->request.message->id},
                                {"service", part.service},
                                {"replica", entry.target->record.id},
                                {"after_ms", ms_text(taken)},
                                {"reason", outcome.detail}});
        if (outcome.result == send_result::broken)
        {
            this->engine.on_broken(
                entry.target, this->fingerprint(), this->request.message->id);
        }
        const bool may_repeat = this->way->is_idempotent || !entry.may_have_run;
        const auto why = outcome.result == send_result::shed ? reason::shed
                         : entry.may_have_run                ? reason::failed
                                                             : reason::not_sent;
        if (!(may_repeat && this->send_again(index, why)) &&
            !this->is_pending(this->parts[index]))
        {
            this->parts[index].is_failed = true;
        }
    }
    this->check_progress();
    this->arm();
}

void request_run::on_answered(std::size_t index,
                              try_state& attempt,
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
    if (may_pass_on(answer))
    {
        part.failure = answer;
    }
    const bool is_sent_again =
        this->way->is_idempotent && this->send_again(index, reason::failed);
    if (!is_sent_again && !this->is_pending(part))
    {
        part.is_failed = true;
    }
}

bool request_run::is_final_failure(const ports::replica_answer& answer) const
{
    // Another replica would judge the request in the same way.
    const bool is_callers_fault = answer.status >= 400 && answer.status < 500;
    return !this->way->is_search() && may_pass_on(answer) &&
           (is_callers_fault || !this->way->is_idempotent);
}

void request_run::check_progress()
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
        failed += !part.answer && part.is_failed ? 1 : 0;
    }
    const auto now = this->engine.runtime.now();
    if (!this->way->is_search())
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
            this->fail(part.tries.empty() ? result_code::no_replica
                                          : result_code::target_failed,
                       "no replica answered");
        }
        return;
    }
    const auto needed = this->way->min_shards();
    if (this->parts.size() - failed < needed)
    {
        this->fail(this->has_run_anywhere() ? result_code::target_failed
                                            : result_code::no_replica,
                   "too many shards have failed");
    }
    else if (answered >= needed &&
             (answered + failed == this->parts.size() || now >= this->cut_at))
    {
        this->answer_search();
    }
}

void request_run::arm()
{
    if (this->is_finished)
    {
        return;
    }
    const auto now = this->engine.runtime.now();
    auto next = this->deadline;
    if (this->way->is_search() && this->cut_at > now)
    {
        next = std::min(next, this->cut_at);
    }
    for (const auto& part : this->parts)
    {
        const bool may_hedge = this->way->is_idempotent && !part.answer &&
                               !part.is_hedged && this->is_pending(part);
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

void request_run::on_timer()
{
    if (this->is_finished)
    {
        return;
    }
    const auto now = this->engine.runtime.now();
    if (now >= this->deadline)
    {
        const bool has_single_failure =
            !this->way->is_search() && this->parts.front().failure.has_value();
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
        if (this->way->is_search() && answered >= this->way->min_shards())
        {
            this->answer_search();
            return;
        }
        this->fail(result_code::deadline_expired, "no answer in time");
        return;
    }
    this->is_dispatching = true;
    for (std::size_t i = 0; i < this->parts.size(); ++i)
    {
        auto& part = this->parts[i];
        const bool is_due = this->way->is_idempotent && !part.answer &&
                            !part.is_hedged && part.hedge_at <= now &&
                            this->is_pending(part);
        if (is_due)
        {
            part.is_hedged = true;
            this->send_again(i, reason::hedge);
        }
    }
    this->is_dispatching = false;
    this->check_progress();
    this->arm();
}

} // namespace hawthornrelay::core::relay
