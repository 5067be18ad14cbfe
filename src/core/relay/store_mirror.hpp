/// @file
/// @brief This node's copy of the store with its recent changes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The newest known item of each key. An older revision never replaces
///        a newer one, whichever source it comes from.
///
/// Revisions compare within an era of the store only. The listing of a later
/// era replaces all items.
class store_mirror
{
  public:
    /// @brief Creates an empty mirror; the log must outlive it.
    /// @param on_change called for each applied change
    store_mirror(ports::event_log& log,
                 std::function<void(const ports::store_item&)> on_change);

    /// @brief Applies changes from a watch.
    /// @param page the changes and the state that they lead to
    /// @return false if the page is of another era: nothing was applied
    bool apply_changes(const ports::store_page& page);

    /// @brief Applies a complete listing; keys that it lacks are removed.
    /// @param listing the items of all keys and the store's state when the
    ///        listing began
    /// @param may_have_lapsed set on the removals that it causes; those of a
    ///        later era always have it set
    /// @return false if the listing is of an earlier era: nothing was applied
    bool apply_listing(const ports::store_page& listing, bool may_have_lapsed);

    /// @brief True once a listing has been applied.
    [[nodiscard]] bool is_complete() const
    {
        return this->has_listing;
    }

    /// @brief The state up to which all changes are known.
    [[nodiscard]] const ports::store_position& position() const
    {
        return this->known;
    }

    /// @brief Part of the items in the order of their keys, for another node.
    /// @param after the key after which the page begins; empty for the first
    /// @param max_bytes size of the page; one item may exceed it
    [[nodiscard]] ports::store_page listing(
        const std::string& after = {},
        std::size_t max_bytes = std::numeric_limits<std::size_t>::max()) const;

    /// @brief The changes after a state, for another node.
    /// @return nullopt if the history does not go back that far
    [[nodiscard]] std::optional<ports::store_page>
    changes_since(const ports::store_position& after) const;

  private:
    /// @return false if the known item is as new
    bool apply(const ports::store_item& item);
    void replace(const ports::store_item& item);
    /// @return removals of the keys that a listing lacks and that are not newer
    [[nodiscard]] std::vector<ports::store_item>
    find_unlisted(const ports::store_page& listing) const;
    void clear_history(std::uint64_t revision);
    void apply_restored(const ports::store_page& listing);

    ports::event_log& log;
    std::function<void(const ports::store_item&)> on_change;
    std::map<std::string, ports::store_item> items; ///< removals included
    std::deque<ports::store_item> history;
    std::size_t history_bytes = 0;    ///< of the values
    std::uint64_t history_begins = 0; ///< history has all later changes
    ports::store_position known;
    bool has_listing = false;
};

} // namespace hawthornrelay::core::relay
