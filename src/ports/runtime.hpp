/// @file
/// @brief Interface of the clock and the timers.
#pragma once

#include <cstdint>
#include <functional>

#include <core/base/time.hpp>

namespace hawthornrelay::ports
{

/// @brief Identifies a scheduled call.
using timer_id = std::uint64_t;

/// @brief The id of no timer.
constexpr timer_id no_timer = 0;

/// @brief Monotonic clock and timers.
///
/// Tests use an implementation whose clock is advanced by hand.
class runtime
{
  public:
    runtime() = default;
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;
    virtual ~runtime() = default;

    /// @brief The current time.
    /// @return a point on this process's monotonic clock
    [[nodiscard]] virtual core::base::time_point now() const = 0;

    /// @brief Schedules a call.
    /// @param when earliest time of the call
    /// @param task the function; it runs on the core's thread
    /// @return an id for cancel(), never no_timer
    virtual timer_id call_at(core::base::time_point when,
                             std::function<void()> task) = 0;

    /// @brief Cancels a scheduled call; no effect if it has run.
    /// @param timer the id from call_at() or call_after(), or no_timer
    virtual void cancel(timer_id timer) = 0;

    /// @brief Schedules a call after a delay.
    /// @param delay the time to wait
    /// @param task the function; it runs on the core's thread
    /// @return an id for cancel(), never no_timer
    timer_id call_after(core::base::duration delay, std::function<void()> task)
    {
        return this->call_at(this->now() + delay, std::move(task));
    }
};

} // namespace hawthornrelay::ports
