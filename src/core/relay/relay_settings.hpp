/// @file
/// @brief Site-specific settings of a relay process.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <core/relay/client_budget.hpp>
#include <core/relay/rollout_control.hpp>

namespace hawthornrelay::core::relay
{

/// @brief An IP address and port.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    /// @brief The form `ip:port`.
    [[nodiscard]] std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }
};

/// @brief Settings that a relay process reads at its start.
struct relay_settings
{
    std::string node_name;
    std::string zone;
    std::size_t zone_count = 1; ///< number of availability zones in the fleet
    unsigned millicores = 1000; ///< processor capacity of the VM
    /// Memory limit of this process in bytes.
    std::size_t memory_limit = std::size_t{256} << 20U;
    std::size_t descriptor_limit = 0; ///< of this process; 0 if not limited
    client_settings clients;
    socket_address caller_address; ///< listens for callers' requests
    socket_address readiness; ///< listens for the platform's readiness probes
    socket_address directory; ///< listens for callers' address lookups
    socket_address peers;     ///< between nodes, over UDP and TCP
    std::vector<std::string> seeds; ///< `ip:port` of known nodes; may be stale
    bool is_seed = false; ///< this node is in the seeds of other nodes
    socket_address metrics;
    socket_address store;
    bool is_first_start = false; ///< the whole system's first start
    std::chrono::milliseconds stop_grace{6000}; ///< from SIGTERM to SIGKILL
    std::chrono::seconds max_address_ttl{5};
    double extra_ratio = 0.2; ///< extra sends per request
    double extra_slack = 0;   ///< additional extra sends over all nodes
    std::chrono::seconds extra_window{10};
    double cold_overshoot = 1.5;
    double cold_slack = 5;
    /// An organisation gets in any span of this length, over all nodes, at most
    /// its quota x (1 + overshoot) + slack.
    std::chrono::milliseconds quota_window{5000};
    double quota_overshoot = 0.1;
    double quota_slack = 20;
    rollout_bounds rollouts;
    std::chrono::milliseconds min_lease{1000};
    /// A replica's registration ends after three of these without a renewal.
    std::chrono::milliseconds heartbeat_interval{1200};
};

} // namespace hawthornrelay::core::relay
