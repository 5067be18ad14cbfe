/// @file
/// @brief Follows the platform's store and keeps this node listed there.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief What a follower tells of the store.
struct store_events
{
    /// A key was written or removed. Removals may be lapses when the store was
    /// away lately.
    std::function<void(const ports::store_item&, bool may_have_lapsed)>
        on_item;
    /// Everything has been listed once.
    std::function<void()> on_listed;
    /// A complete listing: keys that it does not name are gone.
    std::function<void(const std::set<std::string>&, bool may_have_lapsed)>
        on_listing;
    /// The store answers again, or does not any more.
    std::function<void(bool is_reachable, const std::string& reason)> on_reach;
};

/// @brief One listing, then one watch at a time, over the whole store.
class store_follower
{
  public:
    /// @brief Attaches to a store.
    /// @param own_key the key under which this node is listed
    /// @param own_value the value it writes there
    /// @param shortest_lease the shortest lease that the store grants
    store_follower(ports::runtime& runtime,
                   ports::metadata_store& store,
                   store_events events,
                   std::string own_key,
                   std::string own_value,
                   std::chrono::milliseconds shortest_lease);

    /// @brief Starts listing and listing this node.
    void start();

    /// @brief Removes this node's entry and stops following.
    void stop();

    /// @brief When the store last answered a call.
    [[nodiscard]] base::time_point answered_at() const
    {
        return this->last_answer;
    }

  private:
    void list(const std::string& after);
    void on_page(const core::base::result<ports::store_page>& page);
    void watch();
    void on_changes(base::time_point sent,
                    const core::base::result<ports::store_page>& page);
    void take_lease();
    void write_entry();
    void renew();
    void on_success();
    void on_failure(const base::error& error);
    void retry(void (store_follower::*call)());
    void begin_listing();
    [[nodiscard]] bool may_have_lapsed() const;

    ports::runtime& runtime;
    ports::metadata_store& store;
    store_events events;
    std::string own_key;
    std::string own_value;
    std::chrono::milliseconds lease_time;
    std::uint64_t revision = 0;
    std::set<std::string> listed;
    ports::lease_id lease = 0;
    base::time_point last_answer{};
    base::time_point last_trouble{};
    bool had_trouble = false;
    bool is_reachable = true;
    bool is_stopped = false;
    bool is_first_page = true;
};

} // namespace hawthornrelay::core::relay
