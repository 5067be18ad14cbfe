#include <core/relay/client_budget.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hawthornrelay::core::relay
{

namespace
{

/// Descriptors that the platform reserves for files.
constexpr std::size_t reserved_descriptors = 200;

} // namespace

client_limits limits_of(const client_settings& settings,
                        std::size_t memory,
                        std::size_t descriptors)
{
    client_limits result;
    result.memory = static_cast<std::size_t>(settings.memory_share *
                                             static_cast<double>(memory));
    if (descriptors > 0)
    {
        const auto usable = descriptors > reserved_descriptors
                                ? descriptors - reserved_descriptors
                                : 0;
        result.connections = std::max<std::size_t>(
            1,
            static_cast<std::size_t>(settings.descriptor_share *
                                     static_cast<double>(usable)));
    }
    result.grace = settings.grace;
    result.progress_bytes = settings.progress_bytes;
    result.fields = settings.fields;
    result.pipelined = settings.pipelined;
    return result;
}

std::optional<client_budget::client_id> client_budget::open(
    bool is_protected, std::size_t bytes, base::time_point now, closer close)
{
    while (!is_protected && this->clients.size() >= this->bounds.connections)
    {
        if (!this->close_one(client_closure::descriptors, 0, false, now))
        {
            this->count(client_closure::refused);
            return std::nullopt;
        }
    }
    const auto id = ++this->last_id;
    auto& added = this->clients[id];
    added.is_protected = is_protected;
    added.phase_since = now;
    added.progress_at = now;
    added.close = std::move(close);
    if (is_protected)
    {
        this->hold(id, bytes, now);
    }
    else if (!this->try_hold(id, bytes, now))
    {
        this->close(id);
        return std::nullopt;
    }
    return id;
}

void client_budget::close(client_id id)
{
    const auto found = this->clients.find(id);
    if (found != this->clients.end())
    {
        this->used -= found->second.bytes;
        this->clients.erase(found);
    }
}

bool client_budget::try_hold(client_id id,
                             std::size_t total,
                             base::time_point now)
{
    const auto found = this->clients.find(id);
    if (found == this->clients.end())
    {
        return false;
    }
    auto& item = found->second;
    while (total > item.bytes && !item.is_protected &&
           !this->has_room(total - item.bytes))
    {
        // An ordinary client is not refused because of larger ones.
        const auto before = std::exchange(item.bytes, total);
        const bool is_freed =
            this->close_one(client_closure::memory, id, false, now);
        item.bytes = before;
        if (!is_freed)
        {
            this->count(client_closure::refused);
            return false;
        }
    }
    this->used += total;
    this->used -= std::exchange(item.bytes, total);
    return true;
}

void client_budget::hold(client_id id, std::size_t total, base::time_point now)
{
    const auto found = this->clients.find(id);
    if (found == this->clients.end())
    {
        return;
    }
    const auto before = std::exchange(found->second.bytes, total);
    this->used += total;
    this->used -= before;
    while (total > before && !this->has_room(0) &&
           this->close_one(client_closure::memory, id, true, now))
    {
    }
}

void client_budget::set_phase(client_id id,
                              client_phase phase,
                              base::time_point now)
{
    const auto found = this->clients.find(id);
    if (found != this->clients.end())
    {
        auto& item = found->second;
        item.phase = phase;
        item.phase_since = now;
        item.progress_at = now;
        item.bytes_since_progress = 0;
    }
}

void client_budget::on_progress(client_id id,
                                std::size_t bytes,
                                base::time_point now)
{
    const auto found = this->clients.find(id);
    if (found == this->clients.end())
    {
        return;
    }
    auto& item = found->second;
    item.bytes_since_progress += bytes;
    if (item.bytes_since_progress >= this->bounds.progress_bytes)
    {
        item.bytes_since_progress = 0;
        item.progress_at = now;
    }
}

client_budget::rank client_budget::rank_of(const client& item,
                                           client_closure need,
                                           base::time_point now) const
{
    if (item.is_protected || item.phase == client_phase::handling)
    {
        return {};
    }
    const auto seconds = [now](base::time_point since)
    {
        return std::chrono::duration<double>(now - since).count();
    };
    const double size =
        need == client_closure::memory ? static_cast<double>(item.bytes) : 1.0;
    if (item.phase == client_phase::kept)
    {
        // It holds little memory. One that was used within the grace belongs
        // to a caller with steady traffic, which a flood must not displace.
        const bool may_close = need == client_closure::descriptors &&
                               now - item.phase_since >= this->bounds.grace;
        return may_close ? rank{group::kept, seconds(item.phase_since)}
                         : rank{};
    }
    if (now - item.progress_at >= this->bounds.grace)
    {
        return {group::stalled, size * seconds(item.progress_at)};
    }
    if (now - item.phase_since >= this->bounds.grace)
    {
        return {group::slow, size * seconds(item.phase_since)};
    }
    // Of connections that have just been opened, none is worse than another.
    return need == client_closure::memory ? rank{group::young, size} : rank{};
}

bool client_budget::close_one(client_closure need,
                              client_id for_client,
                              bool may_close_itself,
                              base::time_point now)
{
    std::set<client_id> excluded;
    while (true)
    {
        rank highest;
        client_id selected = 0;
        for (const auto& [id, item] : this->clients)
        {
            const auto candidate = this->rank_of(item, need, now);
            if (candidate > highest && !excluded.contains(id))
            {
                highest = candidate;
                selected = id;
            }
        }
        if (selected == 0 || (selected == for_client && !may_close_itself))
        {
            return false;
        }
        // A copy: the client may remove itself while it is closed.
        const auto close = this->clients.at(selected).close;
        const auto held_before = this->used;
        const auto count_before = this->clients.size();
        if (close(need) &&
            (this->used < held_before || this->clients.size() < count_before))
        {
            this->count(need);
            return true;
        }
        excluded.insert(selected);
    }
}

bool client_budget::has_room(std::size_t more) const
{
    return this->used <= this->bounds.memory &&
           more <= this->bounds.memory - this->used;
}

} // namespace hawthornrelay::core::relay
