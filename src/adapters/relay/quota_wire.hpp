/// @file
/// @brief Encoding of messages about quotas.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <core/relay/quota_message.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Tells whether a datagram is about quotas; others are beacons.
bool is_quota_datagram(const std::uint8_t* data, std::size_t size);

/// @brief Decodes a datagram.
/// @return nullopt if it is malformed
std::optional<core::relay::quota_message>
read_quota_datagram(const std::uint8_t* data, std::size_t size);

/// @brief Encodes a datagram.
std::vector<std::uint8_t>
write_quota_datagram(const core::relay::quota_message& message);

} // namespace hawthornrelay::adapters::relay
