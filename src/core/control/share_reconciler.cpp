#include <core/control/share_reconciler.hpp>

#include <utility>

#include <core/limits/plan_slices.hpp>

namespace hawthornrelay::core::control
{

using base::log_event;
using placement::share_table;

share_reconciler::share_reconciler(share_context context)
    : context(std::move(context))
{
}

share_reconciler::assignment
share_reconciler::place_all(const placement::routing_table& table) const
{
    assignment result;
    for (const auto& [service, routes] : table.all())
    {
        for (const auto& route : routes)
        {
            result.emplace(route.id, route.holder);
        }
    }
    const auto& contents = this->context.control.store().contents();
    for (const auto& [name, customer] : contents.customers)
    {
        const auto plan = contents.plans.find(customer.plan);
        if (plan == contents.plans.end())
        {
            continue;
        }
        const auto homes = limits::home_nodes_of(table, name, plan->second);
        for (std::uint32_t i = 0; i < homes.size(); ++i)
        {
            result.emplace(limits::slice_share(name, i), homes[i]);
        }
    }
    return result;
}

share_reconciler::assignment share_reconciler::place_before_joining() const
{
    if (this->context.control.replaced_unclean_incarnation())
    {
        // The earlier incarnation held these shares and can no longer grant
        // them.
        return {};
    }
    placement::routing_table without_self;
    without_self.rebuild(this->context.control.store().contents(),
                         this->context.control.members(),
                         this->context.self);
    return this->place_all(without_self);
}

bool share_reconciler::is_placement_stable() const
{
    // After this wait no node acts on an earlier placement.
    constexpr base::duration margin = std::chrono::seconds(1);
    const auto wait = this->context.control.bounds().fence_wait() + margin;
    return this->context.runtime.now() - this->placed_at > wait &&
           this->context.control.majority_has(this->placed_revision);
}

bool share_reconciler::has_ended(const base::node_id& id) const
{
    const auto* row = this->context.control.members().find(id);
    return row != nullptr && row->record.has_ended &&
           row->record.state == membership::member_state::removed;
}

bool share_reconciler::is_only_member() const
{
    const auto& rows = this->context.control.members().rows();
    return rows.size() == 1 && rows.begin()->first == this->context.self &&
           !this->context.control.replaced_unclean_incarnation();
}

std::optional<base::node_id>
share_reconciler::previous_holder(const base::share_id& id,
                                  const base::node_id& holder,
                                  const control_change& change) const
{
    if (this->is_only_member())
    {
        return std::nullopt;
    }
    const auto before = this->placed.find(id);
    if (before != this->placed.end())
    {
        return before->second;
    }
    // A share that this change adds, without a change of the member list, has
    // never been held by any node.
    const bool is_new_share =
        !change.members_changed && holder == this->context.self;
    return is_new_share ? std::nullopt
                        : std::optional<base::node_id>(base::node_id{});
}

void share_reconciler::reconcile(const control_change& change)
{
    const auto epoch = this->context.control.store().current();
    if (!this->was_member && this->context.control.has_joined())
    {
        this->was_member = true;
        this->placed = this->place_before_joining();
    }
    auto wanted = this->place_all(this->context.routes);
    // If one node left the list since a placement that all nodes have adopted,
    // it was the last holder of its shares, and they were not granted since.
    const bool is_single_loss =
        change.member_changes == 1 && this->is_placement_stable();
    if (this->context.control.self().state != membership::member_state::active)
    {
        for (auto& [id, holder] : wanted)
        {
            holder = holder == this->context.self ? base::node_id{} : holder;
        }
    }
    for (const auto& [id, holder] : wanted)
    {
        if (holder != this->context.self)
        {
            continue;
        }
        const auto* known = this->shares.find(id);
        const bool is_held_or_waiting =
            known != nullptr && (known->phase == share_table::state::held ||
                                 known->phase == share_table::state::waiting);
        if (is_held_or_waiting)
        {
            continue;
        }
        const auto previous = this->previous_holder(id, holder, change);
        if (this->shares.assign(id, epoch, previous))
        {
            this->log_share(log_event::share_acquired, id, "nobody");
        }
        else
        {
            const auto& from = this->shares.find(id)->counterpart;
            this->log_share(log_event::share_waiting, id, from);
            this->claim(id, from);
            if (is_single_loss && previous == from && this->has_ended(from))
            {
                this->shares.free_after(
                    id,
                    this->context.runtime.now() +
                        this->context.control.bounds().max_work_time);
            }
        }
    }
    for (const auto& [id, share] : this->shares.all())
    {
        const auto it = wanted.find(id);
        const bool is_assigned_here =
            it != wanted.end() && it->second == this->context.self;
        const bool is_held_or_waiting =
            share.phase == share_table::state::held ||
            share.phase == share_table::state::waiting;
        if (!is_assigned_here && is_held_or_waiting)
        {
            this->shares.withdraw(id, epoch);
        }
    }
    if (wanted != this->placed)
    {
        this->placed = std::move(wanted);
        this->placed_at = this->context.runtime.now();
    }
    this->placed_revision = this->context.control.store().current();
}

void share_reconciler::claim(const base::share_id& id,
                             const base::node_id& from)
{
    if (from.empty() || from == this->context.self)
    {
        return;
    }
    this->context.out.send(
        from,
        messages::share_claim{id, this->context.control.members().epoch()});
}

void share_reconciler::suspend_after_inactivity()
{
    const auto now = this->context.runtime.now();
    const auto& bounds = this->context.control.bounds();
    const bool acts = this->context.control.may_act();
    const bool was_inactive =
        this->last_active && now - *this->last_active > bounds.max_work_time;
    if (acts && was_inactive)
    {
        this->shares.suspend(this->context.control.store().current());
    }
    if (acts)
    {
        this->last_active = now;
    }
}

bool share_reconciler::tick()
{
    this->suspend_after_inactivity();
    for (const auto& [id, share] : this->shares.all())
    {
        if (share.phase == share_table::state::waiting)
        {
            this->claim(id, share.counterpart);
        }
    }
    if (!this->context.control.may_act())
    {
        return false;
    }
    const auto freed = this->shares.acquire_free(this->context.runtime.now());
    for (const auto& id : freed)
    {
        this->log_share(log_event::share_acquired, id, "ended");
    }
    const auto fenced =
        this->shares.acquire_fenced(this->context.control.fenced_epoch());
    for (const auto& id : fenced)
    {
        this->log_share(log_event::share_acquired, id, "fence");
    }
    return !freed.empty() || !fenced.empty();
}

void share_reconciler::on_claim(const base::node_id& from,
                                const messages::share_claim& claim)
{
    const auto answer =
        this->shares.answer(claim,
                            from,
                            this->context.control.members().epoch(),
                            this->context.in_use(claim.share));
    if (!answer)
    {
        return;
    }
    if (answer->granted)
    {
        this->log_share(log_event::share_released, claim.share, from);
    }
    this->context.out.send(from, *answer);
}

bool share_reconciler::on_grant(const base::node_id& from,
                                const messages::share_grant& grant)
{
    if (!this->shares.receive(grant, from))
    {
        return false;
    }
    this->log_share(log_event::share_acquired, grant.share, from);
    return true;
}

std::size_t share_reconciler::unreleased() const
{
    std::size_t count = 0;
    for (const auto& [id, share] : this->shares.all())
    {
        const bool is_draining =
            share.phase == share_table::state::draining && share.was_held &&
            share.epoch > this->context.control.fenced_epoch();
        const bool still_held =
            share.phase == share_table::state::held || is_draining;
        count += still_held ? 1 : 0;
    }
    return count;
}

void share_reconciler::log_share(log_event event,
                                 const base::share_id& id,
                                 const base::node_id& other)
{
    this->context.log.write(event,
                            {{"share", base::to_string(id)}, {"other", other}});
}

} // namespace hawthornrelay::core::control
