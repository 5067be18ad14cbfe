/// @file
/// @brief The platform's key-value store as the core sees it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <core/base/result.hpp>

namespace hawthornrelay::ports
{

/// @brief Names a lease; 0 is none.
using lease_id = std::uint64_t;

/// @brief One key of the store, or its removal.
struct store_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;
};

/// @brief Part of a listing, or what a watch saw.
struct store_page
{
    std::vector<store_item> items;
    bool has_more = false;
    std::uint64_t revision = 0; ///< of the store when it answered
};

/// @brief Calls of the store. Each handler is called once.
///
/// Errors: platform_unreachable (nothing was done, or a read failed),
/// platform_answer_lost (a write may have been done), platform_bad_answer,
/// history_gone (a watch must begin with a listing again), no_such_item (the
/// lease has ended).
class metadata_store
{
  public:
    template <typename T>
    using handler = std::function<void(core::base::result<T>)>;

    metadata_store() = default;
    metadata_store(const metadata_store&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    virtual ~metadata_store() = default;

    /// @brief Lists keys by prefix.
    /// @param prefix the keys' beginning
    /// @param after the last key of the page before, or empty
    virtual void list(const std::string& prefix,
                      const std::string& after,
                      handler<store_page> done) = 0;

    /// @brief Waits for changes.
    /// @param prefix the keys' beginning
    /// @param after the revision to continue from
    /// @param wait the longest time to wait for a change
    virtual void watch(const std::string& prefix,
                       std::uint64_t after,
                       std::chrono::milliseconds wait,
                       handler<store_page> done) = 0;

    /// @brief Writes a key, whatever its revision, bound to a lease.
    virtual void put(const std::string& key,
                     const std::string& value,
                     lease_id lease,
                     handler<std::uint64_t> done) = 0;

    /// @brief Creates a lease.
    virtual void create_lease(std::chrono::milliseconds time_to_live,
                              handler<lease_id> done) = 0;

    /// @brief Renews a lease.
    virtual void renew_lease(lease_id lease, handler<bool> done) = 0;

    /// @brief Ends a lease and removes its keys.
    virtual void end_lease(lease_id lease, handler<bool> done) = 0;
};

} // namespace hawthornrelay::ports
