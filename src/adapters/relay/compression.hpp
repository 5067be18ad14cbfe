/// @file
/// @brief Compression of pages between nodes.
#pragma once

#include <string>

#include <core/base/result.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Compresses text; its length stands before it.
/// @param plain the text
/// @return what decompress() takes
std::string compress(const std::string& plain);

/// @brief Restores what compress() made.
/// @param compressed bytes of another node
/// @return the text, or frame_malformed, or frame_too_large
core::base::result<std::string> decompress(const std::string& compressed);

} // namespace hawthornrelay::adapters::relay
