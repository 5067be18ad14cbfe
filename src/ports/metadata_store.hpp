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
    /// A removal that may be undone: the store was away shortly before.
    bool may_have_lapsed = false;
};

/// @brief Part of a listing, or what a watch saw.
struct store_page
{
    std::vector<store_item> items;
    bool has_more = false;
    std::uint64_t revision = 0; ///< of the store when it answered
};

/// @brief Receives the outcome of one call.
template <typename T>
using store_handler = std::function<void(core::base::result<T>)>;

/// @brief Reads keys, from the store itself or from a node that mirrors it.
///
/// Errors: platform_unreachable (the read failed), platform_bad_answer,
/// history_gone (a watch must begin with a listing again).
class metadata_reader
{
  public:
    metadata_reader() = default;
    metadata_reader(const metadata_reader&) = delete;
    metadata_reader& operator=(const metadata_reader&) = delete;
    virtual ~metadata_reader() = default;

    /// @brief Lists all keys, a page at a time.
    /// @param after the last key of the page before, or empty
    /// @param done receives the page, once
    virtual void list(const std::string& after,
                      store_handler<store_page> done) = 0;

    /// @brief Waits for changes of any key.
    /// @param after the revision to continue from
    /// @param wait the longest time to wait for a change
    /// @param done receives the changes, once; none when the time is over
    virtual void watch(std::uint64_t after,
                       std::chrono::milliseconds wait,
                       store_handler<store_page> done) = 0;
};

/// @brief The store itself.
///
/// Further errors: platform_answer_lost (a write may have been done),
/// no_such_item (the lease has ended).
class metadata_store : public metadata_reader
{
  public:
    /// @brief Writes a key, whatever its revision, bound to a lease.
    virtual void put(const std::string& key,
                     const std::string& value,
                     lease_id lease,
                     store_handler<std::uint64_t> done) = 0;

    /// @brief Creates a lease.
    virtual void create_lease(std::chrono::milliseconds time_to_live,
                              store_handler<lease_id> done) = 0;

    /// @brief Renews a lease.
    virtual void renew_lease(lease_id lease, store_handler<bool> done) = 0;

    /// @brief Ends a lease and removes its keys.
    virtual void end_lease(lease_id lease, store_handler<bool> done) = 0;
};

} // namespace hawthornrelay::ports
