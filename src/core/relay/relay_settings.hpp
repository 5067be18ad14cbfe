/// @file
/// @brief Settings of a relay process, as its site gives them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hawthornrelay::core::relay
{

/// @brief An address to listen on or to call.
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

/// @brief Everything a relay process is told at its start.
struct relay_settings
{
    std::string node_name;
    std::string zone;
    std::size_t zone_count = 1; ///< availability zones of the fleet
    unsigned millicores = 1000; ///< thousandths of a core that the VM gives
    socket_address callers;     ///< where requests arrive
    socket_address readiness;   ///< where the platform asks for readiness
    socket_address directory;   ///< where callers ask which addresses to use
    socket_address peers;       ///< between nodes, over UDP and TCP
    std::vector<std::string> seeds; ///< `ip:port` of some nodes; may be stale
    bool is_seed = false; ///< other nodes know this node's address at start
    socket_address metrics;
    socket_address store;
    bool is_first_start = false; ///< the whole system starts for the first time
    std::chrono::milliseconds stop_grace{6000}; ///< from SIGTERM to SIGKILL
    std::chrono::seconds longest_address_ttl{5};
    double extra_ratio = 0.2; ///< extra sends for each request
    double extra_slack = 0;   ///< extra sends besides, over all nodes
    std::chrono::seconds extra_window{10};
    double cold_overshoot = 1.5;
    double cold_slack = 5;
    std::chrono::milliseconds shortest_lease{1000};
};

} // namespace hawthornrelay::core::relay
