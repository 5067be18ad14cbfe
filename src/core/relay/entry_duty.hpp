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

/// @brief Whether this node is one of the entries that callers are sent to.
///
/// Connections to replicas, the shared bounds and what is known of slow
/// replicas are worth more in few hands, so a large fleet serves its callers
/// with its strongest nodes. The others stand by: they follow the store, serve
/// whoever calls them, and join when the entries become too few.
class entry_duty
{
  public:
    /// @brief Starts as a standby.
    /// @param self this node's record; its name, zone and strength are read
    /// @param zone_count availability zones of the fleet; at least 1
    entry_duty(const node_record& self, std::size_t zone_count);

    /// @brief Decides again.
    /// @param others the other entries that run
    /// @param may_serve true if this node is ready and not stopping
    /// @param now the current time
    /// @return true if this node is an entry
    bool update(const std::vector<node_record>& others,
                bool may_serve,
                base::time_point now);

    /// @brief Becomes an entry at the next update: an earlier run of this node
    ///        was one, and nobody has replaced it yet.
    void resume();

    /// @brief The outcome of the last update.
    [[nodiscard]] bool is_entry() const
    {
        return this->is_on;
    }

  private:
    [[nodiscard]] bool is_wanted(const std::vector<node_record>& others) const;
    [[nodiscard]] bool is_surplus(const std::vector<node_record>& others) const;
    [[nodiscard]] base::duration join_delay() const;

    std::string name;
    std::string zone;
    unsigned millicores;
    std::size_t zone_count;
    bool is_on = false;
    bool was_entry = false;
    /// Since when the opposite of the present state has been right.
    std::optional<base::time_point> due_since;
};

} // namespace hawthornrelay::core::relay
