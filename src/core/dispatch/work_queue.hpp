/// @file
/// @brief Priority queue of a holder's unsent work.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/messages.hpp>

namespace hawthornrelay::core::dispatch
{

/// @brief Identifies an attempt among all entry nodes.
struct attempt_key
{
    base::node_id entry;
    base::attempt_id attempt = 0;

    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

/// @brief A queued work item with its key and deadline.
struct queued_work
{
    attempt_key key;
    messages::work_item item;
    base::time_point deadline;
};

/// @brief Orders work: hedges first, then urgent work, then by deadline, then
///        by arrival.
class work_queue
{
  public:
    /// @brief Adds an item.
    /// @param work the item
    /// @complexity logarithmic
    void push(queued_work work);

    /// @brief Takes the next item.
    /// @return the item, or nothing when empty
    std::optional<queued_work> pop();

    /// @brief Takes the next item that may move to another replica: it is
    ///        idempotent, not a hedge and has not been moved before.
    /// @return the item, or nothing
    std::optional<queued_work> pop_movable();

    /// @brief Removes the item of an attempt.
    /// @param key the attempt
    /// @return true when it was in the queue
    bool remove(const attempt_key& key);

    /// @brief Takes all items.
    /// @return the items in sending order
    std::vector<queued_work> drain();

    /// @brief Estimates how many items would be sent before a new one.
    /// @param urgent whether the new item is urgent
    /// @return the number ahead
    [[nodiscard]] std::size_t ahead_of(bool urgent) const;

    /// @brief Number of queued items.
    /// @return the size
    [[nodiscard]] std::size_t size() const
    {
        return this->items.size();
    }

  private:
    using sort_key = std::tuple<bool, bool, base::time_point, std::uint64_t>;

    std::map<sort_key, queued_work> items;
    std::map<attempt_key, sort_key> positions;
    std::size_t urgent_count = 0;
    std::uint64_t arrival_count = 0;
};

} // namespace hawthornrelay::core::dispatch
