/// @file
/// @brief Identifiers used by several modules.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace hawthornrelay::core::base
{

/// @brief Name of a node, unique in the fleet and stable across restarts.
using node_id = std::string;

/// @brief Number of one life of a node's process; greater after each restart.
using incarnation = std::uint64_t;

/// @brief Position in the write history of the platform's store.
using revision = std::uint64_t;

/// @brief Version number of the search index; greater is newer.
using index_version = std::uint64_t;

/// @brief Number of one attempt, unique within an incarnation of its entry
///        node.
using attempt_id = std::uint64_t;

/// @brief Hash of a request's service and body, equal when a caller sends the
///        request again.
using fingerprint = std::uint64_t;

/// @brief The first message number of an incarnation, chosen so that a late
///        answer to an earlier incarnation matches no number of this one.
/// @param run the node's incarnation
/// @return the number
constexpr std::uint64_t first_number(incarnation run)
{
    return (run << 32U) + 1;
}

/// @brief Identifies one replica of one service.
struct replica_id
{
    std::string service;
    std::uint32_t index = 0;

    friend auto operator<=>(const replica_id&, const replica_id&) = default;
};

/// @brief Identifies a share, an exclusive right held by one node at a time: to
///        send work to a replica, or to admit queries against one slice of a
///        customer's plan.
using share_id = replica_id;

/// @brief Formats a replica's id for logs.
/// @param id the replica
/// @return `service/index`
inline std::string to_string(const replica_id& id)
{
    return id.service + "/" + std::to_string(id.index);
}

} // namespace hawthornrelay::core::base
