/// @file
/// @brief The organisations that may send requests, and their API keys.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/base/result.hpp>

namespace hawthornrelay::core::relay
{

/// @brief An organisation whose requests are served.
struct organisation
{
    std::string name;
    /// 0 is the highest; takes precedence over the priority of the route.
    std::optional<unsigned> priority;
    double rate_per_second = 0; ///< over all nodes; 0: unbounded
    double burst = 0;
};

/// @brief SHA-256 of an API key. Keys are kept in this form only.
using key_digest = std::array<std::uint8_t, 32>;

/// @brief Computes the digest of an API key.
key_digest digest_of_key(std::string_view key);

/// @brief An organisation and the digests of its keys.
struct organisation_keys
{
    organisation owner;
    std::vector<key_digest> keys;
};

/// @brief All organisations of one version of the configuration; immutable.
class organisation_directory
{
  public:
    /// @brief Creates a directory.
    /// @param entries the organisations; one may have no keys
    /// @return the directory, or invalid_value if two organisations have the
    ///         same name or the same key
    static base::result<organisation_directory>
    create(std::vector<organisation_keys> entries);

    /// @brief Finds the organisation that a request's credentials belong to,
    ///        in a time that reveals nothing about other keys.
    /// @param credentials value of the Authorization field; if a request has
    ///        several such fields, their values separated by ", "
    /// @return the organisation, valid as long as the directory, or nullptr if
    ///         the credentials are not the Bearer scheme with a known key
    [[nodiscard]] const organisation* find(std::string_view credentials) const;

    /// @brief Number of organisations.
    [[nodiscard]] std::size_t size() const
    {
        return this->organisations.size();
    }

    /// @brief Number of keys of all organisations.
    [[nodiscard]] std::size_t key_count() const
    {
        return this->keys.size();
    }

  private:
    struct indexed_key
    {
        key_digest digest{};
        std::size_t owner = 0; ///< index in organisations
    };

    std::vector<organisation> organisations;
    std::vector<indexed_key> keys; ///< sorted by digest
};

} // namespace hawthornrelay::core::relay
