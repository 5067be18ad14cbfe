/// @file
/// @brief Observed latency, load and failures of one replica.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <core/base/time.hpp>
#include <core/relay/replica_load.hpp>
#include <core/relay/replica_pace.hpp>

namespace hawthornrelay::core::relay
{

/// @brief An exponentially weighted mean that decays to a baseline while there
///        are no samples.
class decaying_mean
{
  public:
    /// @brief Starts at the baseline.
    /// @param baseline the value without recent samples
    explicit decaying_mean(double baseline)
        : baseline(baseline), value(baseline)
    {
    }

    /// @brief Adds a sample.
    void add(double sample, base::time_point now);

    /// @brief The mean at a time.
    [[nodiscard]] double at(base::time_point now) const;

  private:
    double baseline;
    double value;
    base::time_point updated{};
};

/// @brief The outcome of one send to a replica.
enum class send_result
{
    answered,      ///< the replica ran the request and its whole answer arrived
    shed,          ///< the replica replied that it did not run the request
    other_replica, ///< another replica answered at the address
    not_sent,      ///< no byte of the request was written
    broken,        ///< the connection broke, or the answer is not usable
    abandoned,     ///< timed out or cancelled by this node
};

/// @brief The health of one replica as seen by this node, for replica choice.
class replica_health
{
  public:
    /// @brief Records that the replica has started.
    /// @param earlier the pace of its previous incarnation, which has ended
    /// @param now the current time
    void on_started(const replica_pace& earlier, base::time_point now);

    /// @brief Records a send.
    /// @param send the send's number
    void on_sent(std::uint64_t send, base::time_point now);

    /// @brief Records the outcome of a send.
    /// @param send the send's number
    /// @param result the outcome
    /// @param latency_ratio the time taken relative to the mean of such
    ///        requests; used only if answered
    void on_result(std::uint64_t send,
                   send_result result,
                   double latency_ratio,
                   base::time_point now);

    /// @brief Records the load that the replica reported.
    /// @param load the load in an answer or a health check
    /// @param now the current time
    void on_load(const replica_load& load, base::time_point now);

    /// @brief Tells whether the replica last reported slow work, so that it may
    ///        get no requests whose answers would report a change.
    /// @param age the age of that report, at least
    /// @param now the current time
    [[nodiscard]] bool is_report_outdated(base::duration age,
                                          base::time_point now) const;

    /// @brief Tells whether the replica's last report of its work is so old
    /// that
    ///        other nodes may have changed its load.
    [[nodiscard]] bool is_report_old(base::time_point now) const;

    /// @brief Tells whether the replica reports how long work takes on its
    ///        machine.
    [[nodiscard]] bool reports_work() const
    {
        return this->load.work_factor.has_value();
    }

    /// @brief Records the outcome of a health check. The reported state may be
    ///        wrong, but any answer shows that the replica is running.
    /// @param has_answered whether the replica answered
    /// @param is_healthy whether the answer reported a healthy replica
    /// @param now the current time
    void on_check(bool has_answered, bool is_healthy, base::time_point now);

    /// @brief Records that the replica is known to be running.
    void on_alive(base::time_point now)
    {
        this->last_alive_at = now;
    }

    /// @brief The last sign of life: an answer, or the registration of its
    ///        incarnation.
    [[nodiscard]] base::time_point alive_at() const
    {
        return this->last_alive_at;
    }

    /// @brief Tells whether the replica is presumed down.
    [[nodiscard]] bool is_suspect() const;

    /// @brief Tells whether the replica failed to answer a recent health check
    ///        and has answered no request since.
    [[nodiscard]] bool is_unreachable(base::time_point now) const;

    /// @brief The expected cost of a request, in multiples of the usual
    ///        latency; includes queueing and the risk of failure.
    /// @param distance_factor latency multiplier for remote replicas
    [[nodiscard]] double cost(double distance_factor,
                              base::time_point now) const;

    /// @brief The expected time of a request once it runs, in multiples of the
    ///        usual latency.
    [[nodiscard]] double slowness(base::time_point now) const;

    /// @brief The age of the oldest send in flight, zero if there is none.
    [[nodiscard]] base::duration oldest_wait(base::time_point now) const;

    /// @brief The slow start of the replica.
    [[nodiscard]] replica_pace& pace()
    {
        return this->slow_start;
    }

  private:
    /// Starts the replica slowly if it is no longer suspect, and records that
    /// it has become suspect.
    void on_suspicion(bool was_suspect, base::time_point now);
    [[nodiscard]] double load_weight(base::time_point now) const;
    /// Cost of the requests at the replica, for one that reports its work.
    [[nodiscard]] double queueing_cost(double slowness,
                                       base::time_point now) const;

    std::map<std::uint64_t, base::time_point> in_flight;
    decaying_mean latency_ratio{1.0};
    /// Latency that the reported work does not explain.
    decaying_mean unexplained_ratio{1.0};
    decaying_mean shed{0.0};
    decaying_mean failed{0.0};
    replica_pace slow_start;
    base::time_point silence_ended_at{};
    replica_load load;
    base::time_point load_at{};
    unsigned failures_in_a_row = 0;
    bool has_failed_check = false;
    base::time_point checked_at{};
    base::time_point last_alive_at{};
};

} // namespace hawthornrelay::core::relay
