/// @file
/// @brief Idempotency keys, with which a request runs at most once.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>

namespace hawthornrelay::core::idempotency
{

/// @brief An idempotency key, issued by the node that records the outcome of
///        its request.
///
/// Records do not outlive the node's incarnation; any other incarnation or
/// node answers that the outcome is unknown. The keyed hash prevents callers
/// from forging keys.
struct request_key
{
    base::node_id node;
    base::incarnation incarnation = 0;
    std::uint64_t number = 0;
    base::time_point expires; ///< on the clock of that incarnation
    std::uint64_t keyed_hash = 0;
};

/// @brief Formats a key for callers.
/// @param key the key
/// @return printable text without spaces
std::string format(const request_key& key);

/// @brief Parses a key.
/// @param text the text from format()
/// @return the key, or key_malformed
base::result<request_key> parse_request_key(std::string_view text);

} // namespace hawthornrelay::core::idempotency
