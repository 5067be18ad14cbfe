/// @file
/// @brief Tells from a node's calls whether the store has been unavailable.
#pragma once

#include <chrono>
#include <optional>

#include <core/base/result.hpp>
#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Tells whether registrations may have lapsed because the store was
///        unavailable, and may therefore be written again.
///
/// A connection that breaks or falls silent is no evidence, since others may
/// work. An error status, a refused connection or the lack of any answer for as
/// long as a registration needs to lapse is.
class store_availability
{
  public:
    /// @brief Creates a record without any call.
    /// @param heartbeat_interval interval at which replicas renew their
    ///        registrations
    explicit store_availability(std::chrono::milliseconds heartbeat_interval);

    /// @brief Records an answer of the store.
    void on_answer(base::time_point now);

    /// @brief Records an answer of the store that took unusually long.
    void on_late_answer(base::time_point now);

    /// @brief Records a failed call of the store.
    /// @param error platform_connection_lost or platform_answer_lost if the
    ///        connection failed after it was open
    /// @param now the current time
    void on_failure(const base::error& error, base::time_point now);

    /// @brief True if the store was unavailable so recently that items may have
    ///        lapsed and may be written again.
    [[nodiscard]] bool may_have_lapsed(base::time_point now) const;

  private:
    /// Tells whether no call was answered for so long that items may have
    /// lapsed.
    [[nodiscard]] bool is_silent(base::time_point now) const;

    base::duration shortest_outage;
    std::optional<base::time_point> last_answer;
    std::optional<base::time_point> last_outage;
    /// True from a failed call to the next answer.
    bool has_failed = false;
    bool is_out = false;
};

} // namespace hawthornrelay::core::relay
