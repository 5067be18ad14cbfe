/// @file
/// @brief Interface for sending requests to replicas.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/answer_memory.hpp>
#include <core/relay/replica_health.hpp>
#include <core/relay/replica_load.hpp>
#include <core/relay/replica_registry.hpp>

namespace hawthornrelay::ports
{

/// @brief Header fields in the order in which they were received.
using field_list = std::vector<std::pair<std::string, std::string>>;

/// @brief A caller's request as it is forwarded to replicas.
struct forwarded_request
{
    std::string id; ///< chosen by the caller for each of its attempts
    std::string method;
    std::string target;
    std::string host;
    field_list fields; ///< end-to-end fields only, without identity_fields
    /// Fields in which the client says who it is. They are forwarded only where
    /// no organisations are configured.
    field_list identity_fields;
    std::string organisation; ///< told to the replica; empty if unknown
    std::string body;
};

/// @brief A replica's complete answer.
struct replica_answer
{
    unsigned status = 0;
    field_list fields; ///< end-to-end fields, including the signature
    std::string signature;
    std::string body;
    /// Reserves the memory of `body`; nullptr if it is not limited.
    std::shared_ptr<const core::relay::answer_reservation> memory;
};

/// @brief Outcome of an attempt.
struct send_outcome
{
    core::relay::send_result result = core::relay::send_result::broken;
    replica_answer answer; ///< valid if result is answered
    std::optional<core::relay::replica_load> load; ///< as the replica reports
    std::optional<core::base::duration> warm_up_left; ///< reported warm-up left
    /// Requests a second that the replica takes from all nodes together.
    std::optional<double> rate_limit;
    bool is_leaving = false; ///< the replica is about to end
    /// How long the replica wants no request from this node.
    std::optional<core::base::duration> back_off;
    std::string detail;          ///< reason of a failure, for the log
    bool is_unreachable = false; ///< no connection could be opened
};

/// @brief Outcome of a health check.
struct health_report
{
    bool has_answered = false; ///< whatever the answer says
    bool is_healthy = false;
    std::optional<core::base::duration> warm_up_left; ///< reported warm-up left
    /// True if the replica does not run at its address: no connection could be
    /// opened, or another replica answered. A replica that accepts connections
    /// and does not answer may only be busy.
    bool is_gone = false;
    std::optional<double> rate_limit;                ///< as in send_outcome
    bool is_leaving = false;                         ///< as in send_outcome
    std::optional<core::relay::replica_load> load{}; ///< as in send_outcome
};

/// A request is written within this time after send(), or not at all.
inline constexpr std::chrono::milliseconds max_send_delay{250};

/// @brief Sends requests to replicas over persistent connections.
class replica_transport
{
  public:
    using handler = std::function<void(const send_outcome&)>;

    replica_transport() = default;
    replica_transport(const replica_transport&) = delete;
    replica_transport& operator=(const replica_transport&) = delete;
    virtual ~replica_transport() = default;

    /// @brief Sends one request, within max_send_delay or not at all.
    /// @param to the replica that must answer
    /// @param request the request
    /// @param time_left the remaining time of the caller
    /// @param done receives the outcome once, never before send() returns
    /// @return the number of the attempt, for cancel()
    virtual std::uint64_t send(const core::relay::replica_ptr& to,
                               std::shared_ptr<const forwarded_request> request,
                               core::base::duration time_left,
                               handler done) = 0;

    /// @brief Checks the health of a replica.
    /// @param to the replica
    /// @param done receives the outcome once, never before
    ///        check_health() returns
    virtual void
    check_health(const core::relay::replica_ptr& to,
                 std::function<void(const health_report&)> done) = 0;

    /// @brief Cancels an attempt: resets its connection, so that the replica
    ///        stops, and does not call its handler.
    virtual void cancel(std::uint64_t send) = 0;
};

} // namespace hawthornrelay::ports
