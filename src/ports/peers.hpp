/// @file
/// @brief Interface for messages to other nodes.
#pragma once

#include <string>

#include <core/base/ids.hpp>
#include <core/messages.hpp>

namespace hawthornrelay::ports
{

/// @brief Sends messages to other nodes. Messages may be lost when their
///        link breaks; on one link they arrive in order and at most once.
class peers
{
  public:
    peers() = default;
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;
    virtual ~peers() = default;

    /// @brief Sends a message; opens the link if needed.
    /// @param to the receiving node
    /// @param address `host:port` of the receiving node
    /// @param message the message
    virtual void send(const core::base::node_id& to,
                      const std::string& address,
                      const core::messages::peer_message& message) = 0;
};

} // namespace hawthornrelay::ports
