/// @file
/// @brief Interface of the platform's key-value store.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <core/base/result.hpp>
#include <core/base/time.hpp>

namespace hawthornrelay::ports
{

/// @brief Identifies a lease; 0 means none.
using lease_id = std::uint64_t;

/// @brief A key with its value, or the removal of a key.
struct store_item
{
    std::string key;   ///< any bytes
    std::string value; ///< any bytes; empty if it could not be decoded
    std::uint64_t revision = 0;
    bool is_removed = false;
    /// For removals: the store was unreachable shortly before, so the key's
    /// lease may have lapsed only for that reason and the key may come back.
    bool may_have_lapsed = false;
    /// The listing of a store that was restored from a copy contradicts what
    /// was known of the key before, which may be newer.
    bool is_restored = false;
    /// The key is bound to no lease; false if that is unknown.
    bool is_unleased = false;
};

/// @brief Rises by one whenever the store is restored from a copy, after which
///        its revisions go back and are given out again; nullopt if unknown.
using store_era = std::optional<std::uint64_t>;

/// @brief True if both eras are known and `left` is the earlier one.
inline bool is_earlier(store_era left, store_era right)
{
    return left && right && *left < *right;
}

/// @brief A state of the store.
struct store_position
{
    std::uint64_t revision = 0;
    store_era era{};
    bool operator==(const store_position&) const = default;
};

/// @brief One page of a listing, or the changes returned by a watch.
struct store_page
{
    std::vector<store_item> items;
    bool has_more = false;
    std::uint64_t revision = 0; ///< the store's revision when it answered
    store_era era{};
    /// Number of items that were left out since their key or revision could not
    /// be read.
    std::size_t unreadable = 0;
    /// Key of the last item, also if it was left out; empty if the last one of
    /// `items` has it.
    std::string last_key{};
    /// Age of the copy that was read, 0 for the store itself; nullopt if
    /// unknown.
    std::optional<core::base::duration> copy_age{};

    /// @brief The key after which the next page of the listing begins; empty if
    ///        the page has none.
    [[nodiscard]] std::string next_after() const
    {
        return this->last_key.empty() && !this->items.empty()
                   ? this->items.back().key
                   : this->last_key;
    }
};

/// @brief A key that must have a revision for a transaction to be applied.
struct store_expectation
{
    std::string key;
    std::uint64_t revision = 0; ///< 0: the key must not exist
};

/// @brief A key that a transaction writes.
struct store_put
{
    std::string key;
    std::string value;
    lease_id lease = 0;
};

/// @brief Writes that are applied together if all expectations hold.
struct store_transaction
{
    std::vector<store_expectation> expected;
    std::vector<store_put> puts;
    std::vector<std::string> removals;
};

/// @brief Receives the outcome of one call.
template <typename T>
using store_handler = std::function<void(core::base::result<T>)>;

/// @brief Reads keys from the store or from a node that mirrors it.
///
/// Errors: platform_unreachable (no connection, or an error status),
/// platform_connection_lost (an open connection failed or carried no answer in
/// time), platform_bad_answer, history_gone (a new listing is needed before the
/// next watch).
class metadata_reader
{
  public:
    metadata_reader() = default;
    metadata_reader(const metadata_reader&) = delete;
    metadata_reader& operator=(const metadata_reader&) = delete;
    virtual ~metadata_reader() = default;

    /// @brief True if another node's copy is read. Its failures say nothing of
    ///        the store, and it marks removals that may be lapses.
    [[nodiscard]] virtual bool is_copy() const
    {
        return false;
    }

    /// @brief Lists all keys, a page at a time.
    /// @param after the last key of the previous page; empty for the first page
    /// @param done receives the page; called once
    virtual void list(const std::string& after,
                      store_handler<store_page> done) = 0;

    /// @brief Waits for changes of any key.
    /// @param after the state to continue from
    /// @param wait how long to wait for a change
    /// @param done receives the changes, none after a timeout; called once. A
    ///        page of another era may lack changes.
    virtual void watch(const store_position& after,
                       std::chrono::milliseconds wait,
                       store_handler<store_page> done) = 0;
};

/// @brief Reads and writes the store itself.
///
/// Further errors: platform_answer_lost (a write may have been applied),
/// no_such_item (the lease has ended), revision_conflict (an expectation of a
/// transaction does not hold; nothing was written).
class metadata_store : public metadata_reader
{
  public:
    /// @brief Writes a key unconditionally and binds it to a lease.
    /// @param done receives the revision of the write
    virtual void put(const std::string& key,
                     const std::string& value,
                     lease_id lease,
                     store_handler<std::uint64_t> done) = 0;

    /// @brief Applies a transaction.
    /// @param done receives the revision of the writes, or revision_conflict
    virtual void transact(const store_transaction& transaction,
                          store_handler<std::uint64_t> done) = 0;

    /// @brief Creates a lease.
    /// @param time_to_live the lease ends after this time without a renewal
    /// @param done receives the lease
    virtual void create_lease(std::chrono::milliseconds time_to_live,
                              store_handler<lease_id> done) = 0;

    /// @brief Renews a lease.
    virtual void renew_lease(lease_id lease, store_handler<bool> done) = 0;

    /// @brief Ends a lease and removes its keys.
    virtual void end_lease(lease_id lease, store_handler<bool> done) = 0;
};

} // namespace hawthornrelay::ports
