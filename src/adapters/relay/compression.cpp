#include <adapters/relay/compression.hpp>

#include <array>
#include <cstdint>
#include <stdexcept>

#include <zlib.h>

namespace hawthornrelay::adapters::relay
{

using core::base::fail;
using core::base::result_code;

namespace
{

/// Size of the length prefix in bytes, least significant byte first.
constexpr std::size_t length_size = 4;

/// Limit in bytes; a listing of 100,000 replicas takes all of it.
constexpr std::uint32_t max_text_size = 32U << 20U;

/// Deflate cannot compress better than this.
constexpr std::size_t max_compression_ratio = 1032;

constexpr unsigned bits_per_byte = 8;
constexpr unsigned byte_mask = 0xff;

Bytef* to_bytes(std::string& text)
{
    return reinterpret_cast<Bytef*>(text.data());
}

const Bytef* to_bytes(const std::string& text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::string compress(const std::string& plain)
{
    std::string result(length_size + ::compressBound(plain.size()), '\0');
    for (std::size_t i = 0; i < length_size; ++i)
    {
        result[i] =
            static_cast<char>(plain.size() >> (i * bits_per_byte) & byte_mask);
    }
    uLongf size = result.size() - length_size;
    const int status = ::compress2(to_bytes(result) + length_size,
                                   &size,
                                   to_bytes(plain),
                                   plain.size(),
                                   Z_BEST_SPEED);
    if (status != Z_OK)
    {
        // Unexpected: the buffer has the size that compressBound() demands.
        throw std::runtime_error("zlib status " + std::to_string(status));
    }
    result.resize(length_size + size);
    return result;
}

core::base::result<std::string> decompress(const std::string& compressed)
{
    if (compressed.size() < length_size)
    {
        return fail(result_code::frame_malformed,
                    "page is shorter than its length prefix");
    }
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < length_size; ++i)
    {
        const auto byte = static_cast<unsigned char>(compressed[i]);
        length |= static_cast<std::uint32_t>(byte) << (i * bits_per_byte);
    }
    if (length > max_text_size)
    {
        return fail(result_code::frame_too_large, std::to_string(length));
    }
    // Checked before the allocation: the length may be wrong.
    const auto compressed_size = compressed.size() - length_size;
    if (length / max_compression_ratio > compressed_size)
    {
        return fail(result_code::frame_malformed,
                    std::to_string(compressed_size) + " bytes cannot hold " +
                        std::to_string(length));
    }
    std::string plain(length, '\0');
    uLongf size = length;
    const int status = ::uncompress(to_bytes(plain),
                                    &size,
                                    to_bytes(compressed) + length_size,
                                    compressed.size() - length_size);
    if (status != Z_OK || size != length)
    {
        return fail(result_code::frame_malformed,
                    "zlib status " + std::to_string(status));
    }
    return plain;
}

} // namespace hawthornrelay::adapters::relay
