/// @file
/// @brief Member records and their encoding.
#pragma once

#include <string>
#include <string_view>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>

namespace hawthornrelay::core::membership
{

/// @brief The lifecycle state of a node.
enum class member_state
{
    active,  ///< holds shares; its address is given to callers
    leaving, ///< releases its shares; finishes accepted work
    removed  ///< stopped, or fenced after it was silent
};

/// @brief A node's record in the member list.
struct member
{
    base::node_id id;
    base::incarnation incarnation = 0;
    std::string zone;
    std::string vm;
    std::string peer_address;   ///< `ip:port` for other nodes
    std::string caller_address; ///< `ip:port` for callers
    member_state state = member_state::active;
    /// Set with `removed` if the process is known to have ended rather than
    /// only being silent.
    bool has_ended = false;
};

/// @brief The platform key of a member's record.
/// @param id the node
/// @return its key
std::string member_key(const base::node_id& id);

/// @brief The node to which a platform key belongs.
/// @param key any platform key
/// @return the node's name; empty if it is not the key of a member
base::node_id member_of_key(std::string_view key);

/// @brief Encodes a record as the JSON stored in the platform.
/// @param record the record
/// @return its JSON text
std::string encode_member(const member& record);

/// @brief Decodes a record.
/// @param id the node named by the key
/// @param value the JSON text
/// @return the record, or invalid_value
base::result<member> decode_member(const base::node_id& id,
                                   std::string_view value);

} // namespace hawthornrelay::core::membership
