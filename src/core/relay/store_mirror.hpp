/// @file
/// @brief This node's copy of the store, and its recent history for others.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ports/metadata_store.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The newest known value of each key. Values only move forward,
///        whichever source they come from.
class store_mirror
{
  public:
    /// @brief Sets who is told of each change.
    explicit store_mirror(
        std::function<void(const ports::store_item&)> on_change);

    /// @brief Takes changes from a watch.
    /// @param page the changes and the revision they lead to
    void apply_changes(const ports::store_page& page);

    /// @brief Takes a complete listing: keys that it does not name are gone.
    /// @param items every key
    /// @param revision the store's revision when the listing began
    /// @param may_have_lapsed marks the removals that follow from it
    void apply_listing(const std::vector<ports::store_item>& items,
                       std::uint64_t revision,
                       bool may_have_lapsed);

    /// @brief True once a listing has been applied.
    [[nodiscard]] bool is_complete() const
    {
        return this->has_listing;
    }

    /// @brief The revision up to which everything is known.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->known;
    }

    /// @brief Every key, for another node.
    [[nodiscard]] ports::store_page listing() const;

    /// @brief The changes after a revision, for another node.
    /// @return nothing when the history does not go back so far
    [[nodiscard]] std::optional<ports::store_page>
    changes_since(std::uint64_t revision) const;

  private:
    void apply(const ports::store_item& item);

    std::function<void(const ports::store_item&)> on_change;
    std::map<std::string, ports::store_item> items; ///< removals included
    std::deque<ports::store_item> history;
    std::uint64_t history_begins = 0; ///< changes after this are in history
    std::uint64_t known = 0;
    bool has_listing = false;
};

} // namespace hawthornrelay::core::relay
