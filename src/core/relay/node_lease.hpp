/// @file
/// @brief Keeps this node registered in the store.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include <core/base/time.hpp>
#include <core/relay/part_window.hpp>
#include <core/relay/store_availability.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Holds a lease with this node's registration; its renewals also show
///        whether the store is reachable.
class node_lease
{
  public:
    /// @brief Called when store calls start to fail and when they succeed
    ///        again.
    using reach_handler =
        std::function<void(bool is_reachable, const std::string& reason)>;

    /// @brief Prepares a registration; start() writes it.
    /// @param key the registration's key
    /// @param value its value
    /// @param min_lease the shortest lease that the store grants
    /// @param availability records the answers and failures of the calls
    /// @param window records when the registration was confirmed
    node_lease(ports::runtime& runtime,
               ports::metadata_store& store,
               std::string key,
               std::string value,
               std::chrono::milliseconds min_lease,
               store_availability& availability,
               part_window& window,
               reach_handler on_reach);

    /// @brief Acquires the lease and renews it until stop().
    void start();

    /// @brief Ends the lease, which removes the registration. start() may be
    ///        called again.
    void stop();

    /// @brief False while store calls fail.
    [[nodiscard]] bool is_reachable() const
    {
        return this->reachable;
    }

    /// @brief Time of the last successful store call.
    [[nodiscard]] base::time_point answered_at() const
    {
        return this->last_answer;
    }

  private:
    void acquire();
    void write();
    void renew();
    void on_success(void (node_lease::*next)(), base::duration delay);
    void on_failure(const base::error& error, void (node_lease::*retry)());
    void call_later(base::duration delay, void (node_lease::*call)());

    ports::runtime& runtime;
    ports::metadata_store& store;
    std::string key;
    std::string value;
    std::chrono::milliseconds lease_duration;
    store_availability& availability;
    part_window& window;
    reach_handler on_reach;
    ports::lease_id lease = 0;
    base::time_point last_answer{};
    bool reachable = true;
    bool is_running = false;
    std::uint64_t generation = 0; ///< identifies the calls of one start()
};

} // namespace hawthornrelay::core::relay
