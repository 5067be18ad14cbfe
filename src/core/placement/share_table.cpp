#include <core/placement/share_table.hpp>

namespace hawthornrelay::core::placement
{

bool share_table::assign(const base::share_id& id,
                         base::revision epoch,
                         const std::optional<base::node_id>& previous)
{
    auto [it, is_new] = this->shares.try_emplace(id);
    auto& record = it->second;
    if (!is_new && record.phase == state::held)
    {
        return true;
    }
    if (!is_new && record.phase == state::draining && record.was_held)
    {
        // Withdrawn and assigned again before it was granted.
        record.phase = state::held;
        record.epoch = epoch;
        return true;
    }
    if (!is_new && record.phase == state::waiting)
    {
        return false;
    }
    record.epoch = epoch;
    record.was_held = false;
    record.free_at.reset();
    if (is_new && !previous)
    {
        record.phase = state::held;
        return true;
    }
    if (is_new)
    {
        record.counterpart = *previous;
    }
    record.phase = state::waiting;
    return false;
}

void share_table::withdraw(const base::share_id& id, base::revision epoch)
{
    const auto it = this->shares.find(id);
    if (it == this->shares.end())
    {
        return;
    }
    auto& record = it->second;
    if (record.phase != state::held && record.phase != state::waiting)
    {
        return;
    }
    record.was_held = record.phase == state::held;
    record.phase = state::draining;
    record.epoch = epoch;
}

std::optional<messages::share_grant>
share_table::answer(const messages::share_claim& claim,
                    const base::node_id& claimant,
                    base::revision epoch,
                    std::size_t in_flight)
{
    messages::share_grant reply{claim.share, epoch, false, {}};
    if (epoch < claim.epoch)
    {
        return std::nullopt;
    }
    const auto it = this->shares.find(claim.share);
    if (it == this->shares.end())
    {
        return std::nullopt;
    }
    auto& record = it->second;
    if (record.phase == state::given)
    {
        reply.granted = record.counterpart == claimant;
        reply.moved_to = reply.granted ? base::node_id{} : record.counterpart;
        return reply;
    }
    if (record.phase != state::draining || in_flight != 0)
    {
        return std::nullopt;
    }
    if (!record.was_held)
    {
        // Never held here, so only the earlier holder can grant it.
        reply.moved_to = record.counterpart;
        return reply;
    }
    record.phase = state::given;
    record.counterpart = claimant;
    record.epoch = epoch;
    reply.granted = true;
    return reply;
}

bool share_table::receive(const messages::share_grant& grant,
                          const base::node_id& from)
{
    const auto it = this->shares.find(grant.share);
    if (it == this->shares.end())
    {
        return false;
    }
    auto& record = it->second;
    const bool is_withdrawn_before_grant =
        record.phase == state::draining && !record.was_held;
    const bool expects_grant =
        record.phase == state::waiting || is_withdrawn_before_grant;
    if (!expects_grant || record.counterpart != from)
    {
        return false;
    }
    if (!grant.granted)
    {
        record.counterpart = grant.moved_to;
        return false;
    }
    if (is_withdrawn_before_grant)
    {
        record.was_held = true;
        return false;
    }
    record.phase = state::held;
    return true;
}

void share_table::suspend(base::revision epoch)
{
    for (auto& [id, record] : this->shares)
    {
        if (record.phase == state::held)
        {
            record.phase = state::waiting;
            record.counterpart.clear();
            record.epoch = epoch;
        }
        record.free_at.reset();
        if (record.phase == state::draining)
        {
            record.was_held = false;
        }
    }
}

void share_table::free_after(const base::share_id& id, base::time_point when)
{
    const auto it = this->shares.find(id);
    if (it != this->shares.end() && it->second.phase == state::waiting)
    {
        it->second.free_at = when;
    }
}

std::vector<base::share_id> share_table::acquire_free(base::time_point now)
{
    std::vector<base::share_id> acquired;
    for (auto& [id, record] : this->shares)
    {
        if (record.phase == state::waiting && record.free_at &&
            *record.free_at <= now)
        {
            record.phase = state::held;
            acquired.push_back(id);
        }
    }
    return acquired;
}

std::vector<base::share_id> share_table::acquire_fenced(base::revision epoch)
{
    std::vector<base::share_id> acquired;
    for (auto& [id, record] : this->shares)
    {
        if (record.phase == state::waiting && record.epoch <= epoch)
        {
            record.phase = state::held;
            acquired.push_back(id);
        }
    }
    return acquired;
}

bool share_table::is_held(const base::share_id& id) const
{
    const auto* record = this->find(id);
    return record != nullptr && record->phase == state::held;
}

const share_table::share* share_table::find(const base::share_id& id) const
{
    const auto it = this->shares.find(id);
    return it == this->shares.end() ? nullptr : &it->second;
}

} // namespace hawthornrelay::core::placement
