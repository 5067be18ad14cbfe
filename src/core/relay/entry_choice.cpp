#include <core/relay/entry_choice.hpp>

#include <algorithm>
#include <iterator>

namespace hawthornrelay::core::relay
{

namespace
{

/// A caller whose only address fails has nowhere to go until it asks again.
constexpr std::size_t least_entries = 2;

} // namespace

std::vector<node_record> choose_entries(const std::vector<node_record>& usable,
                                        const std::string& caller_zone)
{
    std::vector<node_record> near;
    std::copy_if(usable.begin(),
                 usable.end(),
                 std::back_inserter(near),
                 [&](const node_record& node)
                 {
                     return node.zone == caller_zone;
                 });
    return near.size() >= least_entries ? near : usable;
}

} // namespace hawthornrelay::core::relay
