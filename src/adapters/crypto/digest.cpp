#include <adapters/crypto/digest.hpp>

#include <array>
#include <cstring>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace hawthornrelay::adapters::crypto
{

std::string sha256_hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const auto byte : digest)
    {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 15U]);
    }
    return hex;
}

std::vector<std::uint8_t> hmac_sha256(std::string_view key,
                                      std::string_view message)
{
    std::vector<std::uint8_t> result(EVP_MAX_MD_SIZE);
    unsigned length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(message.data()),
         message.size(),
         result.data(),
         &length);
    result.resize(length);
    return result;
}

std::vector<std::uint8_t> random_bytes(std::size_t count)
{
    std::vector<std::uint8_t> bytes(count);
    if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1)
    {
        throw std::runtime_error("the system has no random bytes");
    }
    return bytes;
}

std::uint64_t random_number()
{
    std::uint64_t number = 0;
    const auto bytes = random_bytes(sizeof(number));
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

bool equal_in_constant_time(const std::vector<std::uint8_t>& a,
                            const std::vector<std::uint8_t>& b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace hawthornrelay::adapters::crypto
