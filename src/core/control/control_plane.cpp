#include <core/control/control_plane.hpp>

#include <algorithm>
#include <utility>

#include <core/placement/placement.hpp>

namespace hawthornrelay::core::control
{

using base::counter;
using base::log_event;
using base::result_code;
using membership::member_state;

control_plane::control_plane(control_context context, control_limits limits)
    : context(std::move(context)), limits(limits),
      freshness(limits.freshness,
                this->context.self.id,
                this->context.self.incarnation),
      next_probe_id(base::first_number(this->context.self.incarnation)),
      random_state(this->context.random_seed),
      started_at(this->context.runtime.now())
{
}

void control_plane::start(change_handler on_change,
                          std::function<void()> on_tick)
{
    this->on_change = std::move(on_change);
    this->on_tick = std::move(on_tick);
    this->tick();
}

void control_plane::tick()
{
    const auto now = this->context.runtime.now();
    this->attest();
    this->probe_peers();
    if (this->should_read())
    {
        this->watch();
    }
    this->ensure_joined();
    this->remove_silent();
    this->read_vm_list();
    this->settle_epochs();
    this->context.crashes.expire(now);
    this->on_tick();
    this->context.runtime.call_after(this->limits.tick,
                                     [this]
                                     {
                                         this->tick();
                                     });
}

std::uint64_t control_plane::random()
{
    this->random_state += 0x9e3779b97f4a7c15ULL;
    auto mixed = this->random_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

std::vector<base::node_id> control_plane::other_members() const
{
    std::vector<base::node_id> others;
    for (const auto& [id, row] : this->list.rows())
    {
        if (id != this->context.self.id &&
            row.record.state != member_state::removed)
        {
            others.push_back(id);
        }
    }
    return others;
}

void control_plane::attest()
{
    this->freshness.attest(this->config_store.current(),
                           this->context.self.state != member_state::active,
                           this->context.runtime.now());
}

bool control_plane::is_stopping(const base::node_id& id) const
{
    const auto* attested = this->freshness.attestation_of(id);
    return attested != nullptr && attested->stopping;
}

void control_plane::probe_peers()
{
    const auto now = this->context.runtime.now();
    std::erase_if(this->probes_in_flight,
                  [&](const auto& item)
                  {
                      return now - item.second >
                             this->limits.freshness.fence_wait();
                  });
    auto others = this->other_members();
    for (std::size_t i = 0; i < this->limits.probes_per_tick; ++i)
    {
        if (others.empty())
        {
            return;
        }
        const auto pick = this->random() % others.size();
        const auto id = this->next_probe_id++;
        this->probes_in_flight[id] = now;
        this->context.out.send(
            others[pick], messages::probe{id, this->config_store.current()});
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

void control_plane::on_probe(const base::node_id& from,
                             const messages::probe& probe)
{
    const auto now = this->context.runtime.now();
    this->attest();
    messages::probe_reply reply;
    reply.id = probe.id;
    reply.applied = this->config_store.current();
    const auto age = this->freshness.verified_age(now);
    reply.verified = age.has_value();
    reply.verified_age = age.value_or(base::duration::zero());
    reply.attestations =
        this->freshness.newest(this->limits.attestations_per_reply, now);
    reply.crashes = this->context.crashes.current(now);
    this->context.out.send(from, std::move(reply));
    if (probe.applied > this->config_store.current())
    {
        this->context.out.send(
            from, messages::config_pull{this->config_store.current()});
    }
}

void control_plane::on_probe_reply(const base::node_id& from,
                                   const messages::probe_reply& reply)
{
    const auto probe = this->probes_in_flight.find(reply.id);
    if (probe == this->probes_in_flight.end())
    {
        this->context.counters.add(counter::replies_dropped);
        return;
    }
    const auto sent_at = probe->second;
    this->probes_in_flight.erase(probe);
    this->freshness.merge(reply.attestations, sent_at);
    for (const auto& crash : reply.crashes)
    {
        this->context.crashes.record(crash, this->context.runtime.now());
    }
    if (reply.applied > this->config_store.current())
    {
        this->context.out.send(
            from, messages::config_pull{this->config_store.current()});
        return;
    }
    // The peer's verification covers the revision it has applied, so it is
    // valid here only if this node has applied at least that revision.
    if (reply.verified)
    {
        this->freshness.mark_verified(sent_at - reply.verified_age);
    }
}

void control_plane::on_pull(const base::node_id& from,
                            const messages::config_pull& pull)
{
    if (pull.since < this->config_store.current())
    {
        this->context.out.send(
            from,
            messages::config_push{
                this->config_store.changes_since(pull.since)});
    }
}

void control_plane::on_push(const base::node_id& from,
                            const messages::config_push& push)
{
    if (push.changes.from > this->config_store.current())
    {
        this->context.out.send(
            from, messages::config_pull{this->config_store.current()});
        return;
    }
    this->apply(push.changes);
}

bool control_plane::should_read() const
{
    const auto now = this->context.runtime.now();
    if (this->watching || now < this->next_watch)
    {
        return false;
    }
    const auto age = this->freshness.verified_age(now);
    if (!age || *age > this->limits.freshness.verified_for / 3)
    {
        return true;
    }
    std::vector<membership::member> zone;
    for (const auto& member : this->list.active())
    {
        if (member.zone == this->context.self.zone)
        {
            zone.push_back(member);
        }
    }
    const auto readers = placement::ranked(
        "platform-readers", zone, this->limits.readers_per_zone);
    return std::find(readers.begin(), readers.end(), this->context.self.id) !=
           readers.end();
}

void control_plane::read_now()
{
    this->next_watch = this->context.runtime.now();
    if (!this->watching)
    {
        this->watch();
    }
}

void control_plane::watch()
{
    this->watching = true;
    const auto sent_at = this->context.runtime.now();
    this->context.counters.add(counter::platform_calls);
    this->context.platform.watch(
        this->config_store.current(),
        this->limits.watch_wait,
        [this, sent_at](const base::result<config::delta>& answer)
        {
            this->on_watch(sent_at, answer);
        });
}

void control_plane::on_watch(base::time_point sent_at,
                             const base::result<config::delta>& answer)
{
    this->watching = false;
    const auto now = this->context.runtime.now();
    if (!answer)
    {
        this->context.counters.add(counter::platform_failures);
        this->freshness.platform_failed(now);
        this->next_watch = now + this->limits.watch_pause;
        if (!this->platform_was_away)
        {
            this->platform_was_away = true;
            this->context.log.write(log_event::platform_away,
                                    {{"error", answer.error().detail}});
        }
        return;
    }
    this->freshness.platform_answered();
    if (this->platform_was_away)
    {
        this->platform_was_away = false;
        this->platform_back_since = now;
        this->context.log.write(log_event::platform_back, {});
    }
    this->apply(*answer);
    if (this->config_store.current() >= answer->to)
    {
        this->freshness.mark_verified(sent_at);
    }
    if (this->should_read())
    {
        this->watch();
    }
}

void control_plane::apply(const config::delta& change)
{
    if (!this->config_store.apply(change))
    {
        return;
    }
    this->context.counters.add(counter::config_deltas);
    this->log_change(change);
    control_change summary;
    summary.members_changed = this->list.apply(change);
    for (const auto& item : change.items)
    {
        if (!membership::member_of_key(item.key).empty())
        {
            ++summary.member_changes;
        }
    }
    const auto now = this->context.runtime.now();
    if (summary.members_changed)
    {
        this->pending_epochs.push_back({this->list.epoch(), false, now});
        this->context.log.write(
            log_event::epoch_adopted,
            {{"epoch", std::to_string(this->list.epoch())},
             {"active", std::to_string(this->list.active().size())}});
    }
    this->attest();
    this->push_to_some(change);
    this->on_change(summary);
}

void control_plane::log_change(const config::delta& change)
{
    this->context.log.write(log_event::config_applied,
                            {{"from", std::to_string(change.from)},
                             {"to", std::to_string(change.to)},
                             {"keys", std::to_string(change.items.size())}});
    for (const auto& key : change.unreadable)
    {
        this->context.log.write(
            log_event::config_rejected,
            {{"key", key}, {"error", "no key, no revision or no text"}});
    }
    for (const auto& item : change.items)
    {
        const auto rejected = this->config_store.rejected().find(item.key);
        if (rejected != this->config_store.rejected().end())
        {
            this->context.log.write(
                log_event::config_rejected,
                {{"key", item.key}, {"error", rejected->second.detail}});
        }
    }
}

void control_plane::push_to_some(const config::delta& change)
{
    auto others = this->other_members();
    for (std::size_t i = 0; i < this->limits.push_fan_out && !others.empty();
         ++i)
    {
        const auto pick = this->random() % others.size();
        this->context.out.send(others[pick], messages::config_push{change});
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

bool control_plane::has_joined() const
{
    const auto* row = this->list.find(this->context.self.id);
    return row != nullptr &&
           row->record.incarnation == this->context.self.incarnation &&
           row->record.state == this->context.self.state;
}

void control_plane::ensure_joined()
{
    const auto now = this->context.runtime.now();
    if (!this->freshness.is_verified(now) || this->writing_self ||
        this->has_joined())
    {
        return;
    }
    const auto* row = this->list.find(this->context.self.id);
    const bool newer_incarnation_exists =
        row != nullptr &&
        row->record.incarnation > this->context.self.incarnation;
    if (newer_incarnation_exists)
    {
        return;
    }
    const bool other_incarnation_listed =
        row != nullptr &&
        row->record.incarnation != this->context.self.incarnation &&
        row->record.state != member_state::removed;
    this->had_unclean_predecessor =
        this->had_unclean_predecessor || other_incarnation_listed;
    this->write_self();
}

void control_plane::write_self()
{
    this->writing_self = true;
    const auto* row = this->list.find(this->context.self.id);
    const auto expected = row == nullptr ? 0 : row->modified;
    this->context.counters.add(counter::platform_calls);
    this->context.platform.compare_and_swap(
        membership::member_key(this->context.self.id),
        expected,
        membership::encode_member(this->context.self),
        [this](const base::result<base::revision>&)
        {
            // The answer may be lost, so the next read decides what was
            // written.
            this->writing_self = false;
            this->read_now();
        });
}

void control_plane::leave()
{
    this->context.self.state = member_state::leaving;
    this->context.log.write(log_event::member_leaving,
                            {{"node", this->context.self.id}});
    this->ensure_joined();
}

void control_plane::remove_self(std::function<void()> done)
{
    this->context.self.state = member_state::removed;
    const auto* row = this->list.find(this->context.self.id);
    const auto expected = row == nullptr ? 0 : row->modified;
    this->context.counters.add(counter::platform_calls);
    this->context.platform.compare_and_swap(
        membership::member_key(this->context.self.id),
        expected,
        membership::encode_member(this->context.self),
        [done = std::move(done)](const base::result<base::revision>&)
        {
            done();
        });
}

bool control_plane::may_act() const
{
    return this->freshness.may_act(
        this->list, this->config_store.current(), this->context.runtime.now());
}

void control_plane::suspect(const base::node_id& id)
{
    this->suspected_until[id] =
        this->context.runtime.now() + this->limits.suspect_for;
}

bool control_plane::is_reachable(const base::node_id& id) const
{
    if (id == this->context.self.id)
    {
        return true;
    }
    const auto it = this->suspected_until.find(id);
    if (it != this->suspected_until.end() &&
        it->second > this->context.runtime.now())
    {
        return false;
    }
    const auto* attested = this->freshness.attestation_of(id);
    return attested != nullptr &&
           this->context.runtime.now() - attested->made_at <
               this->limits.freshness.attested_for;
}

bool control_plane::majority_has(base::revision revision) const
{
    return this->freshness.majority_has(this->list,
                                        revision,
                                        this->settled_epoch,
                                        this->context.runtime.now(),
                                        [this](const membership::member& record)
                                        {
                                            return this->is_gone(record);
                                        });
}

void control_plane::settle_epochs()
{
    const auto now = this->context.runtime.now();
    for (auto& epoch : this->pending_epochs)
    {
        if (!epoch.is_settled && this->majority_has(epoch.epoch))
        {
            epoch.is_settled = true;
            epoch.settled_at = now;
            this->settled_epoch = std::max(this->settled_epoch, epoch.epoch);
            this->context.log.write(log_event::epoch_settled,
                                    {{"epoch", std::to_string(epoch.epoch)}});
        }
    }
    const auto wait = this->limits.freshness.fence_wait();
    while (!this->pending_epochs.empty() &&
           this->pending_epochs.front().is_settled &&
           now - this->pending_epochs.front().settled_at > wait)
    {
        this->fenced = this->pending_epochs.front().epoch;
        this->pending_epochs.erase(this->pending_epochs.begin());
    }
}

std::vector<base::node_id>
control_plane::nodes_with(base::revision revision) const
{
    std::vector<base::node_id> names;
    for (const auto& [id, row] : this->list.rows())
    {
        const auto* attested = this->freshness.attestation_of(id);
        if (row.record.state != member_state::removed && attested != nullptr &&
            attested->applied >= revision)
        {
            names.push_back(id);
        }
    }
    return names;
}

} // namespace hawthornrelay::core::control
