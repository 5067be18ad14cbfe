/// @file
/// @brief Compression of pages between nodes.
#pragma once

#include <string>

#include <core/base/result.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Compresses text with zlib.
/// @param plain the text
/// @return the length of the text, then the compressed bytes
std::string compress(const std::string& plain);

/// @brief Decompresses the output of compress().
/// @param compressed bytes received from another node
/// @return the text, frame_malformed, or frame_too_large if the length prefix
///         exceeds the limit
core::base::result<std::string> decompress(const std::string& compressed);

} // namespace hawthornrelay::adapters::relay
