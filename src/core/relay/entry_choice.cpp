#include <core/relay/entry_choice.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

namespace
{

/// A caller whose only address fails has nowhere to go until it asks again.
constexpr std::size_t least_entries = 2;

/// Entries of other zones that are named besides. A caller whose whole zone is
/// lost reaches no node that could tell it of others.
constexpr std::size_t far_entries = 1;

} // namespace

std::vector<node_record> choose_entries(const std::vector<node_record>& usable,
                                        const std::string& caller_zone,
                                        std::size_t turn)
{
    std::vector<node_record> near;
    std::vector<node_record> far;
    for (const auto& node : usable)
    {
        (node.zone == caller_zone ? near : far).push_back(node);
    }
    if (near.size() < least_entries)
    {
        return usable;
    }
    for (std::size_t i = 0; i < std::min(far_entries, far.size()); ++i)
    {
        near.push_back(far[(turn + i) % far.size()]);
    }
    return near;
}

} // namespace hawthornrelay::core::relay
