#include <core/relay/store_mirror.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace hawthornrelay::core::relay
{

namespace
{

/// Limits on the changes kept for other nodes; nodes further behind need a
/// listing.
constexpr std::size_t max_history = 2000;
constexpr std::size_t max_history_bytes = std::size_t{4} << 20U;

} // namespace

store_mirror::store_mirror(
    ports::event_log& log,
    std::function<void(const ports::store_item&)> on_change)
    : log(log), on_change(std::move(on_change))
{
}

bool store_mirror::apply_changes(const ports::store_page& page)
{
    if (ports::is_earlier(page.era, this->known.era) ||
        ports::is_earlier(this->known.era, page.era))
    {
        return false;
    }
    for (const auto& item : page.items)
    {
        const auto& current = this->items[item.key];
        const bool differs = current.is_removed != item.is_removed ||
                             current.value != item.value;
        if (!this->apply(item) && differs)
        {
            this->log.write(base::log_event::change_ignored,
                            {{"key", item.key},
                             {"revision", std::to_string(item.revision)},
                             {"known", std::to_string(current.revision)}});
        }
    }
    this->known.revision = std::max(this->known.revision, page.revision);
    this->known.era = page.era ? page.era : this->known.era;
    return true;
}

bool store_mirror::apply_listing(const ports::store_page& listing,
                                 bool may_have_lapsed)
{
    if (ports::is_earlier(listing.era, this->known.era))
    {
        return false;
    }
    if (ports::is_earlier(this->known.era, listing.era))
    {
        this->apply_restored(listing);
        return true;
    }
    for (const auto& item : listing.items)
    {
        this->apply(item);
    }
    for (auto removal : this->find_unlisted(listing))
    {
        removal.may_have_lapsed = may_have_lapsed;
        this->replace(removal);
    }
    if (listing.revision > this->known.revision || !this->has_listing)
    {
        // The listing does not contain intermediate changes.
        this->clear_history(listing.revision);
        this->known.revision = std::max(this->known.revision, listing.revision);
    }
    this->known.era = listing.era ? listing.era : this->known.era;
    this->has_listing = true;
    return true;
}

void store_mirror::apply_restored(const ports::store_page& listing)
{
    for (auto& [key, item] : this->items)
    {
        item.revision = 0;
    }
    for (const auto& item : listing.items)
    {
        const auto found = this->items.find(item.key);
        const bool was_known = found != this->items.end();
        const bool is_same = was_known && !found->second.is_removed &&
                             found->second.value == item.value;
        if (is_same)
        {
            found->second.revision = item.revision;
        }
        else
        {
            auto changed = item;
            changed.is_restored = was_known;
            this->replace(changed);
        }
    }
    std::erase_if(this->items,
                  [](const auto& entry)
                  {
                      return entry.second.is_removed;
                  });
    this->known = {listing.revision, listing.era};
    for (auto removal : this->find_unlisted(listing))
    {
        removal.may_have_lapsed = true;
        removal.is_restored = true;
        this->replace(removal);
    }
    this->clear_history(listing.revision);
}

void store_mirror::clear_history(std::uint64_t revision)
{
    this->history.clear();
    this->history_bytes = 0;
    this->history_begins = revision;
}

std::vector<ports::store_item>
store_mirror::find_unlisted(const ports::store_page& listing) const
{
    std::set<std::string_view> listed_keys;
    for (const auto& item : listing.items)
    {
        listed_keys.insert(item.key);
    }
    std::vector<ports::store_item> removals;
    for (const auto& [key, item] : this->items)
    {
        const bool is_gone = !item.is_removed &&
                             item.revision <= listing.revision &&
                             !listed_keys.contains(key);
        if (is_gone)
        {
            removals.push_back({key, {}, listing.revision, true});
        }
    }
    return removals;
}

bool store_mirror::apply(const ports::store_item& item)
{
    const auto& current = this->items[item.key];
    const bool is_newer = item.revision > current.revision ||
                          (item.revision == current.revision &&
                           item.is_removed && !current.is_removed);
    if (is_newer)
    {
        this->replace(item);
    }
    return is_newer;
}

void store_mirror::replace(const ports::store_item& item)
{
    this->items[item.key] = item;
    this->history.push_back(item);
    this->history_bytes += item.value.size();
    while (this->history.size() > max_history ||
           this->history_bytes > max_history_bytes)
    {
        const auto& oldest = this->history.front();
        this->history_begins = oldest.revision;
        this->history_bytes -= oldest.value.size();
        this->history.pop_front();
    }
    this->on_change(item);
}

ports::store_page store_mirror::listing(const std::string& after,
                                        std::size_t max_bytes) const
{
    ports::store_page page;
    page.revision = this->known.revision;
    page.era = this->known.era;
    std::size_t bytes = 0;
    for (auto next = this->items.upper_bound(after); next != this->items.end();
         ++next)
    {
        const auto& item = next->second;
        if (item.is_removed)
        {
            continue;
        }
        const auto size = item.key.size() + item.value.size();
        if (!page.items.empty() &&
            size > max_bytes - std::min(bytes, max_bytes))
        {
            page.has_more = true;
            break;
        }
        bytes += size;
        page.items.push_back(item);
    }
    return page;
}

std::optional<ports::store_page>
store_mirror::changes_since(const ports::store_position& after) const
{
    const bool is_in_history = this->has_listing &&
                               after.revision >= this->history_begins &&
                               !ports::is_earlier(after.era, this->known.era);
    if (!is_in_history)
    {
        return std::nullopt;
    }
    ports::store_page page;
    for (const auto& item : this->history)
    {
        if (item.revision > after.revision)
        {
            page.items.push_back(item);
        }
    }
    page.revision = std::max(this->known.revision, after.revision);
    page.era = this->known.era;
    return page;
}

} // namespace hawthornrelay::core::relay
