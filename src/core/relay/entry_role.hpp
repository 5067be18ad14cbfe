/// @file
/// @brief Decides whether a node is an entry or a standby.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/node_record.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Decides whether this node is an entry, to which callers are directed.
///
/// In a large fleet only the strongest nodes are entries: with fewer nodes,
/// replica connections are reused more, each node's portion of the shared
/// bounds is larger and it detects slow replicas sooner. The others are
/// standbys: they follow the store, serve any caller that connects and become
/// entries when capacity is short.
class entry_role
{
  public:
    /// @brief Starts as a standby.
    /// @param self this node's record; name, zone and millicores are used
    /// @param zone_count number of availability zones in the fleet; at least 1
    entry_role(const node_record& self, std::size_t zone_count);

    /// @brief Re-evaluates the decision.
    /// @param others the other running entries
    /// @param may_serve true if this node is ready and not stopping
    /// @param now the current time
    /// @return true if this node is an entry
    bool update(const std::vector<node_record>& others,
                bool may_serve,
                base::time_point now);

    /// @brief Skips the join delay because an earlier incarnation of this node
    ///        was an entry and may not have been replaced yet.
    void skip_join_delay();

    /// @brief The result of the last update.
    [[nodiscard]] bool is_entry() const
    {
        return this->is_current_entry;
    }

  private:
    [[nodiscard]] bool is_needed(const std::vector<node_record>& others) const;
    [[nodiscard]] bool is_surplus(const std::vector<node_record>& others) const;
    [[nodiscard]] base::duration join_delay() const;

    std::string name;
    std::string zone;
    unsigned millicores;
    std::size_t zone_count;
    bool is_current_entry = false;
    bool was_entry = false;
    /// Since when a change of the state has been due.
    std::optional<base::time_point> change_due_since;
};

} // namespace hawthornrelay::core::relay
