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
    for (const auto& changed : change.items)
    {
        this->apply_item(changed);
    }
    this->applied = change.to;
    return true;
}

void store::apply_item(const item& change)
{
    auto& stored = this->items[change.key];
    if (change.modified <= stored.modified)
    {
        return;
    }
    this->key_by_revision.erase(stored.modified);
    stored = change;
    this->key_by_revision[change.modified] = change.key;

    const auto key = parse_key(change.key);
    if (!key)
    {
        return;
    }
    const auto outcome = apply_value(*key, change.value, this->decoded);
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
        changes.items.push_back(this->items.at(it->second));
    }
    return changes;
}

const item* store::find(const std::string& key) const
{
    const auto it = this->items.find(key);
    return it == this->items.end() ? nullptr : &it->second;
}

} // namespace hawthornrelay::core::config
