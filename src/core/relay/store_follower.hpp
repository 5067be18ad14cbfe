/// @file
/// @brief Keeps the store mirror up to date from the store or another node.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/store_availability.hpp>
#include <core/relay/store_mirror.hpp>
#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Reads one listing, then one watch at a time, from a source that may
///        change. All sources use the store's revisions, so a new source needs
///        no new listing.
class store_follower
{
  public:
    /// @brief Called when calls start to fail and when they succeed again.
    using reach_handler =
        std::function<void(bool is_reachable, const std::string& reason)>;

    /// @brief Creates a follower without a source; the references must
    ///        outlive it.
    store_follower(ports::runtime& runtime,
                   ports::event_log& log,
                   store_mirror& mirror,
                   store_availability& availability,
                   reach_handler on_reach);

    /// @brief Switches to a source; answers to calls in flight are ignored.
    /// @param from the source to read from; must outlive the calls
    void follow(ports::metadata_reader& from);

    /// @brief Stops reading; answers to calls in flight are ignored.
    void stop();

    /// @brief Time of the last answer or of the switch to the source.
    [[nodiscard]] base::time_point answered_at() const
    {
        return this->last_answer;
    }

    /// @brief Reads copies of other nodes more often, so that current_at() is
    ///        more recent.
    void set_fresh(bool is_needed)
    {
        this->is_fresh_needed = is_needed;
    }

    /// @brief Time up to which the mirror is known to contain all changes of
    ///        the store; nullopt if it is unknown.
    [[nodiscard]] const std::optional<base::time_point>& current_at() const
    {
        return this->mirror_current_at;
    }

    /// @brief False while calls to the source fail.
    [[nodiscard]] bool is_reachable() const
    {
        return this->reachable;
    }

  private:
    void start_reading();
    void start_listing();
    void list(const std::string& after);
    void on_page(base::result<ports::store_page> page);
    void on_listed();
    /// Lists again, after a delay if it has just done so.
    void list_again();
    void watch();
    void on_changes(base::time_point sent_at,
                    base::result<ports::store_page> page);
    void on_success();
    /// @return when the state of a page was that of the store
    [[nodiscard]] std::optional<base::time_point>
    time_of(const ports::store_page& page) const;
    void set_current(std::optional<base::time_point> at);
    /// Records a failed call and makes the next one.
    void on_failure(const base::error& error, void (store_follower::*retry)());
    [[nodiscard]] bool may_have_lapsed() const;
    /// Logs that a page had items that could not be read, at most once in an
    /// interval.
    void log_unreadable(std::size_t items);
    void call_later(base::duration delay, void (store_follower::*call)());

    ports::runtime& runtime;
    ports::event_log& log;
    store_mirror& mirror;
    store_availability& availability;
    reach_handler on_reach;
    ports::metadata_reader* source = nullptr;
    std::uint64_t generation = 0;
    /// The pages so far; the state is that of the first one, so that the watch
    /// returns the changes during the listing.
    ports::store_page listing;
    base::time_point listed_at{};
    base::time_point next_unreadable_log{};
    base::time_point last_answer{};
    std::optional<base::time_point> mirror_current_at;
    /// The same of the listing in progress.
    std::optional<base::time_point> listing_current_at;
    bool reachable = true;
    bool has_answered = false; ///< since the last failure or switch
    bool is_fresh_needed = false;
};

} // namespace hawthornrelay::core::relay
