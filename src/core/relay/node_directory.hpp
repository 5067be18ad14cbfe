/// @file
/// @brief Which relay nodes run, and which of them callers should use.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/node_record.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Merges the store's list of entries with what nodes tell each other.
///
/// Entries hear each other. A standby hears the entries of its own zone, whom
/// it asks, and knows those of other zones from the list alone.
class node_directory
{
  public:
    /// @brief Sets this node's own record.
    explicit node_directory(node_record self);

    /// @brief Takes a node's key in the store, which entries keep.
    void on_listed(const node_record& record, base::time_point now);

    /// @brief Takes the removal of a node's key. A node that is still heard
    ///        stays usable: its lease may have lapsed in an outage.
    /// @param name the node
    void on_unlisted(const std::string& name, base::time_point now);

    /// @brief Takes a message of a node about itself.
    /// @return true if the node had been silent
    bool on_heard(const node_record& record, base::time_point now);

    /// @brief Changes this node's own record.
    node_record& self_to_change()
    {
        return this->own;
    }

    /// @brief This node's own record.
    [[nodiscard]] const node_record& self() const
    {
        return this->own;
    }

    /// @brief True once the store listed an earlier run of this node.
    [[nodiscard]] bool has_earlier_run() const
    {
        return this->earlier_run;
    }

    /// @brief Entries that have fallen silent since the last call.
    std::vector<std::string> take_silent(base::time_point now);

    /// @brief How long ago a node knew the store's state, as it said itself;
    ///        the longest time for a node that was never heard.
    [[nodiscard]] base::duration store_age_of(const std::string& name,
                                              base::time_point now) const;

    /// @brief Nodes that are heard, this one not included.
    [[nodiscard]] std::vector<node_record> heard(base::time_point now) const;

    /// @brief Entries that callers may use, this node included if it is one.
    ///        Without any entry: all nodes that are heard.
    [[nodiscard]] std::vector<node_record> usable(base::time_point now) const;

    /// @brief Other entries that run as far as this node can tell.
    [[nodiscard]] std::vector<node_record>
    running_entries(base::time_point now) const;

    /// @brief Zones of which no entry is heard any more: lost, or cut off.
    [[nodiscard]] std::set<std::string>
    silent_zones(base::time_point now) const;

    /// @brief A ready node in the zone of one that starts, for it to read from.
    /// @param asking the node that starts
    /// @param now the current time
    /// @return its `ip:port` for other nodes; empty if there is none, or if
    ///         this node is in that zone itself
    [[nodiscard]] std::string referral_for(const node_record& asking,
                                           base::time_point now) const;

    /// @brief Entries that are listed and were heard, but not lately; what an
    ///        entry tells standbys, which do not hear all entries.
    [[nodiscard]] std::vector<std::string>
    silent_entries(base::time_point now) const;

    /// @brief Nodes to tell about this one: for an entry all other entries,
    ///        for a standby the entries of its own zone.
    [[nodiscard]] std::vector<node_record> to_tell() const;

    /// @brief The most entries known at once in the last while; bounds that
    ///        all nodes share are divided by it.
    /// @return at least 1
    unsigned entry_count(base::time_point now);

  private:
    struct entry
    {
        node_record record;
        bool is_listed = false;
        base::time_point listed_at{};
        base::time_point heard_at{};
        bool was_heard = false;
        bool is_silent = false;
        base::time_point reported_silent_at{}; ///< by an entry
        base::time_point ended_at{}; ///< when it was last known as an entry
    };

    [[nodiscard]] bool is_heard(const entry& item, base::time_point now) const;
    [[nodiscard]] bool is_in_touch(const entry& item) const;
    [[nodiscard]] bool may_serve(const entry& item, base::time_point now) const;
    void note_entry(entry& item, base::time_point now);

    node_record own;
    bool earlier_run = false;
    std::map<std::string, entry> entries;
};

} // namespace hawthornrelay::core::relay
