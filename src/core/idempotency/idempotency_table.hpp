/// @file
/// @brief Outcomes of requests with idempotency keys.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/idempotency/request_key.hpp>

namespace hawthornrelay::core::idempotency
{

/// @brief Parameters of keyed requests.
struct idempotency_limits
{
    /// How long a key is valid after it was issued.
    base::duration key_lifetime = std::chrono::minutes(10);
    /// How long outcomes are kept after their key has expired.
    base::duration grace = std::chrono::minutes(1);
    /// Maximum number of records; further requests are refused.
    std::size_t capacity = 100'000;
};

/// @brief The outcome of a keyed request.
struct keyed_outcome
{
    base::result_code code = base::result_code::ok;
    std::string body;
};

/// @brief Records of the requests whose keys this incarnation of the node has
///        issued.
///
/// A request starts only if its key has no record, and its record is written
/// before it starts. The record is removed when the outcome proves that the
/// request was not run, so that the key can be used again. When a record is no
/// longer kept, the outcome is unknown.
class idempotency_table
{
  public:
    /// @brief Receives the outcome, exactly once.
    using handler = std::function<void(const keyed_outcome&)>;

    /// @brief Starts a request; the argument receives its outcome.
    using starter = std::function<void(handler)>;

    /// @brief Creates an empty table.
    /// @param limits the parameters
    /// @param self this node's name
    /// @param incarnation this node's incarnation
    /// @param secret seed of the keys' hashes; only this node needs it
    idempotency_table(idempotency_limits limits,
                      base::node_id self,
                      base::incarnation incarnation,
                      std::uint64_t secret);

    /// @brief Issues a key.
    /// @param now the current time
    /// @return the key
    request_key issue(base::time_point now);

    /// @brief Starts a request, waits for one that is running, or repeats the
    ///        outcome of a finished one.
    /// @param key the caller's key, from any node or incarnation
    /// @param request the request's fingerprint; a key is valid for one request
    /// @param now the current time
    /// @param start starts the request; called again for the same key only
    ///        after an outcome that proves that the request was not run
    /// @param done receives the outcome; its codes besides the request's own
    ///        are outcome_unknown, key_expired, key_malformed, key_reused and
    ///        overloaded
    void run_once(const request_key& key,
                  base::fingerprint request,
                  base::time_point now,
                  const starter& start,
                  handler done);

    /// @brief Removes records whose key expired a grace period ago.
    /// @param now the current time
    void expire(base::time_point now);

    /// @brief Requests that have started and not finished.
    /// @return their number
    [[nodiscard]] std::size_t running() const
    {
        return this->running_count;
    }

  private:
    struct record
    {
        base::fingerprint request = 0;
        base::time_point expires;
        bool is_running = true;
        keyed_outcome outcome;
        std::vector<handler> waiting_handlers;
    };

    [[nodiscard]] std::uint64_t keyed_hash_of(const request_key& key) const;
    void finish(std::uint64_t number, const keyed_outcome& outcome);

    idempotency_limits limits;
    base::node_id self;
    base::incarnation incarnation;
    std::uint64_t secret;
    std::uint64_t next_number = 1;
    std::size_t running_count = 0;
    std::map<std::uint64_t, record> records;
};

} // namespace hawthornrelay::core::idempotency
