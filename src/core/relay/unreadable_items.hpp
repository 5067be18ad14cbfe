/// @file
/// @brief Bounds the log lines about undecodable items of the store.
#pragma once

#include <set>
#include <string>

namespace hawthornrelay::core::relay
{

/// @brief The items that were logged as undecodable. Their writers may write
///        them again and again, so each is logged once until it is decoded or
///        removed.
class unreadable_items
{
  public:
    /// Items beyond this number are not logged.
    static constexpr std::size_t max_logged = 100;

    /// @brief Records an undecodable item.
    /// @param key the item's key
    /// @return true if it is to be logged
    bool add(const std::string& key)
    {
        return this->logged.size() < max_logged &&
               this->logged.insert(key).second;
    }

    /// @brief Records that an item was decoded or removed.
    /// @param key the item's key
    void remove(const std::string& key)
    {
        this->logged.erase(key);
    }

  private:
    std::set<std::string> logged;
};

} // namespace hawthornrelay::core::relay
