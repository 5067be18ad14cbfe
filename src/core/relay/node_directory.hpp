/// @file
/// @brief Which relay nodes run, and which of them callers should use.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief What a node tells others about itself.
struct node_record
{
    std::string name;
    std::uint64_t run = 0; ///< a later run of the node has a greater number
    std::string zone;
    std::string callers; ///< `ip:port` for callers
    std::string peers;   ///< `ip:port` for other nodes, over UDP and TCP
    bool is_stopping = false;
    bool is_ready = false;      ///< it has a configuration
    bool reads_store = false;   ///< it follows the store itself
    base::duration store_age{}; ///< since it knew the store's state
};

/// @brief Merges the store's list of nodes with what nodes tell each other.
class node_directory
{
  public:
    /// @brief Sets this node's own record.
    explicit node_directory(node_record self);

    /// @brief Takes a node's entry in the store.
    void on_listed(const node_record& record, base::time_point now);

    /// @brief Takes the removal of a node's entry. A node that is still heard
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

    /// @brief Nodes that have fallen silent since the last call.
    std::vector<std::string> take_silent(base::time_point now);

    /// @brief Nodes that are heard, this one not included.
    [[nodiscard]] std::vector<node_record> heard(base::time_point now) const;

    /// @brief Nodes that callers may use, this one included if it may be.
    [[nodiscard]] std::vector<node_record> usable(base::time_point now) const;

    /// @brief Other nodes, for sending to them.
    [[nodiscard]] std::vector<node_record> others() const;

    /// @brief The most nodes known at once in the last while; bounds that all
    ///        nodes share are divided by it.
    unsigned count(base::time_point now);

  private:
    struct entry
    {
        node_record record;
        bool is_listed = false;
        base::time_point listed_at{};
        base::time_point heard_at{};
        bool was_heard = false;
        bool is_silent = false;
        base::time_point ended_at{}; ///< when it was last known to run
    };

    [[nodiscard]] bool is_heard(const entry& item, base::time_point now) const;

    node_record own;
    std::map<std::string, entry> entries;
};

} // namespace hawthornrelay::core::relay
