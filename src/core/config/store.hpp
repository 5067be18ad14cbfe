/// @file
/// @brief The configuration in force on a node, ordered by revision.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/config/document.hpp>

namespace hawthornrelay::core::config
{

/// @brief The value of a key and the revision of its last write.
struct item
{
    std::string key;
    std::string value; ///< empty if the key was deleted
    base::revision modified = 0;
};

/// @brief The keys that changed within a range of revisions.
struct delta
{
    base::revision from = 0; ///< exclusive
    base::revision to = 0;   ///< inclusive
    std::vector<item> items;
    /// Keys of changes that could not be read and were left out; empty texts
    /// for those without a key.
    std::vector<std::string> unreadable{};
};

/// @brief Keeps the newest known value of each key.
///
/// A delta applies only if it starts at or before the current revision and ends
/// after it, so that a node neither misses nor reverts a change.
class store
{
  public:
    /// @brief Applies a delta.
    /// @param change the delta
    /// @return true if the store advanced; false for an old delta, or for one
    ///         that starts after the current revision (a gap)
    /// @complexity logarithmic in the number of keys for each item
    bool apply(const delta& change);

    /// @brief The changes after a revision.
    /// @param since the reader's revision
    /// @return a delta from @p since to the current revision
    /// @complexity linear in the number of changes returned
    [[nodiscard]] delta changes_since(base::revision since) const;

    /// @brief The current revision: all changes up to it are applied.
    /// @return the revision, 0 before the first delta
    [[nodiscard]] base::revision current() const
    {
        return this->applied;
    }

    /// @brief The decoded configuration in force.
    /// @return the document
    [[nodiscard]] const document& contents() const
    {
        return this->decoded;
    }

    /// @brief Looks a key up.
    /// @param key the platform's key
    /// @return the item, or nullptr if the key was never written
    [[nodiscard]] const item* find(const std::string& key) const;

    /// @brief Keys whose newest value is invalid; the last valid value of each
    ///        stays in force.
    /// @return the errors by key
    [[nodiscard]] const std::map<std::string, base::error>& rejected() const
    {
        return this->invalid;
    }

  private:
    void apply_item(const item& change);

    base::revision applied = 0;
    std::map<std::string, item> items;
    std::map<base::revision, std::string> key_by_revision;
    document decoded;
    std::map<std::string, base::error> invalid;
};

} // namespace hawthornrelay::core::config
