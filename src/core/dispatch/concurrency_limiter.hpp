/// @file
/// @brief Adaptive limit on the requests in flight to one replica.
#pragma once

#include <cstdint>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/dispatch/latency_window.hpp>
#include <ports/targets.hpp>

namespace hawthornrelay::core::dispatch
{

/// @brief Parameters of the in-flight limit.
struct concurrency_limits
{
    /// Limit of a replica that is cold or not known to be warm.
    std::uint32_t cold_limit = 1;
    /// The limit grows by one after this many successful answers per unit of
    /// the limit.
    std::uint32_t answers_per_step = 4;
    /// Requests beyond the replica's slots, so that a warm replica does not
    /// idle for a round trip.
    std::uint32_t prefetch = 1;
    /// An answer is slow when it takes this many times the mean latency.
    double slow_factor = 4;
    /// Consecutive slow answers after which the replica counts as cold.
    std::uint32_t slow_streak_limit = 3;
    /// Back-off after the target refused a request or could not be reached.
    base::duration pause_after_refusal = std::chrono::milliseconds(20);
    /// A replica that is idle for longer than this plus the mean latency may
    /// have restarted unnoticed. Must be shorter than any target's restart.
    base::duration max_warm_idle = std::chrono::milliseconds(250);
};

/// @brief The in-flight limit of one replica, adapted to its answers.
///
/// The limit starts at cold_limit and grows with successful answers up to the
/// replica's slots plus the requests that cover the round trip. It is reset
/// when the replica appears to be cold: it says so, it has a new incarnation,
/// it refuses a request, several answers in a row are slow, or it was idle
/// long enough to have restarted. Health and load reports from elsewhere are
/// not used because they lag behind.
class concurrency_limiter
{
  public:
    /// @brief Starts with the limit of a cold replica.
    /// @param limits the parameters
    /// @param slots requests that a warm replica processes concurrently
    /// @param connection_limit connections the replica accepts
    concurrency_limiter(concurrency_limits limits,
                        std::uint32_t slots,
                        std::uint32_t connection_limit);

    /// @brief Tells whether another request may be sent.
    /// @param now the current time
    /// @return false at the limit, or during the back-off after a refusal
    [[nodiscard]] bool may_send(base::time_point now) const;

    /// @brief Records that a request was sent; resets the limit first if the
    ///        replica has been idle for too long.
    /// @param now the current time
    void sent(base::time_point now);

    /// @brief Records the end of a request and adapts the limit.
    /// @param reply the target's answer
    /// @param latency from sending to the answer
    /// @param now the current time
    /// @return true when the replica changed from warm to cold
    bool finished(const ports::target_reply& reply,
                  base::duration latency,
                  base::time_point now);

    /// @brief Resets the limit to that of a cold replica.
    void reset();

    /// @brief Requests in flight.
    /// @return their number
    [[nodiscard]] std::uint32_t in_flight() const
    {
        return this->in_flight_count;
    }

    /// @brief Requests that may be in flight at the same time.
    /// @return the current limit
    [[nodiscard]] std::uint32_t limit() const
    {
        return this->current_limit;
    }

    /// @brief Tells whether the limit has reached the replica's slots.
    /// @return true for a warm replica
    [[nodiscard]] bool is_warm() const
    {
        return this->current_limit >= this->slots;
    }

    /// @brief When the back-off after a refusal ends.
    /// @return the time, in the past when there is no back-off
    [[nodiscard]] base::time_point paused_until() const
    {
        return this->pause_end;
    }

    /// @brief Recent latencies of successful answers.
    /// @return the window
    [[nodiscard]] const latency_window& latencies() const
    {
        return this->recent;
    }

  private:
    [[nodiscard]] bool detect_cold(const ports::target_reply& reply,
                                   base::duration latency);
    void grow();
    [[nodiscard]] std::uint32_t max_limit() const;

    concurrency_limits limits;
    std::uint32_t slots;
    std::uint32_t connection_limit;
    std::uint32_t current_limit;
    std::uint32_t in_flight_count = 0;
    std::uint32_t successes = 0;
    std::uint32_t slow_streak = 0;
    std::uint64_t incarnation = 0;
    base::time_point pause_end;
    /// Send time of the latest request that was answered.
    base::time_point last_answered_send;
    latency_window recent;
};

} // namespace hawthornrelay::core::dispatch
