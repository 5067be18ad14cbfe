#include <core/base/hash.hpp>

#include <xxhash.h>

namespace hawthornrelay::core::base
{

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

fingerprint fingerprint_of(std::string_view service, std::string_view body)
{
    return hash_of(body, hash_of(service));
}

} // namespace hawthornrelay::core::base
