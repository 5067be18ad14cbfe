/// @file
/// @brief The load that a replica reports in its answers.
#pragma once

#include <optional>

namespace hawthornrelay::core::relay
{

/// @brief Load of a replica, over the requests of all nodes.
struct replica_load
{
    double running = 0; ///< requests in progress
    double waiting = 0; ///< requests queued at the replica
    double slots = 1;   ///< requests that it runs at once
    /// Time that work takes on the machine at this moment, in multiples of the
    /// usual time.
    std::optional<double> work_factor = std::nullopt;

    /// @brief Requests at the replica per slot.
    [[nodiscard]] double utilization() const
    {
        return (this->running + this->waiting) / this->slots;
    }
};

} // namespace hawthornrelay::core::relay
