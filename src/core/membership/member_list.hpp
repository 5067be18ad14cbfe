/// @file
/// @brief The versioned list of members.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/config/store.hpp>
#include <core/membership/member.hpp>

namespace hawthornrelay::core::membership
{

/// @brief The member list as of one epoch. The epoch is the revision of the
///        newest write to any member's record.
class member_list
{
  public:
    /// @brief A record and the revision of its last write.
    struct row
    {
        member record;
        base::revision modified = 0;
    };

    /// @brief Applies the member records of a delta.
    /// @param change an applied configuration delta
    /// @return true when the list changed
    bool apply(const config::delta& change);

    /// @brief The revision of the newest change.
    /// @return the epoch, 0 for an empty list
    [[nodiscard]] base::revision epoch() const
    {
        return this->newest;
    }

    /// @brief Looks a node up.
    /// @param id the node
    /// @return its row, or nullptr
    [[nodiscard]] const row* find(const base::node_id& id) const;

    /// @brief Every row, removed nodes included.
    /// @return the rows by node
    [[nodiscard]] const std::map<base::node_id, row>& rows() const
    {
        return this->by_id;
    }

    /// @brief The active members.
    /// @return their records, ordered by name
    [[nodiscard]] std::vector<member> active() const;

  private:
    std::map<base::node_id, row> by_id;
    base::revision newest = 0;
};

} // namespace hawthornrelay::core::membership
