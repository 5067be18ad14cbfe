/// @file
/// @brief The state that a relay node publishes to other nodes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/crash_tracker.hpp>
#include <core/relay/rollout.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The state of a node from its registration or its last beacon.
struct node_record
{
    std::string name;
    std::uint64_t incarnation = 0; ///< increases with each start
    std::string zone;
    std::string caller_address; ///< `ip:port` for callers
    std::string peers;          ///< `ip:port` for other nodes, over UDP and TCP
    unsigned millicores = 1000; ///< processor capacity of its VM
    bool is_entry = false;      ///< callers are directed to it
    bool is_stopping = false;
    bool is_ready = false;    ///< it has a configuration
    bool is_cut_off = false;  ///< most replicas of other zones do not answer it
    bool reads_store = false; ///< it reads the store directly
    bool wants_reply = false; ///< the receiver should reply with its own record
    std::string referral;     ///< in a reply: `ip:port` of a node in its zone
    /// In a reply: registered entries whose beacons the node does not receive.
    std::vector<std::string> silent_entries;
    /// Crashes detected by this node or reported to it.
    std::vector<crash_report> crashes;
    rollout_message rollouts; ///< roll-outs in progress, as this node sees them
    base::duration store_age{}; ///< age of its copy of the store
};

} // namespace hawthornrelay::core::relay
