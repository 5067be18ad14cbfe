/// @file
/// @brief Sends requests to replicas.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/replica_health.hpp>
#include <core/relay/replica_registry.hpp>

namespace hawthornrelay::ports
{

/// @brief Header fields in the order in which they were received.
using field_list = std::vector<std::pair<std::string, std::string>>;

/// @brief A caller's request as it is passed on.
struct forwarded_request
{
    std::string id; ///< the caller's id of this attempt
    std::string method;
    std::string target;
    std::string host;
    field_list fields; ///< end-to-end fields only
    std::string body;
};

/// @brief A replica's whole answer.
struct replica_answer
{
    unsigned status = 0;
    field_list fields; ///< end-to-end fields, the signature among them
    std::string signature;
    std::string body;
};

/// @brief How a send ended.
struct send_outcome
{
    core::relay::send_result result = core::relay::send_result::broken;
    replica_answer answer;            ///< when answered
    std::optional<double> busy_share; ///< the load that the replica reported
    std::optional<core::base::duration> cold_for; ///< it said that it is cold
    std::string detail; ///< why it failed, for the log
};

/// @brief What a health check found.
struct health_report
{
    bool has_answered = false; ///< healthy or not
    bool is_healthy = false;
    std::optional<core::base::duration> cold_for; ///< it said that it is cold
};

/// @brief Sends requests to replicas on kept connections.
class replica_transport
{
  public:
    using handler = std::function<void(const send_outcome&)>;

    replica_transport() = default;
    replica_transport(const replica_transport&) = delete;
    replica_transport& operator=(const replica_transport&) = delete;
    virtual ~replica_transport() = default;

    /// @brief Sends one request.
    /// @param to the replica, which the answer must come from
    /// @param request the request
    /// @param time_left how long the caller waits
    /// @param done receives the outcome once, never before send() returns
    /// @return a number for cancel()
    virtual std::uint64_t send(const core::relay::replica_ptr& to,
                               std::shared_ptr<const forwarded_request> request,
                               core::base::duration time_left,
                               handler done) = 0;

    /// @brief Asks a replica for its health.
    /// @param to the replica
    /// @param done receives the outcome once, never before check() returns
    virtual void check(const core::relay::replica_ptr& to,
                       std::function<void(const health_report&)> done) = 0;

    /// @brief Gives a send up: resets its connection, so that the replica
    ///        stops, and calls its handler no more.
    virtual void cancel(std::uint64_t send) = 0;
};

} // namespace hawthornrelay::ports
