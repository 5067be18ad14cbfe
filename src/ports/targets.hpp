/// @file
/// @brief Interface for sending work to targets.
#pragma once

#include <functional>
#include <string>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>

namespace hawthornrelay::ports
{

/// @brief A unit of work for a target.
struct target_request
{
    std::uint64_t id = 0; ///< unique in this process
    std::string address;  ///< `host:port`
    core::base::index_version version = 0;
    core::base::time_point deadline;
    std::string request_key; ///< only for work that is not idempotent
    std::string body;
};

/// @brief A target's answer, or how the attempt failed.
///
/// `code` is ok, target_shed, version_unavailable, replica_out (draining),
/// target_failed, target_lost (the connection broke after the request may
/// have been read), target_unreachable (nothing was sent), deadline_expired
/// (rejected by the target before it began) or cancelled.
struct target_reply
{
    core::base::result_code code = core::base::result_code::ok;
    core::base::index_version version = 0;
    core::base::index_version oldest = 0;
    core::base::index_version newest = 0;
    std::uint64_t incarnation = 0; ///< of the target
    bool is_cold = false;          ///< the target reports that it is warming up
    std::string body;
};

/// @brief Sends work to targets over pooled connections.
class targets
{
  public:
    targets() = default;
    targets(const targets&) = delete;
    targets& operator=(const targets&) = delete;
    virtual ~targets() = default;

    /// @brief Called exactly once with the outcome of a request.
    using reply_handler = std::function<void(const target_reply&)>;

    /// @brief Sends a request.
    /// @param request the work; not sent if its deadline has passed
    /// @param handler receives the outcome
    virtual void send(const target_request& request, reply_handler handler) = 0;

    /// @brief Asks the target to stop a request. The request's handler is still
    ///        called, with `cancelled` or with the answer.
    /// @param id the request's id
    virtual void cancel(std::uint64_t id) = 0;
};

} // namespace hawthornrelay::ports
