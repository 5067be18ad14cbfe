/// @file
/// @brief Orders to move a service's traffic to another version.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief An operator's order to move a service to a version.
struct rollout_order
{
    std::string service;
    std::string target_version;
    std::chrono::milliseconds duration{0}; ///< until the deadline
    std::uint64_t revision = 0;            ///< of its key; identifies the order
};

/// @brief The stored progress of a roll-out.
enum class rollout_state
{
    running,
    completed,
    rolled_back,
};

/// @brief The stored status of a service's last roll-out.
struct rollout_status
{
    rollout_state state = rollout_state::running;
    std::string target_version;
    std::uint64_t order = 0; ///< revision of the order; 0 if unknown
    /// Versions that carried the traffic before the order; empty if unknown.
    std::set<std::string> base_versions;
    base::duration elapsed{};   ///< since the order, when it was written
    std::uint64_t revision = 0; ///< of its key; 0 if it is not stored
};

/// @brief How much traffic the target version may get at present.
enum class rollout_stage : std::uint8_t
{
    hold,   ///< none
    canary, ///< a part of the share
    shift,  ///< most of it, to compare the versions under this load
    drain,  ///< all of it, until the earlier versions have sent their responses
};

/// @brief The decider's permission to send to the target version. It lapses
///        unless it is repeated.
struct rollout_grant
{
    std::uint64_t service = 0; ///< hash of the name
    std::uint64_t order = 0;
    std::uint64_t term = 0; ///< revision of the decider's key
    rollout_stage stage = rollout_stage::hold;
    base::duration age{};       ///< since the decider issued it
    base::duration order_age{}; ///< since a node first knew the order
    /// Sends to the earlier versions that the sender of the message waits for;
    /// the largest number if it has not reached the stage drain.
    std::uint32_t pending = 0;
};

/// @brief Responses of one replica, or of all replicas of the earlier versions
///        in a zone, on one route, as one node has counted them.
struct rollout_count
{
    std::uint64_t service = 0; ///< hash of the name
    std::uint64_t order = 0;
    std::uint32_t route = 0;   ///< hash of the name
    std::uint32_t zone = 0;    ///< hash of the name
    std::uint32_t replica = 0; ///< hash of the id; 0 for the earlier versions
    std::uint32_t responses = 0;
    std::uint32_t failed = 0;
    std::uint32_t timed = 0; ///< compared with the usual latency
    std::uint32_t slow = 0;  ///< several times the usual latency

    /// @brief Adds the figures of another count of the same kind.
    void add(const rollout_count& other)
    {
        this->responses += other.responses;
        this->failed += other.failed;
        this->timed += other.timed;
        this->slow += other.slow;
    }
};

/// @brief What a node tells the others about roll-outs.
struct rollout_message
{
    std::vector<rollout_grant> grants; ///< one for each open roll-out
    std::vector<rollout_count> counts;
};

} // namespace hawthornrelay::core::relay
