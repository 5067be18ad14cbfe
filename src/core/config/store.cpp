#include <core/config/store.hpp>

#include <core/config/codec.hpp>

namespace hawthornrelay::core::config
{

bool store::apply(const delta& change)
{
    if (change.from > this->applied || change.to <= this->applied)
    {
        return false;
    }
    for (const auto& item : change.entries)
    {
        this->apply_entry(item);
    }
    this->applied = change.to;
    return true;
}

void store::apply_entry(const entry& change)
{
    auto& stored = this->entries[change.key];
    if (change.modified <= stored.modified)
    {
        return;
    }
    this->key_by_revision.erase(stored.modified);
    stored = change;
    this->key_by_revision[change.modified] = change.key;

    const auto item = parse_key(change.key);
    if (!item)
    {
        return;
    }
    const auto outcome = apply_value(*item, change.value, this->decoded);
    if (outcome)
    {
        this->invalid.erase(change.key);
    }
    else
    {
        this->invalid[change.key] = outcome.error();
    }
}

delta store::changes_since(base::revision since) const
{
    delta changes{since, this->applied, {}};
    for (auto it = this->key_by_revision.upper_bound(since);
         it != this->key_by_revision.end();
         ++it)
    {
        changes.entries.push_back(this->entries.at(it->second));
    }
    return changes;
}

const entry* store::find(const std::string& key) const
{
    const auto it = this->entries.find(key);
    return it == this->entries.end() ? nullptr : &it->second;
}

} // namespace hawthornrelay::core::config
