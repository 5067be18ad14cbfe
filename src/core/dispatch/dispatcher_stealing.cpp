// Work stealing: queued work moves to the holder of an idle sibling replica.
#include <core/dispatch/dispatcher.hpp>

#include <utility>

namespace hawthornrelay::core::dispatch
{

using base::counter;
using base::log_event;

bool dispatcher::has_spare_capacity(const replica_state& replica) const
{
    return replica.queue.size() == 0 && replica.limiter.is_warm() &&
           replica.limiter.may_send(this->context.runtime.now());
}

void dispatcher::offer_work(const base::replica_id& id, replica_state& replica)
{
    if (replica.queue.size() == 0)
    {
        replica.has_notified_siblings = false;
        return;
    }
    const auto* siblings = this->context.routes.find(id.service);
    if (!this->limits.work_stealing || siblings == nullptr)
    {
        return;
    }
    const auto now = this->context.runtime.now();
    auto idle = std::exchange(replica.idle_siblings, {});
    for (const auto& [sibling, until] : idle)
    {
        if (now < until)
        {
            this->move_one(id, replica, sibling);
        }
    }
    if (replica.has_notified_siblings || replica.queue.size() == 0)
    {
        return;
    }
    replica.has_notified_siblings = true;
    for (const auto& other : *siblings)
    {
        const bool may_help =
            other.id != id && other.accepts_work && !other.holder.empty();
        if (may_help)
        {
            this->context.out.send(other.holder,
                                   messages::work_waiting{id, other.id.index});
        }
    }
}

void dispatcher::request_work(const base::replica_id& id,
                              replica_state& replica)
{
    if (replica.backlogged_siblings.empty() ||
        !this->has_spare_capacity(replica))
    {
        return;
    }
    const auto* siblings = this->context.routes.find(id.service);
    const auto sibling = *replica.backlogged_siblings.begin();
    replica.backlogged_siblings.erase(replica.backlogged_siblings.begin());
    if (siblings != nullptr && sibling < siblings->size())
    {
        this->context.out.send(
            (*siblings)[sibling].holder,
            messages::work_wanted{{id.service, sibling}, id.index});
    }
}

void dispatcher::on_work_waiting(const base::node_id& /*from*/,
                                 const messages::work_waiting& notice)
{
    const base::replica_id own{notice.replica.service, notice.sibling_index};
    const auto* route = this->context.routes.find(own);
    if (route == nullptr || route->holder != this->context.self)
    {
        return;
    }
    auto& replica = this->state_of(*route);
    replica.backlogged_siblings.insert(notice.replica.index);
    this->request_work(own, replica);
}

void dispatcher::on_work_wanted(const base::node_id& /*from*/,
                                const messages::work_wanted& request)
{
    const auto it = this->replicas.find(request.replica);
    if (it == this->replicas.end())
    {
        return;
    }
    auto& replica = it->second;
    if (!this->move_one(request.replica, replica, request.sibling_index))
    {
        // No item may move now; notifying the siblings again would make them
        // repeat their requests immediately.
        replica.idle_siblings[request.sibling_index] =
            this->context.runtime.now() + this->limits.idle_sibling_ttl;
        return;
    }
    // Notifies the siblings, including the one that took this item, of the
    // remaining work.
    replica.has_notified_siblings = false;
    this->offer_work(request.replica, replica);
}

bool dispatcher::move_one(const base::replica_id& id,
                          replica_state& replica,
                          std::uint32_t sibling)
{
    const auto* siblings = this->context.routes.find(id.service);
    if (siblings == nullptr || sibling >= siblings->size())
    {
        return false;
    }
    auto work = replica.queue.pop_movable();
    if (!work)
    {
        return false;
    }
    const auto now = this->context.runtime.now();
    const auto& holder = (*siblings)[sibling].holder;
    std::erase_if(this->moved,
                  [now](const auto& pair)
                  {
                      return pair.second.deadline <= now;
                  });
    this->moved[work->key] = {holder, work->deadline};
    auto& item = work->item;
    item.origin = work->key.entry;
    item.replica.index = sibling;
    item.time_left = base::remaining(work->deadline, now);
    if (this->context.log.is_enabled(log_event::work_moved))
    {
        this->context.log.write(log_event::work_moved,
                                {{"replica", base::to_string(id)},
                                 {"to", base::to_string(item.replica)},
                                 {"entry", work->key.entry},
                                 {"attempt", std::to_string(item.attempt)}});
    }
    this->context.counters.add(counter::work_moved);
    this->context.out.send(holder, messages::work_batch{{std::move(item)}});
    return true;
}

} // namespace hawthornrelay::core::dispatch
