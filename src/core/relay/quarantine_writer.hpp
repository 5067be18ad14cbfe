/// @file
/// @brief Stores which requests are refused because they crash replicas.
#pragma once

#include <deque>
#include <string>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Writes one key for each refused request or part, bound to a lease
///        that ends when the crashes no longer count. Nodes that start read
///        them, also after a restart of all nodes.
class quarantine_writer
{
  public:
    /// @brief Creates a writer without keys; the references must outlive it.
    /// @param prefix of the keys
    quarantine_writer(ports::runtime& runtime,
                      ports::metadata_store& store,
                      ports::event_log& log,
                      std::string prefix);

    /// @brief Stores a refusal; repeats the calls while the store is away.
    /// @param refused fingerprint of the request or part
    void write(base::fingerprint refused);

  private:
    struct pending_key
    {
        base::fingerprint refused = 0;
        base::time_point give_up_at{};
    };

    void write_next();
    void put(ports::lease_id lease);
    void on_failure(const base::error& error);
    void finish(const std::string& outcome);

    ports::runtime& runtime;
    ports::metadata_store& store;
    ports::event_log& log;
    std::string prefix;
    std::deque<pending_key> pending; ///< the first is being written
};

/// @brief The last part of a refusal's key.
std::string quarantine_key(base::fingerprint refused);

/// @brief Reads the last part of a refusal's key.
/// @return the fingerprint, or invalid_value
base::result<base::fingerprint> read_quarantine_key(const std::string& text);

} // namespace hawthornrelay::core::relay
