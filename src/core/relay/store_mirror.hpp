/// @file
/// @brief This node's copy of the store with its recent changes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
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
class store_mirror
{
  public:
    /// @brief Creates an empty mirror; the log must outlive it.
    /// @param on_change called for each applied change
    store_mirror(ports::event_log& log,
                 std::function<void(const ports::store_item&)> on_change);

    /// @brief Applies changes from a watch.
    /// @param page the changes and the revision that they lead to
    void apply_changes(const ports::store_page& page);

    /// @brief Applies a complete listing; keys that it lacks are removed.
    /// @param listed the items of all keys
    /// @param revision the store's revision when the listing began
    /// @param may_have_lapsed set on the removals that it causes
    void apply_listing(const std::vector<ports::store_item>& listed,
                       std::uint64_t revision,
                       bool may_have_lapsed);

    /// @brief True once a listing has been applied.
    [[nodiscard]] bool is_complete() const
    {
        return this->has_listing;
    }

    /// @brief The revision up to which all changes are known.
    [[nodiscard]] std::uint64_t revision() const
    {
        return this->known_revision;
    }

    /// @brief All items, for another node.
    [[nodiscard]] ports::store_page listing() const;

    /// @brief The changes after a revision, for another node.
    /// @return nullopt if the history does not go back that far
    [[nodiscard]] std::optional<ports::store_page>
    changes_since(std::uint64_t revision) const;

  private:
    /// @return false if the known item is as new
    bool apply(const ports::store_item& item);

    ports::event_log& log;
    std::function<void(const ports::store_item&)> on_change;
    std::map<std::string, ports::store_item> items; ///< removals included
    std::deque<ports::store_item> history;
    std::uint64_t history_begins = 0; ///< history has all later changes
    std::uint64_t known_revision = 0;
    bool has_listing = false;
};

} // namespace hawthornrelay::core::relay
