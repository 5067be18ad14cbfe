#include <core/relay/organisation.hpp>

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace hawthornrelay::core::relay
{

using base::fail;
using base::result;
using base::result_code;

namespace
{

constexpr std::string_view scheme = "bearer";

/// Keys are located by this many leading bytes of their digests, and compared
/// in constant time. A caller that varies its key does not control the digest,
/// so the time of the search reveals nothing of use about stored keys.
constexpr std::size_t located_bytes = 8;

bool precedes(const key_digest& left, const key_digest& right)
{
    return std::lexicographical_compare(left.begin(),
                                        left.begin() + located_bytes,
                                        right.begin(),
                                        right.begin() + located_bytes);
}

/// Returns the key in `Bearer KEY`, empty if the value has another form. A key
/// has no spaces, so the values of several fields are never taken for one.
std::string_view key_in(std::string_view credentials)
{
    const bool has_scheme =
        credentials.size() > scheme.size() &&
        std::equal(scheme.begin(),
                   scheme.end(),
                   credentials.begin(),
                   [](unsigned char expected, unsigned char actual)
                   {
                       return expected == std::tolower(actual);
                   }) &&
        credentials[scheme.size()] == ' ';
    if (!has_scheme)
    {
        return {};
    }
    credentials.remove_prefix(scheme.size());
    credentials.remove_prefix(
        std::min(credentials.find_first_not_of(' '), credentials.size()));
    return credentials.find_first_of(" \t") == std::string_view::npos
               ? credentials
               : std::string_view();
}

} // namespace

key_digest digest_of_key(std::string_view key)
{
    static_assert(std::tuple_size_v<key_digest> == SHA256_DIGEST_LENGTH);
    key_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()),
           key.size(),
           digest.data());
    return digest;
}

result<organisation_directory>
organisation_directory::create(std::vector<organisation_keys> entries)
{
    organisation_directory directory;
    std::set<std::string_view> names;
    for (auto& entry : entries)
    {
        if (!names.insert(entry.owner.name).second)
        {
            return fail(result_code::invalid_value,
                        "two organisations are named " + entry.owner.name);
        }
        // An organisation may list a key twice.
        std::sort(entry.keys.begin(), entry.keys.end());
        entry.keys.erase(std::unique(entry.keys.begin(), entry.keys.end()),
                         entry.keys.end());
        for (const auto& digest : entry.keys)
        {
            directory.keys.push_back({digest, directory.organisations.size()});
        }
        directory.organisations.push_back(entry.owner);
    }
    auto& keys = directory.keys;
    std::sort(keys.begin(),
              keys.end(),
              [](const indexed_key& left, const indexed_key& right)
              {
                  return left.digest < right.digest;
              });
    const auto repeated =
        std::adjacent_find(keys.begin(),
                           keys.end(),
                           [](const indexed_key& left, const indexed_key& right)
                           {
                               return left.digest == right.digest;
                           });
    if (repeated != keys.end())
    {
        return fail(result_code::invalid_value,
                    directory.organisations[repeated->owner].name + " and " +
                        directory.organisations[(repeated + 1)->owner].name +
                        " have the same key");
    }
    return directory;
}

const organisation*
organisation_directory::find(std::string_view credentials) const
{
    const auto key = key_in(credentials);
    if (key.empty())
    {
        return nullptr;
    }
    const auto digest = digest_of_key(key);
    auto candidate =
        std::lower_bound(this->keys.begin(),
                         this->keys.end(),
                         digest,
                         [](const indexed_key& left, const key_digest& right)
                         {
                             return precedes(left.digest, right);
                         });
    const organisation* found = nullptr;
    for (;
         candidate != this->keys.end() && !precedes(digest, candidate->digest);
         ++candidate)
    {
        if (CRYPTO_memcmp(
                candidate->digest.data(), digest.data(), digest.size()) == 0)
        {
            found = &this->organisations[candidate->owner];
        }
    }
    return found;
}

} // namespace hawthornrelay::core::relay
