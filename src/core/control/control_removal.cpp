// Removes members whose process has ended, whose VM is gone, or that have been
// silent too long.
#include <core/control/control_plane.hpp>

#include <algorithm>
#include <utility>

#include <core/placement/placement.hpp>

namespace hawthornrelay::core::control
{

using base::counter;
using base::log_event;
using membership::member_state;

void control_plane::record_ended(const base::node_id& id)
{
    const auto* row = this->list.find(id);
    const bool is_listed =
        row != nullptr && row->record.state != member_state::removed;
    if (!is_listed || this->has_ended(row->record))
    {
        return;
    }
    const auto spread =
        static_cast<std::uint64_t>(this->limits.removal_spread.count());
    const base::duration delay(static_cast<base::duration::rep>(
        spread == 0 ? 0 : this->random() % spread));
    this->ended_members[id] = {row->record.incarnation,
                               this->context.runtime.now() + delay};
}

bool control_plane::has_ended(const membership::member& record) const
{
    const auto known = this->ended_members.find(record.id);
    return known != this->ended_members.end() &&
           known->second.incarnation == record.incarnation;
}

bool control_plane::is_silent(const base::node_id& id) const
{
    if (id == this->context.self.id)
    {
        return false;
    }
    const auto now = this->context.runtime.now();
    const auto* attested = this->freshness.attestation_of(id);
    const auto last_attested =
        attested == nullptr ? this->started_at
                            : std::max(attested->made_at, this->started_at);
    return now - last_attested > this->limits.freshness.silent_for;
}

bool control_plane::is_whole_zone_silent(const std::string& zone) const
{
    std::size_t members = 0;
    std::size_t silent = 0;
    for (const auto& [id, row] : this->list.rows())
    {
        if (row.record.zone == zone &&
            row.record.state != member_state::removed)
        {
            ++members;
            silent += this->is_silent(id) ? 1 : 0;
        }
    }
    return members > 1 && silent == members;
}

bool control_plane::is_reaper_of(const base::node_id& id) const
{
    std::vector<membership::member> alive;
    for (const auto& member : this->list.active())
    {
        if (member.id != id && !this->is_silent(member.id))
        {
            alive.push_back(member);
        }
    }
    const auto best = placement::ranked("reaper/" + id, alive, 1);
    return !best.empty() && best.front() == this->context.self.id;
}

bool control_plane::is_gone(const membership::member& record) const
{
    return this->gone_vms.contains(record.vm);
}

void control_plane::remove_silent()
{
    const auto now = this->context.runtime.now();
    const bool platform_is_steady =
        this->freshness.is_verified(now) && !this->platform_was_away &&
        now - this->platform_back_since > this->limits.freshness.silent_for &&
        this->settled_epoch == this->list.epoch();
    if (!platform_is_steady || !this->has_joined())
    {
        return;
    }
    for (const auto& [id, row] : this->list.rows())
    {
        if (id == this->context.self.id ||
            row.record.state == member_state::removed)
        {
            continue;
        }
        const bool is_gone = this->is_gone(row.record);
        const bool has_lapsed =
            this->is_silent(id) && !this->is_whole_zone_silent(row.record.zone);
        const bool has_ended = this->has_ended(row.record) &&
                               now >= this->ended_members.at(id).remove_at;
        if (has_ended || ((is_gone || has_lapsed) && this->is_reaper_of(id)))
        {
            this->remove_member(row,
                                has_ended ? "ended"
                                : is_gone ? "vm_gone"
                                          : "silent");
            return;
        }
    }
}

void control_plane::remove_member(const membership::member_list::row& row,
                                  const char* reason)
{
    if (!this->removing.insert(row.record.id).second)
    {
        return;
    }
    auto record = row.record;
    record.state = member_state::removed;
    record.has_ended = this->has_ended(record) || this->is_gone(record);
    this->context.log.write(log_event::member_removed,
                            {{"node", record.id}, {"reason", reason}});
    this->context.counters.add(counter::platform_calls);
    this->context.platform.compare_and_swap(
        membership::member_key(record.id),
        row.modified,
        membership::encode_member(record),
        [this, id = record.id](const base::result<base::revision>&)
        {
            this->removing.erase(id);
            this->read_now();
        });
}

void control_plane::read_vm_list()
{
    const auto now = this->context.runtime.now();
    if (now < this->next_vm_list || !this->freshness.is_verified(now))
    {
        return;
    }
    this->next_vm_list = now + this->limits.vm_list_interval;
    // Only the node that would remove an unreachable member reads the VM list,
    // which limits the calls to the platform.
    const bool must_ask = std::any_of(
        this->list.rows().begin(),
        this->list.rows().end(),
        [this](const auto& item)
        {
            return item.second.record.state != member_state::removed &&
                   !this->is_reachable(item.first) &&
                   this->is_reaper_of(item.first);
        });
    if (!must_ask)
    {
        return;
    }
    this->context.counters.add(counter::platform_calls);
    this->context.platform.gone_vms(
        [this](const base::result<std::set<std::string>>& gone)
        {
            if (gone)
            {
                this->gone_vms = *gone;
            }
        });
}

} // namespace hawthornrelay::core::control
