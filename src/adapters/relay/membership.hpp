/// @file
/// @brief Membership of the relay: running nodes, the role of this node and
///        the source of its mirror.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <adapters/relay/beacon_socket.hpp>
#include <adapters/relay/source_switch.hpp>
#include <core/relay/entry_role.hpp>
#include <core/relay/node_directory.hpp>
#include <core/relay/node_lease.hpp>
#include <core/relay/relay_settings.hpp>
#include <core/relay/store_follower.hpp>
#include <core/relay/store_mirror.hpp>
#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Exchanges beacons, keeps this node registered in the store while it
///        is an entry, and selects the source of the mirror.
class membership
{
  public:
    /// @brief Objects and callbacks of the node; they must outlive this object.
    struct dependencies
    {
        boost::asio::io_context& io;
        ports::runtime& runtime;
        ports::metadata_store& store;
        ports::event_log& log;
        const core::relay::store_mirror& mirror;
        core::relay::store_follower& follower;
        core::relay::store_availability& availability;
        core::relay::part_window& window;
        /// Whether this node can serve callers.
        std::function<bool()> is_ready;
        /// Whether most replicas of other zones are unreachable.
        std::function<bool()> is_cut_off;
        /// Crash reports to send with beacons, and those received from others.
        std::function<std::vector<core::relay::crash_report>()>
            crashes_to_report;
        std::function<void(const std::vector<core::relay::crash_report>&)>
            on_crashes;
        /// Roll-outs in progress, to send to other nodes, and those received.
        std::function<core::relay::rollout_message()> rollouts_to_report;
        std::function<void(const core::relay::node_record&)> on_rollouts;
        /// Called with each message about quotas; may be empty.
        std::function<void(const core::relay::quota_message&)> on_quota;
        /// Called when calls of the store begin to fail.
        std::function<void()> on_store_lost;
    };

    membership(dependencies deps, const core::relay::relay_settings& settings);

    /// @brief Starts receiving beacons.
    /// @return nothing, or connect_failed if the address cannot be used
    core::base::result<void> open();

    /// @brief Finds a source for the mirror and starts sending beacons.
    void start();

    /// @brief Must be called when the mirror has been filled. Makes the node an
    ///        entry at once if an earlier incarnation was one.
    void on_mirror_complete();

    /// @brief Announces that this node is stopping and ends its lease.
    void stop();

    /// @brief Changes the `ip:port` of the nodes that are asked while no other
    ///        node is known or the mirror is incomplete.
    void set_seeds(std::vector<std::string> addresses);

    /// @brief Sends a message about quotas to a known node.
    void send_quota(const std::string& node,
                    const core::relay::quota_message& message);

    /// @brief Logs the entries that have become silent since the last call.
    void log_silent_nodes();

    /// @brief The known nodes, this one included.
    core::relay::node_directory nodes;

    /// @brief True if the mirror's source is the store itself.
    [[nodiscard]] bool reads_store() const
    {
        return this->source.reads_store();
    }

    /// @brief Name of the mirror's source, for the log.
    [[nodiscard]] std::string source_name() const
    {
        return this->source.name();
    }

  private:
    void find_source(core::base::time_point until);
    void run_beacon_round();
    void update_self();
    void update_role();
    /// Records up to when the copy of the store is known to be complete.
    void update_copy_age();
    void send_beacons();
    /// Sends what other nodes need for the roll-outs in progress.
    void send_rollouts(const std::set<std::string>& addresses);
    void on_record(const core::relay::node_record& record);
    void on_store_status(bool is_reachable, const std::string& reason);

    dependencies deps;
    std::vector<std::string> seeds;
    bool is_seed;
    bool is_first_start;
    core::relay::entry_role role;
    beacon_socket beacons;
    core::relay::node_lease lease;
    source_switch source;
    bool is_stopping = false;
    unsigned rounds = 0;
};

} // namespace hawthornrelay::adapters::relay
