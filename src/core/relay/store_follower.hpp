/// @file
/// @brief Keeps the mirror up to date from the store or from another node.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/store_mirror.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief One listing, then one watch at a time, from a source that may
///        change. Revisions are the store's whatever the source, so a change
///        of the source needs no new listing.
class store_follower
{
  public:
    /// @brief Told when calls begin to fail, and when they succeed again.
    using reach_handler =
        std::function<void(bool is_reachable, const std::string& reason)>;

    /// @brief Attaches to a mirror.
    store_follower(ports::runtime& runtime,
                   store_mirror& mirror,
                   reach_handler on_reach);

    /// @brief Reads from a source from now on; calls under way are ignored.
    /// @param source where to read; it must outlive the calls
    void follow(ports::metadata_reader& source);

    /// @brief Reads nothing more.
    void stop();

    /// @brief When the source last answered, or was switched to.
    [[nodiscard]] base::time_point answered_at() const
    {
        return this->last_answer;
    }

    /// @brief False while calls of the source fail.
    [[nodiscard]] bool is_reachable() const
    {
        return this->reachable;
    }

    /// @brief True if the store was away so shortly before that entries may
    ///        have lapsed and may come back.
    [[nodiscard]] bool may_have_lapsed() const;

    /// @brief Notes that the store was seen to be away.
    void note_trouble();

  private:
    void begin();
    void begin_listing();
    void list(const std::string& after);
    void on_page(base::result<ports::store_page> page);
    void watch();
    void on_changes(base::time_point sent,
                    base::result<ports::store_page> page);
    void on_success();
    void on_failure(const base::error& error);
    void call_later(base::duration delay, void (store_follower::*call)());

    ports::runtime& runtime;
    store_mirror& mirror;
    reach_handler on_reach;
    ports::metadata_reader* source = nullptr;
    std::uint64_t generation = 0;
    std::vector<ports::store_item> listed;
    std::uint64_t listed_at = 0;
    base::time_point last_answer{};
    base::time_point last_trouble{};
    bool had_trouble = false;
    bool reachable = true;
};

} // namespace hawthornrelay::core::relay
