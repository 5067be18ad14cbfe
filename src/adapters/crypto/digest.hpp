/// @file
/// @brief Digests and random numbers, from OpenSSL.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornrelay::adapters::crypto
{

/// @brief SHA-256 of a text. The configuration stores keys in this form.
/// @param text the text
/// @return 64 lower-case hexadecimal digits
std::string sha256_hex(std::string_view text);

/// @brief HMAC-SHA-256 of a message.
/// @param key the secret
/// @param message the message
/// @return 32 bytes
std::vector<std::uint8_t> hmac_sha256(std::string_view key,
                                      std::string_view message);

/// @brief Cryptographically secure random bytes.
/// @param count the number of bytes
/// @return the bytes
/// @throws std::runtime_error if the system has none
std::vector<std::uint8_t> random_bytes(std::size_t count);

/// @brief A cryptographically secure random number of 64 bits.
/// @return the number
/// @throws std::runtime_error as random_bytes()
std::uint64_t random_number();

/// @brief Compares two values in a time that does not depend on their contents,
///        so that the time reveals nothing about a secret.
/// @param a one value
/// @param b the other value
/// @return true when equal
bool equal_in_constant_time(const std::vector<std::uint8_t>& a,
                            const std::vector<std::uint8_t>& b);

} // namespace hawthornrelay::adapters::crypto
