#include <core/query/coordinator.hpp>

#include <algorithm>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::query
{

using base::counter;
using base::log_event;
using base::result_code;

namespace
{

/// Refusals after which another replica, or the same one later, may accept.
bool is_transient(result_code code)
{
    switch (code)
    {
    case result_code::node_not_ready:
    case result_code::share_moved:
    case result_code::share_not_ready:
    case result_code::node_stopping:
    case result_code::replica_out:
    case result_code::target_shed:
    case result_code::target_unreachable:
    case result_code::no_replica:
        return true;
    default:
        return false;
    }
}

} // namespace

coordinator::coordinator(query_context context, query_limits limits)
    : context(std::move(context)), limits(limits),
      budget(limits.extra_attempt_ratio, limits.max_saved_extras),
      next_attempt(base::first_number(this->context.incarnation))
{
}

void coordinator::start(query_request request, answer_handler handler)
{
    this->context.counters.add(counter::queries);
    if (this->limits.early_refusal && this->is_overloaded(request))
    {
        this->context.counters.add(counter::queries_refused);
        query_answer refusal;
        refusal.code = result_code::overloaded;
        handler(std::move(refusal));
        return;
    }
    const auto number = this->next_query++;
    auto& query = this->queries[number];
    query.deadline = this->context.runtime.now() + request.time_left;
    query.version = request.idempotent ? this->common_version(request) : 0;
    query.unfinished = request.services.size();
    query.shards.resize(request.services.size());
    query.handler = std::move(handler);
    query.request = std::move(request);
    query.timeout = this->context.runtime.call_at(query.deadline,
                                                  [this, number]
                                                  {
                                                      this->finish(number);
                                                  });

    this->context.counters.add(counter::sub_queries, query.shards.size());
    this->budget.earn(query.shards.size());
    batches out;
    for (std::size_t shard = 0; shard < query.shards.size(); ++shard)
    {
        if (!this->start_attempt(number, query, shard, false, out))
        {
            this->retry_later(number, query, shard);
        }
    }
    this->send_all(std::move(out));
    if (query.shards.empty())
    {
        this->finish(number);
    }
}

bool coordinator::is_overloaded(const query_request& request)
{
    const auto now = this->context.runtime.now();
    auto longest = base::duration::zero();
    for (const auto& service : request.services)
    {
        const auto* routes = this->context.routes.find(service);
        if (routes != nullptr)
        {
            longest = std::max(longest, this->view.min_wait(*routes, now));
        }
    }
    const double wait_ratio = static_cast<double>(longest.count()) /
                              static_cast<double>(request.time_left.count());
    const double from = this->limits.refusal_wait_ratio;
    // Refusing a fraction that grows with the delay keeps queue lengths
    // stable; refusing all or none would make them oscillate.
    this->refusal_accumulator +=
        std::clamp((wait_ratio - from) / from, 0.0, 1.0);
    if (this->refusal_accumulator < 1)
    {
        return false;
    }
    this->refusal_accumulator -= 1;
    return true;
}

base::index_version
coordinator::common_version(const query_request& request) const
{
    base::index_version common = 0;
    for (const auto& service : request.services)
    {
        const auto* routes = this->context.routes.find(service);
        if (routes == nullptr)
        {
            continue;
        }
        const auto newest = this->view.newest_version(*routes);
        if (newest != 0)
        {
            common = common == 0 ? newest : std::min(common, newest);
        }
    }
    return common;
}

bool coordinator::start_attempt(query_number number,
                                open_query& query,
                                std::size_t shard,
                                bool hedge,
                                batches& out)
{
    auto& state = query.shards[shard];
    const auto& service = query.request.services[shard];
    const auto* routes = this->context.routes.find(service);
    if (routes == nullptr)
    {
        state.code = result_code::unknown_service;
        return false;
    }
    const auto now = this->context.runtime.now();
    const auto* route = this->view.choose(*routes,
                                          state.attempted_replicas,
                                          query.version,
                                          now,
                                          this->context.is_reachable);
    if (route == nullptr)
    {
        if (state.attempts == 0)
        {
            state.code = result_code::no_replica;
        }
        return false;
    }
    const auto id = this->next_attempt++;
    state.attempted_replicas.insert(route->id.index);
    state.open_attempts.push_back(id);
    ++state.attempts;
    attempt sent{number, shard, route->id, route->holder, ports::no_timer};
    if (query.request.idempotent)
    {
        sent.holder_timer = this->context.runtime.call_after(
            this->limits.holder_timeout + 2 * this->view.min_wait(*routes, now),
            [this, id]
            {
                this->on_holder_timeout(id);
            });
    }
    this->attempts.emplace(id, std::move(sent));
    this->view.sent(route->id);
    if (this->context.log.is_enabled(log_event::replica_chosen))
    {
        this->context.log.write(log_event::replica_chosen,
                                {{"query", std::to_string(number)},
                                 {"attempt", std::to_string(id)},
                                 {"replica", base::to_string(route->id)},
                                 {"holder", route->holder},
                                 {"reason", hedge ? "hedge" : "least_wait"}});
    }
    out[route->holder].items.push_back(
        messages::work_item{id,
                            route->id,
                            query.version,
                            base::fingerprint_of(service, query.request.body),
                            base::remaining(query.deadline, now),
                            query.request.urgent,
                            hedge,
                            query.request.idempotent,
                            query.request.body});
    return true;
}

void coordinator::send_all(batches&& out)
{
    for (auto& [holder, batch] : out)
    {
        this->context.out.send(holder, std::move(batch));
    }
}

void coordinator::send_one(query_number number, std::size_t shard, bool hedge)
{
    const auto it = this->queries.find(number);
    if (it == this->queries.end() || it->second.shards[shard].is_done)
    {
        return;
    }
    batches out;
    if (this->start_attempt(number, it->second, shard, hedge, out))
    {
        this->send_all(std::move(out));
    }
    else if (it->second.shards[shard].open_attempts.empty())
    {
        this->retry_later(number, it->second, shard);
    }
}

coordinator::attempt coordinator::close_attempt(base::attempt_id id)
{
    auto found = this->attempts.extract(id);
    auto& closed = found.mapped();
    this->context.runtime.cancel(closed.holder_timer);
    const auto query = this->queries.find(closed.query);
    if (query != this->queries.end())
    {
        std::erase(query->second.shards[closed.shard].open_attempts, id);
    }
    return std::move(closed);
}

void coordinator::on_results(const base::node_id& from,
                             messages::result_batch batch)
{
    for (auto& result : batch.items)
    {
        this->on_result(from, std::move(result));
    }
}

void coordinator::on_result(const base::node_id& from,
                            messages::work_result result)
{
    const auto it = this->attempts.find(result.attempt);
    if (it == this->attempts.end())
    {
        this->context.counters.add(counter::replies_dropped);
        if (this->context.log.is_enabled(log_event::reply_dropped))
        {
            this->context.log.write(
                log_event::reply_dropped,
                {{"attempt", std::to_string(result.attempt)}, {"from", from}});
        }
        return;
    }
    const auto closed = this->close_attempt(result.attempt);
    this->view.ended(closed.replica);
    this->view.report({closed.replica.service, result.replica_index},
                      result,
                      this->context.runtime.now());
    const auto query = this->queries.find(closed.query);
    if (query == this->queries.end() ||
        query->second.shards[closed.shard].is_done)
    {
        return;
    }
    auto& state = query->second.shards[closed.shard];
    if (result.replica_index != closed.replica.index)
    {
        state.attempted_replicas.erase(closed.replica.index);
        state.attempted_replicas.insert(result.replica_index);
    }
    if (result.code == result_code::ok)
    {
        this->on_success(
            closed.query, query->second, closed.shard, std::move(result));
        return;
    }
    if (is_transient(result.code))
    {
        this->view.avoid({closed.replica.service, result.replica_index},
                         this->context.runtime.now() +
                             this->limits.avoidance_time);
    }
    this->on_failure(closed.query, query->second, closed.shard, result.code);
}

void coordinator::on_success(query_number number,
                             open_query& query,
                             std::size_t shard,
                             messages::work_result result)
{
    const bool needs_same_version = query.request.idempotent;
    if (needs_same_version && query.version == 0)
    {
        query.version = result.version;
    }
    if (needs_same_version && result.version != query.version)
    {
        this->on_version_mismatch(number, query, shard);
        return;
    }
    auto& state = query.shards[shard];
    state.code = result_code::ok;
    state.body = std::move(result.body);
    this->context.counters.add(counter::sub_queries_ok);
    this->finish_shard(number, query, shard);
}

void coordinator::on_failure(query_number number,
                             open_query& query,
                             std::size_t shard,
                             result_code code)
{
    auto& state = query.shards[shard];
    state.code = code;
    if (!state.open_attempts.empty())
    {
        return;
    }
    if (!query.request.idempotent && !proves_not_run(code))
    {
        state.code = result_code::outcome_unknown;
        this->finish_shard(number, query, shard);
        return;
    }
    if (code == result_code::version_unavailable)
    {
        const auto* routes =
            this->context.routes.find(query.request.services[shard]);
        if (routes != nullptr &&
            state.attempted_replicas.size() < routes->size())
        {
            this->send_one(number, shard, false);
        }
        else
        {
            this->restart_or_fail(number, query, shard);
        }
        return;
    }
    this->retry(number, query, shard, code);
}

void coordinator::retry(query_number number,
                        open_query& query,
                        std::size_t shard,
                        result_code code)
{
    auto& state = query.shards[shard];
    const auto* routes =
        this->context.routes.find(query.request.services[shard]);
    const bool is_final = code == result_code::deadline_expired ||
                          code == result_code::request_quarantined ||
                          routes == nullptr ||
                          state.attempts >= this->limits.max_attempts;
    const bool has_other =
        routes != nullptr && state.attempted_replicas.size() < routes->size();
    const bool may_succeed = has_other || is_transient(code) ||
                             code == result_code::holder_unreachable;
    if (is_final || !may_succeed)
    {
        this->finish_shard(number, query, shard);
        return;
    }
    if (!proves_not_run(code) && !this->budget.spend())
    {
        this->finish_shard(number, query, shard);
        return;
    }
    this->context.counters.add(counter::retries);
    if (this->context.log.is_enabled(log_event::attempt_retried))
    {
        this->context.log.write(log_event::attempt_retried,
                                {{"query", std::to_string(number)},
                                 {"service", query.request.services[shard]},
                                 {"after", std::string(name_of(code))}});
    }
    if (has_other)
    {
        this->send_one(number, shard, false);
    }
    else
    {
        this->retry_later(number, query, shard);
    }
}

void coordinator::retry_later(query_number number,
                              open_query& query,
                              std::size_t shard)
{
    auto& state = query.shards[shard];
    const auto now = this->context.runtime.now();
    const auto pause = this->limits.retry_pause *
                       static_cast<std::int64_t>(state.attempts + 1);
    const bool has_no_time = now + pause >= query.deadline;
    if (has_no_time || state.code == result_code::unknown_service ||
        state.retry_timer != ports::no_timer)
    {
        if (state.retry_timer == ports::no_timer)
        {
            this->finish_shard(number, query, shard);
        }
        return;
    }
    state.retry_timer = this->context.runtime.call_after(
        pause,
        [this, number, shard]
        {
            const auto it = this->queries.find(number);
            if (it == this->queries.end())
            {
                return;
            }
            auto& waiting = it->second.shards[shard];
            waiting.retry_timer = ports::no_timer;
            waiting.attempted_replicas.clear();
            this->send_one(number, shard, false);
        });
}

void coordinator::cancel_open(shard_state& shard)
{
    const auto open = std::exchange(shard.open_attempts, {});
    for (const auto id : open)
    {
        const auto closed = this->close_attempt(id);
        this->view.ended(closed.replica);
        this->context.out.send(closed.holder, messages::work_cancel{id});
    }
}

void coordinator::finish_shard(query_number number,
                               open_query& query,
                               std::size_t shard)
{
    auto& state = query.shards[shard];
    if (state.is_done)
    {
        return;
    }
    state.is_done = true;
    this->cancel_open(state);
    if (--query.unfinished == 0)
    {
        // Deferred because the calling function may still use the query.
        this->context.runtime.cancel(query.timeout);
        query.timeout =
            this->context.runtime.call_after(base::duration::zero(),
                                             [this, number]
                                             {
                                                 this->finish(number);
                                             });
    }
}

void coordinator::finish(query_number number)
{
    auto found = this->queries.find(number);
    if (found == this->queries.end())
    {
        return;
    }
    auto& query = found->second;
    this->context.runtime.cancel(query.timeout);
    query_answer answer;
    answer.version = query.version;
    for (std::size_t i = 0; i < query.shards.size(); ++i)
    {
        auto& state = query.shards[i];
        const bool may_run = !state.is_done && !state.open_attempts.empty() &&
                             !query.request.idempotent;
        if (may_run)
        {
            state.code = result_code::outcome_unknown;
        }
        else if (!state.is_done && state.code == result_code::ok)
        {
            state.code = result_code::deadline_expired;
        }
        this->context.runtime.cancel(state.retry_timer);
        if (!may_run)
        {
            this->cancel_open(state);
        }
        else
        {
            for (const auto id : std::exchange(state.open_attempts, {}))
            {
                this->view.ended(this->close_attempt(id).replica);
            }
        }
        if (state.code == result_code::ok)
        {
            ++answer.answered;
        }
        answer.shards.push_back(
            {query.request.services[i], state.code, std::move(state.body)});
    }
    const bool is_complete = answer.answered == answer.shards.size();
    this->context.counters.add(is_complete ? counter::answers_complete
                                           : counter::answers_partial);
    if (this->context.log.is_enabled(log_event::query_answered))
    {
        this->context.log.write(
            log_event::query_answered,
            {{"query", std::to_string(number)},
             {"answered", std::to_string(answer.answered)},
             {"asked", std::to_string(answer.shards.size())},
             {"version", std::to_string(answer.version)}});
    }
    const auto handler = std::move(query.handler);
    this->queries.erase(found);
    handler(std::move(answer));
}

} // namespace hawthornrelay::core::query
