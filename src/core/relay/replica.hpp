/// @file
/// @brief A replica's registration in the platform's store.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace hawthornrelay::core::relay
{

/// @brief The decoded registration of a replica.
struct replica_record
{
    std::string id;
    std::string service;
    std::string address; ///< `ip:port`
    std::string zone;
    std::string version; ///< of its program
    unsigned slots = 1;  ///< maximum concurrent requests
    bool is_draining = false;
    std::chrono::milliseconds warm_up_left{0};
    std::uint64_t started_at = 0; ///< Unix ms; identifies the incarnation
    std::uint64_t sequence = 0;   ///< increases within an incarnation
};

} // namespace hawthornrelay::core::relay
