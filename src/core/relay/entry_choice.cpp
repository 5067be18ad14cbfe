#include <core/relay/entry_choice.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

namespace
{

/// With a single address, a caller would have no alternative on failure until
/// it resolves again.
constexpr std::size_t min_entries = 2;

/// Number of remote entries added. A caller whose whole zone is lost could not
/// reach any node to learn of others.
constexpr std::size_t far_entries = 1;

} // namespace

std::vector<node_record> choose_entries(const std::vector<node_record>& usable,
                                        const std::string& caller_zone,
                                        std::size_t rotation)
{
    std::vector<node_record> near;
    std::vector<node_record> far;
    for (const auto& node : usable)
    {
        (node.zone == caller_zone ? near : far).push_back(node);
    }
    if (near.size() < min_entries)
    {
        return usable;
    }
    for (std::size_t i = 0; i < std::min(far_entries, far.size()); ++i)
    {
        near.push_back(far[(rotation + i) % far.size()]);
    }
    return near;
}

} // namespace hawthornrelay::core::relay
