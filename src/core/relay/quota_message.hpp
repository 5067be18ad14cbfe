/// @file
/// @brief Messages between nodes about quotas of organisations.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The limit of one organisation over all nodes.
struct quota_limit
{
    double rate_per_second = 0;
    double burst = 0;
};

/// @brief A request for credit, to the node that pools it.
struct quota_ask
{
    std::string organisation;
    quota_limit limit;   ///< as configured at the sender
    double wanted = 0;   ///< requests that wait or are expected at once
    double returned = 0; ///< credit granted earlier and not used in time
    /// The ask of the last grant that was received. Later grants are void, so
    /// that the granting node takes back those that were lost.
    std::uint64_t last_granted = 0;
};

/// @brief The reply to a quota_ask.
struct quota_grant
{
    std::string organisation;
    double credit = 0;
    base::duration wait{}; ///< until credit is available, if it is short
    /// The granting node expects further shares within some milliseconds.
    bool is_pool_growing = false;
    std::uint64_t asked_at = 0; ///< sent_at of the ask, in microseconds
};

/// @brief A datagram about quotas.
///
/// Times are microseconds on the clock of the process that is named with them,
/// so that no lease depends on the delay of a datagram.
struct quota_message
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sent_at = 0; ///< increases with each message of a process
    /// The newest message that the sender has received from the recipient.
    std::uint64_t heard_incarnation = 0;
    std::uint64_t heard_at = 0;
    unsigned divisor = 0; ///< the sender's share is 1/divisor; 0: no share
    std::uint64_t lent_slots = 0;  ///< slots of its share that it lends
    base::duration idle{};         ///< how long newly lent slots were unused
    base::duration last_use_age{}; ///< since the last use known to the sender
    std::vector<quota_ask> asks;
    std::vector<quota_grant> grants;
};

} // namespace hawthornrelay::core::relay
