#include <core/dispatch/dispatcher.hpp>

#include <algorithm>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::dispatch
{

using base::counter;
using base::log_event;
using base::result_code;

dispatcher::dispatcher(dispatch_context context, dispatch_limits limits)
    : context(std::move(context)), limits(limits),
      next_request(base::first_number(this->context.incarnation)),
      next_crash(base::first_number(this->context.incarnation))
{
}

void dispatcher::accept(const base::node_id& entry, messages::work_batch batch)
{
    for (auto& item : batch.items)
    {
        this->accept_one(entry, std::move(item));
    }
}

void dispatcher::accept_one(const base::node_id& entry,
                            messages::work_item item)
{
    const auto id = item.replica;
    const auto deadline = this->context.runtime.now() + item.time_left;
    const auto& origin = item.origin.empty() ? entry : item.origin;
    queued_work work{{origin, item.attempt}, std::move(item), deadline};
    const auto refusal = this->refusal_for(work.item);
    if (refusal != result_code::ok)
    {
        this->reply_refused(work, refusal);
        return;
    }
    auto& replica = this->state_of(*this->context.routes.find(id));
    const bool is_too_late =
        !work.item.hedge &&
        this->expected_wait(replica, work.item.urgent) > work.item.time_left;
    if (is_too_late)
    {
        this->context.counters.add(counter::work_shed);
        this->reply_refused(work, result_code::queue_full);
        return;
    }
    replica.queue.push(std::move(work));
    this->pump(id);
}

result_code dispatcher::refusal_for(const messages::work_item& item) const
{
    const auto* route = this->context.routes.find(item.replica);
    if (route == nullptr)
    {
        return result_code::unknown_service;
    }
    if (!this->context.may_act())
    {
        return result_code::node_not_ready;
    }
    if (!route->accepts_work)
    {
        return result_code::replica_out;
    }
    if (route->holder != this->context.self)
    {
        return result_code::share_moved;
    }
    if (!this->context.shares.is_held(item.replica))
    {
        return result_code::share_not_ready;
    }
    return result_code::ok;
}

result_code dispatcher::refusal_before_send(const queued_work& work) const
{
    const auto refusal = this->refusal_for(work.item);
    if (refusal != result_code::ok)
    {
        return refusal;
    }
    const auto now = this->context.runtime.now();
    if (work.deadline <= now)
    {
        return result_code::deadline_expired;
    }
    const auto* siblings = this->context.routes.find(work.item.replica.service);
    const bool is_quarantined = this->context.crashes.must_refuse(
        work.item.request, work.item.replica, *siblings, now);
    return is_quarantined ? result_code::request_quarantined : result_code::ok;
}

dispatcher::replica_state& dispatcher::state_of(const placement::route& route)
{
    auto it = this->replicas.find(route.id);
    if (it == this->replicas.end())
    {
        replica_state fresh{concurrency_limiter(this->limits.concurrency,
                                                route.slots,
                                                route.connection_limit),
                            {},
                            0,
                            0,
                            ports::no_timer};
        it = this->replicas.emplace(route.id, std::move(fresh)).first;
    }
    return it->second;
}

void dispatcher::pump(const base::replica_id& id)
{
    const auto it = this->replicas.find(id);
    if (it == this->replicas.end())
    {
        return;
    }
    auto& replica = it->second;
    while (replica.limiter.may_send(this->context.runtime.now()))
    {
        auto work = replica.queue.pop();
        if (!work)
        {
            break;
        }
        const auto refusal = this->refusal_before_send(*work);
        if (refusal != result_code::ok)
        {
            this->reply_refused(*work, refusal);
            continue;
        }
        this->send(replica, std::move(*work));
    }
    this->offer_work(id, replica);
    this->request_work(id, replica);
    this->schedule_resume(id, replica);
}

void dispatcher::schedule_resume(const base::replica_id& id,
                                 replica_state& replica)
{
    const bool is_paused =
        replica.limiter.paused_until() > this->context.runtime.now();
    if (!is_paused || replica.resume_timer != ports::no_timer)
    {
        return;
    }
    replica.resume_timer =
        this->context.runtime.call_at(replica.limiter.paused_until(),
                                      [this, id]
                                      {
                                          this->replicas.at(id).resume_timer =
                                              ports::no_timer;
                                          this->pump(id);
                                      });
}

void dispatcher::send(replica_state& replica, queued_work work)
{
    const auto request = this->next_request++;
    const auto& item = work.item;
    const auto* route = this->context.routes.find(item.replica);
    const auto now = this->context.runtime.now();
    ports::target_request out{
        request,
        route->address,
        item.version,
        work.deadline,
        item.idempotent ? std::string()
                        : work.key.entry + "#" + std::to_string(item.attempt),
        item.body};
    if (this->context.log.is_enabled(log_event::work_sent))
    {
        this->context.log.write(
            log_event::work_sent,
            {{"replica", base::to_string(item.replica)},
             {"entry", work.key.entry},
             {"attempt", std::to_string(item.attempt)},
             {"in_flight", std::to_string(replica.limiter.in_flight())},
             {"limit", std::to_string(replica.limiter.limit())}});
    }
    this->context.counters.add(counter::work_sent);
    replica.limiter.sent(now);
    open_request opened{std::move(work), now, ports::no_timer};
    if (opened.work.item.idempotent && !opened.work.item.hedge)
    {
        opened.slow_timer =
            this->context.runtime.call_at(now + this->slow_after(replica),
                                          [this, request]
                                          {
                                              this->on_slow(request);
                                          });
    }
    this->request_by_attempt[opened.work.key] = request;
    this->open_requests.emplace(request, std::move(opened));
    this->context.targets.send(out,
                               [this, request](const ports::target_reply& reply)
                               {
                                   this->on_reply(request, reply);
                               });
}

void dispatcher::on_slow(std::uint64_t request)
{
    const auto it = this->open_requests.find(request);
    if (it == this->open_requests.end())
    {
        return;
    }
    it->second.slow_timer = ports::no_timer;
    const auto& key = it->second.work.key;
    this->context.out.send(
        key.entry,
        messages::work_slow{key.attempt, it->second.work.item.replica.index});
}

void dispatcher::on_reply(std::uint64_t request,
                          const ports::target_reply& reply)
{
    auto found = this->open_requests.extract(request);
    if (found.empty())
    {
        return;
    }
    const auto& finished = found.mapped();
    this->context.runtime.cancel(finished.slow_timer);
    this->request_by_attempt.erase(finished.work.key);
    const auto now = this->context.runtime.now();
    const auto id = finished.work.item.replica;
    auto& replica = this->replicas.at(id);
    const bool has_turned_cold =
        replica.limiter.finished(reply, now - finished.sent_at, now);
    if (has_turned_cold)
    {
        this->context.log.write(log_event::replica_cold,
                                {{"replica", base::to_string(id)},
                                 {"code", std::string(name_of(reply.code))}});
    }
    if (reply.newest != 0)
    {
        replica.oldest = reply.oldest;
        replica.newest = reply.newest;
    }
    messages::work_result result;
    result.attempt = finished.work.key.attempt;
    result.replica_index = id.index;
    result.code = reply.code;
    result.version = reply.version;
    result.body = reply.body;
    this->add_replica_state(replica, result);
    if (reply.code == result_code::target_lost)
    {
        this->start_crash_wait(finished, std::move(result));
    }
    else
    {
        this->reply(finished.work.key.entry, std::move(result));
    }
    this->pump(id);
}

void dispatcher::cancel(const base::node_id& entry, base::attempt_id attempt)
{
    const attempt_key key{entry, attempt};
    const auto sent = this->request_by_attempt.find(key);
    if (sent != this->request_by_attempt.end())
    {
        this->context.targets.cancel(sent->second);
        return;
    }
    const auto forwarded = this->moved.find(key);
    if (forwarded != this->moved.end())
    {
        this->context.out.send(forwarded->second.holder,
                               messages::work_cancel{attempt, entry});
        this->moved.erase(forwarded);
        return;
    }
    for (auto& [id, replica] : this->replicas)
    {
        if (replica.queue.remove(key))
        {
            return;
        }
    }
}

void dispatcher::refuse_unsendable()
{
    for (auto& [id, replica] : this->replicas)
    {
        for (auto& work : replica.queue.drain())
        {
            const auto refusal = this->refusal_for(work.item);
            if (refusal != result_code::ok)
            {
                this->reply_refused(work, refusal);
            }
            else
            {
                replica.queue.push(std::move(work));
            }
        }
        const auto* route = this->context.routes.find(id);
        const bool is_held = route != nullptr &&
                             route->holder == this->context.self &&
                             this->context.shares.is_held(id);
        if (!is_held)
        {
            replica.limiter.reset();
        }
        this->pump(id);
    }
}

void dispatcher::reply_refused(const queued_work& work, result_code code)
{
    this->context.counters.add(code == result_code::request_quarantined
                                   ? counter::quarantined
                                   : counter::work_refused);
    const auto event = code == result_code::request_quarantined
                           ? log_event::request_quarantined
                       : code == result_code::queue_full
                           ? log_event::work_shed
                           : log_event::work_refused;
    if (this->context.log.is_enabled(event))
    {
        this->context.log.write(
            event,
            {{"replica", base::to_string(work.item.replica)},
             {"entry", work.key.entry},
             {"attempt", std::to_string(work.key.attempt)},
             {"code", std::string(name_of(code))}});
    }
    messages::work_result result;
    result.attempt = work.key.attempt;
    result.replica_index = work.item.replica.index;
    result.code = code;
    const auto it = this->replicas.find(work.item.replica);
    if (it != this->replicas.end())
    {
        this->add_replica_state(it->second, result);
    }
    this->reply(work.key.entry, std::move(result));
}

void dispatcher::add_replica_state(const replica_state& replica,
                                   messages::work_result& result) const
{
    result.oldest = replica.oldest;
    result.newest = replica.newest;
    // The backlog of a cold replica is no sign of overload: the replica may be
    // down, and queries proceed without it.
    result.wait = replica.limiter.is_warm()
                      ? this->expected_wait(replica, false)
                      : base::duration::zero();
    result.limit = replica.limiter.limit();
    result.busy = replica.limiter.in_flight() +
                  static_cast<std::uint32_t>(replica.queue.size());
}

void dispatcher::reply(const base::node_id& entry, messages::work_result result)
{
    this->unsent_results[entry].items.push_back(std::move(result));
    if (this->flush_scheduled)
    {
        return;
    }
    this->flush_scheduled = true;
    this->context.runtime.call_after(base::duration::zero(),
                                     [this]
                                     {
                                         this->flush_results();
                                     });
}

void dispatcher::flush_results()
{
    this->flush_scheduled = false;
    auto batches = std::exchange(this->unsent_results, {});
    for (auto& [entry, batch] : batches)
    {
        this->context.out.send(entry, std::move(batch));
    }
}

base::duration dispatcher::expected_wait(const replica_state& replica,
                                         bool urgent) const
{
    const auto limit = std::max<std::size_t>(replica.limiter.limit(), 1);
    const auto busy =
        replica.limiter.in_flight() + replica.queue.ahead_of(urgent);
    if (busy < limit)
    {
        return base::duration::zero();
    }
    const auto mean =
        replica.limiter.latencies().mean(this->limits.default_mean_latency);
    return mean * static_cast<std::int64_t>(busy - limit + 1) /
           static_cast<std::int64_t>(limit);
}

base::duration dispatcher::slow_after(const replica_state& replica) const
{
    const auto usual = replica.limiter.latencies().quantile(
        this->limits.slow_quantile, base::duration::zero());
    if (usual == base::duration::zero())
    {
        return this->limits.default_slow_after;
    }
    const auto margin = base::duration(static_cast<base::duration::rep>(
        static_cast<double>(usual.count()) * this->limits.slow_margin));
    return std::clamp(
        margin, this->limits.min_slow_after, this->limits.max_slow_after);
}

std::size_t dispatcher::in_flight(const base::replica_id& id) const
{
    const auto it = this->replicas.find(id);
    return it == this->replicas.end() ? 0 : it->second.limiter.in_flight();
}

std::size_t dispatcher::pending() const
{
    std::size_t count = this->open_requests.size() + this->crash_waits.size();
    for (const auto& [id, replica] : this->replicas)
    {
        count += replica.queue.size();
    }
    return count;
}

dispatcher::replica_status dispatcher::status(const base::replica_id& id) const
{
    const auto it = this->replicas.find(id);
    if (it == this->replicas.end())
    {
        return {};
    }
    const auto& replica = it->second;
    return {replica.limiter.in_flight(),
            replica.limiter.limit(),
            replica.queue.size(),
            replica.limiter.is_warm()};
}

} // namespace hawthornrelay::core::dispatch
