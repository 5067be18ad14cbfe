/// @file
/// @brief The quotas of a relay process: drives its ledger.
#pragma once

#include <adapters/relay/membership.hpp>
#include <core/relay/quota_ledger.hpp>
#include <core/relay/relay_counters.hpp>
#include <ports/event_log.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Feeds a quota_ledger with the known nodes, renews its leases and logs
///        changes of this node's share.
class quota_exchange
{
  public:
    /// @brief Creates the ledger; the referenced objects must outlive this one.
    quota_exchange(core::relay::quota_settings settings,
                   ports::runtime& runtime,
                   ports::event_log& log,
                   membership& members,
                   core::relay::relay_counters& counters);

    /// @brief Starts the regular exchange.
    void start();

    /// @brief Applies a message of another node.
    void on_message(const core::relay::quota_message& message);

    /// @brief The ledger, for request_engine::quotas.
    core::relay::quota_ledger ledger;

  private:
    void run_round();
    void update_division();
    void log_share();
    void count_messages();

    ports::runtime& runtime;
    ports::event_log& log;
    membership& members;
    core::relay::relay_counters& counters;
    core::relay::quota_counters counted;
    unsigned entry_count = 0;
    bool held_share = false;
    bool was_short = false;
};

} // namespace hawthornrelay::adapters::relay
