/// @file
/// @brief The relay nodes that are running and those that callers should use.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/node_record.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Combines the entries registered in the store with received beacons.
///
/// Entries exchange beacons with each other. A standby exchanges them with the
/// entries of its own zone only and gets those of other zones from the store.
class node_directory
{
  public:
    /// @brief Creates a directory with this node's own record only.
    explicit node_directory(node_record self);

    /// @brief Applies a node's registration in the store; only entries have
    ///        one.
    void on_registered(const node_record& record, base::time_point now);

    /// @brief Applies the removal of a node's registration. The node stays
    ///        usable while its beacons arrive: its lease may have lapsed in an
    ///        outage.
    /// @param name the node
    void on_unregistered(const std::string& name, base::time_point now);

    /// @brief Applies a node's beacon.
    /// @return true if the node was silent or unknown before
    bool on_beacon(const node_record& record, base::time_point now);

    /// @brief This node's own record, to be modified.
    node_record& mutable_self()
    {
        return this->own;
    }

    /// @brief This node's own record.
    [[nodiscard]] const node_record& self() const
    {
        return this->own;
    }

    /// @brief True if the store has listed an earlier incarnation of this node.
    [[nodiscard]] bool has_earlier_incarnation() const
    {
        return this->saw_earlier_incarnation;
    }

    /// @brief Names of the entries that became silent since the last call.
    std::vector<std::string> take_newly_silent(base::time_point now);

    /// @brief The age of a node's copy of the store, from its last beacon;
    ///        duration::max() without a beacon.
    [[nodiscard]] base::duration store_age_of(const std::string& name,
                                              base::time_point now) const;

    /// @brief Other nodes with recent beacons.
    [[nodiscard]] std::vector<node_record>
    recent_nodes(base::time_point now) const;

    /// @brief Entries that callers may use, including this node if it is one.
    ///        Without any entry: all ready nodes with recent beacons.
    [[nodiscard]] std::vector<node_record> usable(base::time_point now) const;

    /// @brief Other entries that are presumed to be running.
    [[nodiscard]] std::vector<node_record>
    running_entries(base::time_point now) const;

    /// @brief Other zones whose entries have all become silent: lost or cut
    ///        off.
    [[nodiscard]] std::set<std::string>
    silent_zones(base::time_point now) const;

    /// @brief Finds a ready node from which a starting node in the same zone
    ///        can read.
    /// @param starting_node the starting node
    /// @param now the current time
    /// @return its `ip:port` for other nodes; empty if there is none or if this
    ///         node is in that zone itself
    [[nodiscard]] std::string referral_for(const node_record& starting_node,
                                           base::time_point now) const;

    /// @brief Registered entries whose beacons have stopped. Entries report
    ///        them to standbys, which do not get beacons from all entries.
    [[nodiscard]] std::vector<std::string>
    silent_entries(base::time_point now) const;

    /// @brief Recipients of this node's beacons: for an entry all other
    ///        entries, for a standby the entries of its own zone.
    [[nodiscard]] std::vector<node_record> beacon_recipients() const;

    /// @brief A node's `ip:port` for other nodes; empty if it is unknown.
    [[nodiscard]] std::string peers_address(const std::string& name) const;

    /// @brief Number of current and recently ended entries, by which the bounds
    ///        shared by all nodes are divided.
    /// @return at least 1
    unsigned entry_count(base::time_point now);

    /// @brief This node's rank among the entries that entry_count() counts. The
    ///        order depends on the key and is the same at all nodes.
    /// @param key what is ranked for
    /// @param now the current time
    /// @return 0 for the first
    [[nodiscard]] std::size_t rank_among_entries(const std::string& key,
                                                 base::time_point now) const;

  private:
    struct node_state
    {
        node_record record;
        bool is_listed = false;
        base::time_point listed_at{};
        base::time_point last_received{};
        bool was_received = false;
        bool is_silent = false;
        base::time_point reported_silent_at{}; ///< last report by an entry
        base::time_point last_entry_at{};      ///< last known time as an entry
    };

    [[nodiscard]] bool is_receiving_from(const node_state& item,
                                         base::time_point now) const;
    [[nodiscard]] bool is_beacon_peer(const node_state& item) const;
    [[nodiscard]] bool may_serve(const node_state& item,
                                 base::time_point now) const;
    void update_last_entry(node_state& item, base::time_point now);
    /// Tells whether a node divides the shared bounds.
    [[nodiscard]] static bool is_counted(const node_state& item,
                                         base::time_point now);

    node_record own;
    bool saw_earlier_incarnation = false;
    std::map<std::string, node_state> nodes;
};

} // namespace hawthornrelay::core::relay
