/// @file
/// @brief What this node has seen of one replica, and what it expects of it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief An exponentially weighted mean that drifts back to its start value
///        while there are no samples.
class decaying_mean
{
  public:
    /// @brief Sets the value without samples.
    /// @param rest the value to drift back to
    explicit decaying_mean(double rest) : rest(rest), value(rest)
    {
    }

    /// @brief Takes a sample.
    void add(double sample, base::time_point now);

    /// @brief The mean at a time.
    [[nodiscard]] double at(base::time_point now) const;

  private:
    double rest;
    double value;
    base::time_point updated{};
};

/// @brief How one send to a replica ended.
enum class send_result
{
    answered,   ///< the replica ran the request and its whole answer arrived
    shed,       ///< the replica says that it did not run the request
    other_here, ///< another replica has the address now
    not_sent,   ///< nothing of the request was written
    broken,     ///< the connection broke, or the answer is not usable
    abandoned,  ///< this node gave up waiting
};

/// @brief The view of one replica that replica choice rests on.
class replica_health
{
  public:
    /// @brief Notes that a request was sent.
    /// @param send the send's number
    void on_sent(std::uint64_t send, base::time_point now);

    /// @brief Notes how a send ended.
    /// @param send the send's number
    /// @param result the outcome
    /// @param slowness the time taken over the usual time of such requests;
    ///        read only when answered
    void on_result(std::uint64_t send,
                   send_result result,
                   double slowness,
                   base::time_point now);

    /// @brief Notes the load that the replica reported.
    /// @param busy_share (running + waiting) / slots
    void on_load(double busy_share, base::time_point now);

    /// @brief Notes the outcome of a health check. What a replica says of
    ///        itself may be wrong; that it says something shows that it runs.
    /// @param has_answered whether an answer came
    /// @param is_healthy whether it said that the replica is well
    /// @param now the current time
    void on_check(bool has_answered, bool is_healthy, base::time_point now);

    /// @brief Tells whether the replica is taken to be down.
    [[nodiscard]] bool is_suspect() const;

    /// @brief Tells whether the replica did not answer a recent health check,
    ///        and has answered nothing since.
    [[nodiscard]] bool is_unreachable(base::time_point now) const;

    /// @brief The expected time of a request over the usual one; includes the
    ///        chance of failures.
    /// @param distance multiplies the time, for replicas that are far
    [[nodiscard]] double cost(double distance, base::time_point now) const;

    /// @brief The age of the oldest send without an outcome, zero if none.
    [[nodiscard]] base::duration oldest_wait(base::time_point now) const;

  private:
    std::map<std::uint64_t, base::time_point> in_flight;
    decaying_mean slowness{1.0};
    decaying_mean shed{0.0};
    decaying_mean failed{0.0};
    double busy_share = 0;
    base::time_point busy_at{};
    unsigned failures_in_a_row = 0;
    bool has_failed_check = false;
    base::time_point checked_at{};
};

} // namespace hawthornrelay::core::relay
