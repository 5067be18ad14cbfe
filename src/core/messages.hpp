/// @file
/// @brief Messages between nodes; the peer adapter encodes them.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/config/store.hpp>

namespace hawthornrelay::core::messages
{

/// @brief State that a node reports about itself; peers pass it on by gossip.
struct attestation
{
    base::node_id node;
    base::incarnation incarnation = 0;
    bool platform_away = false; ///< its calls to the platform fail
    bool stopping = false;      ///< shutting down; callers must move away
    base::revision applied = 0; ///< revision in force
    base::duration age{};       ///< time since the node made the report
};

/// @brief A target crash attributed to a request.
struct crash_record
{
    base::fingerprint request = 0;
    base::replica_id replica;
    std::uint64_t event = 0; ///< unique number of the crash
    base::duration age{};
};

/// @brief Asks a peer for its attestations; sent to random peers on each tick.
struct probe
{
    std::uint64_t id = 0;
    base::revision applied = 0;
};

/// @brief Answers a probe.
struct probe_reply
{
    std::uint64_t id = 0;
    base::revision applied = 0;
    bool verified = false;         ///< whether verified_age is valid
    base::duration verified_age{}; ///< since the configuration was verified
    std::vector<attestation> attestations;
    std::vector<crash_record> crashes;
};

/// @brief Requests every change after a revision.
struct config_pull
{
    base::revision since = 0;
};

/// @brief Carries changes, on request or as soon as they are applied.
struct config_push
{
    config::delta changes;
};

/// @brief Asks the previous holder of a share to release it.
struct share_claim
{
    base::share_id share;
    base::revision epoch = 0;
};

/// @brief Releases a share to the claimant, or names the node that has it.
struct share_grant
{
    base::share_id share;
    base::revision epoch = 0;
    bool granted = false;
    base::node_id moved_to; ///< set if granted is false
};

/// @brief One attempt of a sub-query, for the holder of a replica.
struct work_item
{
    base::attempt_id attempt = 0;
    base::replica_id replica;
    base::index_version version = 0; ///< required version; 0 for the newest
    base::fingerprint request = 0;
    base::duration time_left{}; ///< until the deadline, when sent
    bool urgent = false;
    bool hedge = false; ///< dispatched ahead of queued work
    bool idempotent = true;
    std::string body;
    base::node_id origin; ///< the entry node, if moved by a holder
};

/// @brief Sub-queries for one holder, in one frame.
struct work_batch
{
    std::vector<work_item> items;
};

/// @brief The outcome of one attempt, and the load of its replica.
struct work_result
{
    base::attempt_id attempt = 0;
    std::uint32_t replica_index = 0; ///< the replica that ran it
    base::result_code code = base::result_code::ok;
    base::index_version version = 0; ///< version of the body
    base::index_version oldest = 0;  ///< oldest version the replica serves
    base::index_version newest = 0;  ///< newest version the replica serves
    base::duration wait{};           ///< queueing delay of the next item
    std::uint32_t busy = 0;          ///< attempts in flight and waiting
    std::uint32_t limit = 0;         ///< attempts allowed in flight
    std::string body;
};

/// @brief Outcomes of several attempts, in one frame.
struct result_batch
{
    std::vector<work_result> items;
};

/// @brief Notifies the entry node that an attempt is slower than usual.
struct work_slow
{
    base::attempt_id attempt = 0;
    std::uint32_t replica_index = 0; ///< the replica that is slow
};

/// @brief Notifies the holder that the answer of an attempt is not needed.
struct work_cancel
{
    base::attempt_id attempt = 0;
    base::node_id origin; ///< the entry node, if passed on by a holder
};

/// @brief Notifies a sibling's holder that a replica has work waiting.
struct work_waiting
{
    base::replica_id replica;        ///< the replica with waiting work
    std::uint32_t sibling_index = 0; ///< the sibling that may take work
};

/// @brief Asks a replica's holder to move one waiting item to a sibling.
struct work_wanted
{
    base::replica_id replica;        ///< the replica with waiting work
    std::uint32_t sibling_index = 0; ///< the sibling with a free slot
};

/// @brief Asks the node that holds a slice to admit one query.
struct admit_request
{
    std::uint64_t id = 0;
    std::string customer;
    std::uint32_t slice = 0;
    base::duration time_left{};
};

/// @brief Answers an admission request.
struct admit_reply
{
    std::uint64_t id = 0;
    base::result_code code = base::result_code::ok;
};

/// @brief Releases the concurrency slot of an admitted query.
struct admit_release
{
    std::uint64_t id = 0;
    std::string customer;
};

/// @brief A request that runs at most once, for the node that issued its key.
struct keyed_request
{
    std::uint64_t id = 0;
    std::string key;
    std::string customer;
    std::string service;
    std::string body;
    base::duration time_left{};
};

/// @brief The outcome of a request that runs at most once.
struct keyed_reply
{
    std::uint64_t id = 0;
    base::result_code code = base::result_code::ok;
    std::string body;
};

/// @brief Notifies holders of sibling replicas that a request crashed a target.
struct crash_notice
{
    std::uint64_t id = 0;
    crash_record crash;
};

/// @brief Confirms that a crash notice is in effect.
struct crash_ack
{
    std::uint64_t id = 0;
};

/// @brief Any message between two nodes.
using peer_message = std::variant<probe,
                                  probe_reply,
                                  config_pull,
                                  config_push,
                                  share_claim,
                                  share_grant,
                                  work_batch,
                                  result_batch,
                                  work_slow,
                                  work_cancel,
                                  work_waiting,
                                  work_wanted,
                                  admit_request,
                                  admit_reply,
                                  admit_release,
                                  keyed_request,
                                  keyed_reply,
                                  crash_notice,
                                  crash_ack>;

} // namespace hawthornrelay::core::messages
