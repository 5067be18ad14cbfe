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
/// reach any node to get other addresses.
constexpr std::size_t remote_entries = 1;

} // namespace

std::vector<node_record> choose_entries(const std::vector<node_record>& usable,
                                        const std::string& caller_zone,
                                        std::size_t rotation)
{
    std::vector<node_record> chosen;
    std::vector<node_record> remote;
    for (const auto& node : usable)
    {
        (node.zone == caller_zone ? chosen : remote).push_back(node);
    }
    if (chosen.size() < min_entries)
    {
        return usable;
    }
    for (std::size_t i = 0; i < std::min(remote_entries, remote.size()); ++i)
    {
        chosen.push_back(remote[(rotation + i) % remote.size()]);
    }
    return chosen;
}

} // namespace hawthornrelay::core::relay
