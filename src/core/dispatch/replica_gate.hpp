/// @file
/// @brief Decides how much work one replica may have in flight.
#pragma once

#include <cstdint>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/dispatch/latency_window.hpp>
#include <ports/targets.hpp>

namespace hawthornrelay::core::dispatch
{

/// @brief The constants of the in-flight limit.
struct gate_limits
{
    /// What a replica of unknown warmth bears.
    std::uint32_t cold_limit = 1;
    /// Answers in a row, per unit of the limit, before it grows by one.
    std::uint32_t answers_per_step = 4;
    /// Work above the slots that covers the round trip of a warm replica.
    std::uint32_t ahead = 1;
    /// Answers this many times slower than the mean count as slow.
    double slow_factor = 4;
    /// Slow answers in a row that mean the replica has turned cold.
    std::uint32_t slow_in_a_row = 3;
    /// How long to hold back after the target refused or failed.
    base::duration pause_after_refusal = std::chrono::milliseconds(20);
    /// Without work for longer than this and the usual latency, the replica
    /// may have restarted unseen; shorter than any target's restart.
    base::duration idle_warmth = std::chrono::milliseconds(250);
};

/// @brief The in-flight limit of one replica, driven by its answers alone.
///
/// The limit starts at what a cold replica bears, grows with answers that
/// show it is warm, up to its slots and the work that covers the round trip,
/// and falls back at the first sign of a cold replica: its own word, a new
/// incarnation, a refusal, a run of slow answers, or a pause without work in
/// which it may have restarted. Health and load reports from outside play no
/// part, for they lag.
class replica_gate
{
  public:
    /// @brief Starts cold.
    /// @param limits the constants
    /// @param slots requests a warm replica works on at once
    /// @param connection_limit connections the replica accepts
    replica_gate(gate_limits limits,
                 std::uint32_t slots,
                 std::uint32_t connection_limit);

    /// @brief Tells whether another request may be sent.
    /// @param now the current time
    /// @return false at the limit, or while pausing after a refusal
    [[nodiscard]] bool may_send(base::time_point now) const;

    /// @brief Notes a request sent. After a pause without work the limit falls
    ///        back to that of a cold replica.
    /// @param now the current time
    void sent(base::time_point now);

    /// @brief Notes how a request ended.
    /// @param reply the target's answer
    /// @param latency from sending to the answer
    /// @param now the current time
    /// @return true when the replica was taken for warm and is now cold
    bool finished(const ports::target_reply& reply,
                  base::duration latency,
                  base::time_point now);

    /// @brief Falls back to the cold limit.
    void reset();

    /// @brief Work in flight.
    /// @return the number of requests sent and not finished
    [[nodiscard]] std::uint32_t in_flight() const
    {
        return this->flying;
    }

    /// @brief Work allowed in flight.
    /// @return the limit
    [[nodiscard]] std::uint32_t limit() const
    {
        return this->allowed;
    }

    /// @brief Tells whether the limit has reached the replica's slots.
    /// @return true for a warm replica
    [[nodiscard]] bool is_warm() const
    {
        return this->allowed >= this->slots;
    }

    /// @brief When a pause after a refusal ends.
    /// @return the time, in the past when not pausing
    [[nodiscard]] base::time_point paused_until() const
    {
        return this->pause_end;
    }

    /// @brief Recent latencies of warm answers.
    /// @return the window
    [[nodiscard]] const latency_window& latencies() const
    {
        return this->recent;
    }

  private:
    [[nodiscard]] bool shows_cold(const ports::target_reply& reply,
                                  base::duration latency);
    void grow();
    [[nodiscard]] std::uint32_t highest() const;

    gate_limits limits;
    std::uint32_t slots;
    std::uint32_t connection_limit;
    std::uint32_t allowed;
    std::uint32_t flying = 0;
    std::uint32_t good_in_a_row = 0;
    std::uint32_t slow_count = 0;
    std::uint64_t run = 0;
    base::time_point pause_end;
    /// When the last request that was answered had been sent.
    base::time_point last_proof;
    latency_window recent;
};

} // namespace hawthornrelay::core::dispatch
