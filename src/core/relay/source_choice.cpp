#include <core/relay/source_choice.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

namespace
{

/// Number of nodes that read the store, so that one stays up to date if the
/// other is lost.
constexpr std::size_t reader_count = 2;

/// A reader without an answer from the store for this long may be cut off. It
/// renews its lease every 700 ms, so two failed renewals are tolerated.
constexpr std::chrono::milliseconds max_reader_age{1700};

/// Returns the names of the nodes that should read the store: the first by name
/// and the first in another zone.
std::vector<std::string> expected_readers(std::vector<node_record> candidates)
{
    std::sort(candidates.begin(),
              candidates.end(),
              [](const node_record& left, const node_record& right)
              {
                  return left.name < right.name;
              });
    std::vector<std::string> chosen;
    std::string zone;
    for (const auto& node : candidates)
    {
        if (chosen.size() < reader_count &&
            (chosen.empty() || node.zone != zone))
        {
            chosen.push_back(node.name);
            zone = node.zone;
        }
    }
    if (chosen.size() < reader_count && candidates.size() >= reader_count)
    {
        chosen.push_back(candidates[1].name);
    }
    return chosen;
}

} // namespace

std::optional<std::string> choose_source(const node_record& self,
                                         bool may_read_store,
                                         const std::vector<node_record>& others,
                                         const std::string& current_source)
{
    const auto select = [&others](auto&& is_selected)
    {
        std::vector<node_record> selected;
        std::copy_if(others.begin(),
                     others.end(),
                     std::back_inserter(selected),
                     is_selected);
        return selected;
    };
    const auto can_serve = [](const node_record& node)
    {
        return node.is_ready && !node.is_stopping;
    };
    const auto is_current = [&](const node_record& node)
    {
        return can_serve(node) && node.store_age < max_reader_age;
    };
    auto entries = select(
        [&](const node_record& node)
        {
            return is_current(node) && node.is_entry;
        });
    std::vector<node_record> sources;
    if (self.is_entry)
    {
        // Entries follow only readers, which rules out cycles.
        sources = select(
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
        sources = entries.empty() ? select(is_current) : entries;
    }
    if (sources.empty() && !may_read_store)
    {
        // A stale source is better than none.
        sources = select(can_serve);
    }
    if (sources.empty())
    {
        return std::nullopt;
    }
    const auto rank = [&](const node_record& node)
    {
        // Prefers the own zone, which saves traffic between zones, then the
        // current source, which saves a connection; the hash spreads followers
        // over the sources.
        return std::tuple(node.zone != self.zone,
                          node.name != current_source,
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
