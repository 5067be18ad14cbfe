/// @file
/// @brief Model of the platform's key-value service, used by the simulated
///        fleet and the stand-in processes.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <core/base/result.hpp>
#include <core/config/store.hpp>

namespace hawthornrelay::tests::support
{

/// @brief Keys with revisions and compare-and-swap, and the list of VMs that
///        are gone.
class platform_model
{
  public:
    std::uint64_t calls = 0; ///< counted by the users of the model
    std::uint64_t revision = 0;
    std::set<std::string> gone_vms;

    [[nodiscard]] core::config::delta changes_since(std::uint64_t since) const
    {
        core::config::delta change{since, this->revision, {}};
        for (const auto& [key, item] : this->items)
        {
            if (item.modified > since)
            {
                change.items.push_back(item);
            }
        }
        return change;
    }

    core::base::result<std::uint64_t> compare_and_swap(const std::string& key,
                                                       std::uint64_t expected,
                                                       const std::string& value)
    {
        constexpr std::size_t max_value_bytes = 1U << 20U;
        if (value.size() > max_value_bytes)
        {
            return core::base::fail(core::base::result_code::invalid_value);
        }
        const auto it = this->items.find(key);
        const auto current = it == this->items.end() ? 0 : it->second.modified;
        if (current != expected)
        {
            return core::base::fail(core::base::result_code::revision_conflict);
        }
        this->items[key] = {key, value, ++this->revision};
        return this->revision;
    }

  private:
    std::map<std::string, core::config::item> items;
};

} // namespace hawthornrelay::tests::support
