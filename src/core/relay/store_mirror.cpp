#include <core/relay/store_mirror.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hawthornrelay::core::relay
{

namespace
{

/// Number of changes kept for other nodes; nodes further behind need a listing.
constexpr std::size_t max_history = 2000;

} // namespace

store_mirror::store_mirror(
    ports::event_log& log,
    std::function<void(const ports::store_item&)> on_change)
    : log(log), on_change(std::move(on_change))
{
}

void store_mirror::apply_changes(const ports::store_page& page)
{
    for (const auto& item : page.items)
    {
        const auto& known = this->items[item.key];
        const bool differs =
            known.is_removed != item.is_removed || known.value != item.value;
        if (!this->apply(item) && differs)
        {
            this->log.write(base::log_event::change_ignored,
                            {{"key", item.key},
                             {"revision", std::to_string(item.revision)},
                             {"known", std::to_string(known.revision)}});
        }
    }
    this->known_revision = std::max(this->known_revision, page.revision);
}

void store_mirror::apply_listing(const std::vector<ports::store_item>& listed,
                                 std::uint64_t revision,
                                 bool may_have_lapsed)
{
    std::set<std::string> listed_keys;
    for (const auto& item : listed)
    {
        listed_keys.insert(item.key);
        this->apply(item);
    }
    std::vector<ports::store_item> removals;
    for (const auto& [key, item] : this->items)
    {
        const bool is_gone = !item.is_removed && item.revision <= revision &&
                             !listed_keys.contains(key);
        if (is_gone)
        {
            removals.push_back({key, {}, revision, true, may_have_lapsed});
        }
    }
    for (const auto& removal : removals)
    {
        this->apply(removal);
    }
    if (revision > this->known_revision || !this->has_listing)
    {
        // The listing does not contain intermediate changes.
        this->history.clear();
        this->history_begins = revision;
        this->known_revision = std::max(this->known_revision, revision);
    }
    this->has_listing = true;
}

bool store_mirror::apply(const ports::store_item& item)
{
    auto& current = this->items[item.key];
    const bool is_newer = item.revision > current.revision ||
                          (item.revision == current.revision &&
                           item.is_removed && !current.is_removed);
    if (!is_newer)
    {
        return false;
    }
    current = item;
    this->history.push_back(item);
    while (this->history.size() > max_history)
    {
        this->history_begins = this->history.front().revision;
        this->history.pop_front();
    }
    this->on_change(item);
    return true;
}

ports::store_page store_mirror::listing() const
{
    ports::store_page page;
    for (const auto& [key, item] : this->items)
    {
        if (!item.is_removed)
        {
            page.items.push_back(item);
        }
    }
    page.revision = this->known_revision;
    return page;
}

std::optional<ports::store_page>
store_mirror::changes_since(std::uint64_t revision) const
{
    if (!this->has_listing || revision < this->history_begins)
    {
        return std::nullopt;
    }
    ports::store_page page;
    for (const auto& item : this->history)
    {
        if (item.revision > revision)
        {
            page.items.push_back(item);
        }
    }
    page.revision = std::max(this->known_revision, revision);
    return page;
}

} // namespace hawthornrelay::core::relay
