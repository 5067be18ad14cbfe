// Reactions to slow targets, unresponsive holders, broken links and index
// version mismatches.
#include <core/query/coordinator.hpp>

#include <utility>

namespace hawthornrelay::core::query
{

using base::counter;
using base::log_event;
using base::result_code;

void coordinator::on_slow(const messages::work_slow& notice)
{
    const auto it = this->attempts.find(notice.attempt);
    if (it == this->attempts.end())
    {
        return;
    }
    // The holder has sent the work to the target, so it is responsive.
    this->context.runtime.cancel(it->second.holder_timer);
    it->second.holder_timer = ports::no_timer;
    const auto number = it->second.query;
    const auto shard = it->second.shard;
    auto& query = this->queries.at(number);
    auto& state = query.shards[shard];
    if (it->second.replica.index != notice.replica_index)
    {
        // The work was moved, so the replica chosen first got no attempt.
        state.attempted_replicas.erase(it->second.replica.index);
        state.attempted_replicas.insert(notice.replica_index);
    }
    if (!this->limits.hedging || state.is_hedged || state.is_done)
    {
        return;
    }
    state.is_hedged = true;
    const auto* routes =
        this->context.routes.find(query.request.services[shard]);
    const bool has_other =
        routes != nullptr && state.attempted_replicas.size() < routes->size();
    if (!has_other || !this->budget.spend())
    {
        this->context.counters.add(counter::hedges_denied);
        if (this->context.log.is_enabled(log_event::hedge_denied))
        {
            this->context.log.write(
                log_event::hedge_denied,
                {{"query", std::to_string(number)},
                 {"service", query.request.services[shard]},
                 {"reason", has_other ? "budget" : "no_other_replica"}});
        }
        return;
    }
    this->context.counters.add(counter::hedges);
    if (this->context.log.is_enabled(log_event::hedge_sent))
    {
        this->context.log.write(log_event::hedge_sent,
                                {{"query", std::to_string(number)},
                                 {"service", query.request.services[shard]}});
    }
    this->send_one(number, shard, true);
}

void coordinator::on_holder_timeout(base::attempt_id id)
{
    const auto it = this->attempts.find(id);
    if (it == this->attempts.end())
    {
        return;
    }
    it->second.holder_timer = ports::no_timer;
    this->context.report_unresponsive(it->second.holder);
    const auto number = it->second.query;
    const auto shard = it->second.shard;
    auto& state = this->queries.at(number).shards[shard];
    const auto* routes = this->context.routes.find(
        this->queries.at(number).request.services[shard]);
    const bool has_other =
        routes != nullptr && state.attempted_replicas.size() < routes->size();
    if (state.is_done || !has_other || !this->budget.spend())
    {
        return;
    }
    this->context.counters.add(counter::retries);
    this->send_one(number, shard, false);
}

void coordinator::on_link_down(const base::node_id& node)
{
    std::vector<base::attempt_id> broken_attempts;
    for (const auto& [id, open] : this->attempts)
    {
        if (open.holder == node)
        {
            broken_attempts.push_back(id);
        }
    }
    for (const auto id : broken_attempts)
    {
        messages::work_result lost;
        lost.attempt = id;
        lost.code = result_code::holder_unreachable;
        const auto it = this->attempts.find(id);
        if (it != this->attempts.end())
        {
            lost.replica_index = it->second.replica.index;
            this->on_result(node, std::move(lost));
        }
    }
}

void coordinator::on_version_mismatch(query_number number,
                                      open_query& query,
                                      std::size_t shard)
{
    auto& state = query.shards[shard];
    const bool may_retry =
        this->common_version(query.request) == query.version &&
        state.attempts < this->limits.max_attempts;
    if (!may_retry)
    {
        this->restart_or_fail(number, query, shard);
        return;
    }
    // The attempt was sent before the query's version was known; a replica of
    // this shard serves that version.
    state.attempted_replicas.clear();
    this->send_one(number, shard, false);
}

void coordinator::restart_or_fail(query_number number,
                                  open_query& query,
                                  std::size_t shard)
{
    const auto common = this->common_version(query.request);
    const bool may_restart = common != 0 && common != query.version &&
                             query.restarts < this->limits.max_restarts;
    if (!may_restart)
    {
        query.shards[shard].code = result_code::version_unavailable;
        this->finish_shard(number, query, shard);
        return;
    }
    ++query.restarts;
    query.version = common;
    query.unfinished = query.shards.size();
    this->context.counters.add(counter::restarts);
    if (this->context.log.is_enabled(log_event::query_restarted))
    {
        this->context.log.write(log_event::query_restarted,
                                {{"query", std::to_string(number)},
                                 {"version", std::to_string(common)}});
    }
    batches out;
    for (std::size_t i = 0; i < query.shards.size(); ++i)
    {
        auto& state = query.shards[i];
        this->cancel_open(state);
        this->context.runtime.cancel(state.retry_timer);
        state = shard_state{};
        if (!this->start_attempt(number, query, i, false, out))
        {
            this->retry_later(number, query, i);
        }
    }
    this->send_all(std::move(out));
}

} // namespace hawthornrelay::core::query
