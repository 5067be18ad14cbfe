#include <core/relay/source_choice.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>

#include <core/base/hash.hpp>

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
    const auto take = [&heard](auto&& is_taken)
    {
        std::vector<node_record> taken;
        std::copy_if(
            heard.begin(), heard.end(), std::back_inserter(taken), is_taken);
        return taken;
    };
    const auto can_serve = [](const node_record& node)
    {
        return node.is_ready && !node.is_stopping;
    };
    const auto is_current = [&](const node_record& node)
    {
        return can_serve(node) && node.store_age < oldest_reader;
    };
    auto entries = take(
        [&](const node_record& node)
        {
            return is_current(node) && node.is_entry;
        });
    std::vector<node_record> sources;
    if (self.is_entry)
    {
        // Entries follow readers only, so that no two follow each other.
        sources = take(
            [&](const node_record& node)
            {
                return is_current(node) && node.reads_store;
            });
        if (may_read_store)
        {
            entries.push_back(self);
            const auto readers = expected_readers(entries);
            const bool is_reader =
                std::find(readers.begin(), readers.end(), self.name) !=
                readers.end();
            if (is_reader)
            {
                return std::nullopt;
            }
        }
    }
    else
    {
        sources = entries.empty() ? take(is_current) : entries;
    }
    if (sources.empty() && !may_read_store)
    {
        // Old knowledge is better than none.
        sources = take(can_serve);
    }
    if (sources.empty())
    {
        return std::nullopt;
    }
    const auto rank = [&](const node_record& node)
    {
        // One of the own zone saves bytes between zones, staying with a source
        // a connection; otherwise followers spread over the sources.
        return std::tuple(node.zone != self.zone,
                          node.name != following,
                          base::hash_of(node.name, base::hash_of(self.name)));
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
