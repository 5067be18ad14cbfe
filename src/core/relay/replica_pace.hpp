/// @file
/// @brief Slow start of a replica, learned from its responses.
#pragma once

#include <optional>

#include <core/base/time.hpp>
#include <core/relay/replica_load.hpp>

namespace hawthornrelay::core::relay
{

/// @brief A step of a replica's slow start, for the log.
enum class pace_step
{
    started,   ///< the replica gets a small share
    reduced,   ///< its answers show that it gets too much
    completed, ///< it gets its whole share
};

/// @brief The share of its usual requests that a replica gets after a start, a
///        return or a long silence.
///
/// The share grows with time, on the same schedule on all nodes, and is reduced
/// by the answers that a node sees itself. It doubles up to the threshold, half
/// of the share at which the replica was last overloaded, and then grows by a
/// constant.
class replica_pace
{
  public:
    /// @brief Starts with a small share.
    void begin(base::time_point now);

    /// @brief Starts with half of the requests, since other nodes may have used
    ///        the replica.
    void begin_after_silence(base::time_point now);

    /// @brief Records an answer.
    /// @param unexplained_ratio latency relative to the usual one, divided by
    ///        the time that work takes on the machine
    /// @param load the load in the answer
    /// @param now the current time
    void on_answer(double unexplained_ratio,
                   const replica_load& load,
                   base::time_point now);

    /// @brief Records that the replica turned a request away or failed it.
    void on_rejected(base::time_point now);

    /// @brief Records that the replica ended or became suspect. It gets its
    ///        share more slowly from then on.
    void on_ended(base::time_point now);

    /// @brief The share at a time, from above 0 to 1.
    [[nodiscard]] double share(base::time_point now);

    /// @brief Takes the latest step that has not been taken yet.
    std::optional<pace_step> take_step();

  private:
    void start(double initial_share, base::time_point now);
    void reduce(base::time_point now);
    void grow(base::time_point now);

    bool is_active = false;
    double current = 1;
    double threshold = 1;
    unsigned falls = 0; ///< ends of the replica during its slow start
    /// True after a reduction, until an answer shows that it suffices.
    bool is_held = false;
    std::optional<double> recent_ratio;
    double least_ratio = 0;
    base::time_point grown_at{};
    base::time_point reduced_at{};
    base::time_point ended_at{};
    std::optional<pace_step> step;
};

} // namespace hawthornrelay::core::relay
