/// @file
/// @brief Stable hashes used for placement and fingerprints.
#pragma once

#include <cstdint>
#include <string_view>

#include <core/base/ids.hpp>

namespace hawthornrelay::core::base
{

/// @brief Hashes @p text to 64 bits, with the same result on every node and in
///        every release.
/// @param text the bytes to hash
/// @param seed makes independent uses differ
/// @return the hash
std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0);

/// @brief Fingerprint of a request; equal when the request is sent again.
/// @param service the service that receives the request
/// @param body the request's body
/// @return the fingerprint
fingerprint fingerprint_of(std::string_view service, std::string_view body);

} // namespace hawthornrelay::core::base
