/// @file
/// @brief Keeps this node's entry in the store while the node runs.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include <core/base/time.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief A lease, the entry bound to it, and the knowledge whether the store
///        answers this node.
class node_lease
{
  public:
    /// @brief Told when the store begins to refuse or miss calls, and when it
    ///        answers again.
    using reach_handler =
        std::function<void(bool is_reachable, const std::string& reason)>;

    /// @brief Prepares an entry.
    /// @param key the entry's key
    /// @param value its value
    /// @param shortest the shortest lease that the store grants
    node_lease(ports::runtime& runtime,
               ports::metadata_store& store,
               std::string key,
               std::string value,
               std::chrono::milliseconds shortest,
               reach_handler on_reach);

    /// @brief Takes the lease and keeps it.
    void start();

    /// @brief Ends the lease, which removes the entry. It may be started again.
    void stop();

    /// @brief False while calls of the store fail.
    [[nodiscard]] bool is_reachable() const
    {
        return this->reachable;
    }

    /// @brief When the store last answered.
    [[nodiscard]] base::time_point answered_at() const
    {
        return this->last_answer;
    }

  private:
    void take();
    void write();
    void renew();
    void on_success(void (node_lease::*next)(), base::duration delay);
    void on_failure(const base::error& error, void (node_lease::*again)());
    void call_later(base::duration delay, void (node_lease::*call)());

    ports::runtime& runtime;
    ports::metadata_store& store;
    std::string key;
    std::string value;
    std::chrono::milliseconds lease_time;
    reach_handler on_reach;
    ports::lease_id lease = 0;
    base::time_point last_answer{};
    bool reachable = true;
    bool is_running = false;
    std::uint64_t generation = 0; ///< calls of an earlier start are ignored
};

} // namespace hawthornrelay::core::relay
