#include <core/relay/source_choice.hpp>

#include <algorithm>
#include <chrono>

namespace hawthornrelay::core::relay
{

namespace
{

/// Nodes that read the store; the loss of one leaves one that is up to date.
constexpr std::size_t reader_count = 2;

/// A reader that has not heard from the store for so long may be cut off. It
/// renews its lease every 700 ms; two renewals may fail to notice.
constexpr std::chrono::milliseconds oldest_reader{1700};

/// The names that should read the store: the first, and the first in another
/// zone.
std::vector<std::string> expected_readers(std::vector<node_record> able)
{
    std::sort(able.begin(),
              able.end(),
              [](const node_record& left, const node_record& right)
              {
                  return left.name < right.name;
              });
    std::vector<std::string> chosen;
    std::string zone;
    for (const auto& node : able)
    {
        if (chosen.size() < reader_count &&
            (chosen.empty() || node.zone != zone))
        {
            chosen.push_back(node.name);
            zone = node.zone;
        }
    }
    if (chosen.size() < reader_count && able.size() >= reader_count)
    {
        chosen.push_back(able[1].name);
    }
    return chosen;
}

} // namespace

std::optional<std::string> choose_source(const node_record& self,
                                         bool may_read_store,
                                         const std::vector<node_record>& heard,
                                         const std::string& following)
{
    std::vector<node_record> able;
    std::vector<node_record> sources;
    for (const auto& node : heard)
    {
        const bool is_current = node.is_ready && !node.is_stopping &&
                                node.store_age < oldest_reader;
        if (is_current)
        {
            able.push_back(node);
        }
        if (is_current && node.reads_store)
        {
            sources.push_back(node);
        }
    }
    if (may_read_store)
    {
        able.push_back(self);
        const auto readers = expected_readers(able);
        const bool is_reader =
            std::find(readers.begin(), readers.end(), self.name) !=
            readers.end();
        if (is_reader || sources.empty())
        {
            return std::nullopt;
        }
    }
    if (sources.empty())
    {
        // Old knowledge is better than none.
        std::copy_if(heard.begin(),
                     heard.end(),
                     std::back_inserter(sources),
                     [](const node_record& node)
                     {
                         return node.is_ready && !node.is_stopping;
                     });
    }
    if (sources.empty())
    {
        return std::nullopt;
    }
    const auto rank = [&](const node_record& node)
    {
        // Staying with a source saves a connection and a listing.
        return (node.name == following ? 0 : 2) +
               (node.zone == self.zone ? 0 : 1);
    };
    return std::min_element(
               sources.begin(),
               sources.end(),
               [&](const node_record& left, const node_record& right)
               {
                   return rank(left) < rank(right);
               })
        ->name;
}

} // namespace hawthornrelay::core::relay
