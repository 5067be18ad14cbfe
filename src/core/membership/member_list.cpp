#include <core/membership/member_list.hpp>

#include <algorithm>

namespace hawthornrelay::core::membership
{

bool member_list::apply(const config::delta& change)
{
    bool changed = false;
    for (const auto& item : change.items)
    {
        const auto id = member_of_key(item.key);
        if (id.empty())
        {
            continue;
        }
        const auto known = this->by_id.find(id);
        if (known != this->by_id.end() &&
            known->second.modified >= item.modified)
        {
            continue;
        }
        changed = true;
        this->newest = std::max(this->newest, item.modified);
        if (item.value.empty())
        {
            this->by_id.erase(id);
            continue;
        }
        if (auto record = decode_member(id, item.value))
        {
            this->by_id[id] = row{std::move(*record), item.modified};
        }
    }
    return changed;
}

const member_list::row* member_list::find(const base::node_id& id) const
{
    const auto it = this->by_id.find(id);
    return it == this->by_id.end() ? nullptr : &it->second;
}

std::vector<member> member_list::active() const
{
    std::vector<member> members;
    for (const auto& [id, row] : this->by_id)
    {
        if (row.record.state == member_state::active)
        {
            members.push_back(row.record);
        }
    }
    return members;
}

} // namespace hawthornrelay::core::membership
