/// @file
/// @brief Clock and time types.
#pragma once

#include <chrono>

namespace hawthornrelay::core::base
{

/// @brief The monotonic clock of the runtime.
///
/// It has no `now()`: the current time always comes from ports::runtime, so
/// that tests can control it.
struct runtime_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock, duration>;
    static constexpr bool is_steady = true;
};

/// @brief A length of time, in microseconds.
using duration = runtime_clock::duration;

/// @brief A point on the monotonic clock of one process.
using time_point = runtime_clock::time_point;

/// @brief The time left until @p deadline, never negative.
/// @param deadline the end of the period
/// @param now the current time
/// @return the remaining time, zero when the deadline has passed
constexpr duration remaining(time_point deadline, time_point now)
{
    return deadline > now ? deadline - now : duration::zero();
}

} // namespace hawthornrelay::core::base
