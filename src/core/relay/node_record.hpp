/// @file
/// @brief What a relay node tells others about itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/crash_watch.hpp>

namespace hawthornrelay::core::relay
{

/// @brief One node, as its entry in the store or its last message describes it.
struct node_record
{
    std::string name;
    std::uint64_t run = 0; ///< a later run of the node has a greater number
    std::string zone;
    std::string callers;        ///< `ip:port` for callers
    std::string peers;          ///< `ip:port` for other nodes, over UDP and TCP
    unsigned millicores = 1000; ///< processor time of its VM
    bool is_entry = false;      ///< callers are sent to it
    bool is_stopping = false;
    bool is_ready = false;    ///< it has a configuration
    bool is_cut_off = false;  ///< most replicas of other zones do not answer
    bool reads_store = false; ///< it follows the store itself
    bool wants_reply = false; ///< it asks the receiver for its own record
    std::string referral;     ///< in a reply: `ip:port` of a nearer node
    /// In a reply: entries that are listed but that the node does not hear.
    std::vector<std::string> silent_entries;
    /// Crashes that requests met at this node and, as far as it knows, others.
    std::vector<crash_report> crashes;
    base::duration store_age{}; ///< since it knew the store's state
};

} // namespace hawthornrelay::core::relay
