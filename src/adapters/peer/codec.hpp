/// @file
/// @brief FlatBuffers encoding of the messages between nodes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/messages.hpp>

namespace hawthornrelay::adapters::peer
{

/// @brief Handshake message, sent by both sides. The first one has no proof;
///        the second answers the nonce received.
struct hello
{
    core::base::node_id node;
    core::base::incarnation incarnation = 0;
    std::vector<std::uint8_t> nonce; ///< challenge to the other side
    std::vector<std::uint8_t> proof; ///< HMAC over the nonce received
};

/// @brief The content of one frame.
using frame = std::variant<hello, core::messages::peer_message>;

/// @brief Encodes a message.
/// @param message the message
/// @return the frame, without its length prefix
std::string encode(const core::messages::peer_message& message);

/// @brief Encodes a handshake message.
/// @param message the message
/// @return the frame, without its length prefix
std::string encode(const hello& message);

/// @brief Verifies and decodes a frame.
/// @param bytes the frame, without its length prefix
/// @return the content, or frame_malformed
core::base::result<frame> decode(std::string_view bytes);

} // namespace hawthornrelay::adapters::peer
