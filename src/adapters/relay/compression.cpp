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

/// Bytes of the length, least significant first.
constexpr std::size_t length_bytes = 4;

/// Longest text; a listing of 100,000 replicas is a quarter of it.
constexpr std::uint32_t longest_text = 128U << 20U;

constexpr unsigned byte_bits = 8;
constexpr unsigned byte_mask = 0xff;

Bytef* bytes_of(std::string& text)
{
    return reinterpret_cast<Bytef*>(text.data());
}

const Bytef* bytes_of(const std::string& text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::string compress(const std::string& plain)
{
    std::string result(length_bytes + ::compressBound(plain.size()), '\0');
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        result[i] =
            static_cast<char>(plain.size() >> (i * byte_bits) & byte_mask);
    }
    uLongf size = result.size() - length_bytes;
    const int status = ::compress2(bytes_of(result) + length_bytes,
                                   &size,
                                   bytes_of(plain),
                                   plain.size(),
                                   Z_BEST_SPEED);
    if (status != Z_OK)
    {
        // The buffer has the size that the library asks for.
        throw std::runtime_error("zlib status " + std::to_string(status));
    }
    result.resize(length_bytes + size);
    return result;
}

core::base::result<std::string> decompress(const std::string& compressed)
{
    if (compressed.size() < length_bytes)
    {
        return fail(result_code::frame_malformed, "page without a length");
    }
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        const auto byte = static_cast<unsigned char>(compressed[i]);
        length |= static_cast<std::uint32_t>(byte) << (i * byte_bits);
    }
    if (length > longest_text)
    {
        return fail(result_code::frame_too_large, std::to_string(length));
    }
    std::string plain(length, '\0');
    uLongf size = length;
    const int status = ::uncompress(bytes_of(plain),
                                    &size,
                                    bytes_of(compressed) + length_bytes,
                                    compressed.size() - length_bytes);
    if (status != Z_OK || size != length)
    {
        return fail(result_code::frame_malformed,
                    "zlib status " + std::to_string(status));
    }
    return plain;
}

} // namespace hawthornrelay::adapters::relay
