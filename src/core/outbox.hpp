/// @file
/// @brief Sending of messages from the components of a node.
#pragma once

#include <core/base/ids.hpp>
#include <core/messages.hpp>

namespace hawthornrelay::core
{

/// @brief Sends messages to any node, including the sender. A message to the
///        sender itself is delivered asynchronously, never during the call.
class outbox
{
  public:
    outbox() = default;
    outbox(const outbox&) = delete;
    outbox& operator=(const outbox&) = delete;
    virtual ~outbox() = default;

    /// @brief Sends a message without a guarantee of delivery.
    /// @param to the receiver
    /// @param message the message
    virtual void send(const base::node_id& to,
                      messages::peer_message message) = 0;
};

} // namespace hawthornrelay::core
