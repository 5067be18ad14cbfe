/// @file
/// @brief This node's place among the others: who runs, who serves callers,
///        from whom the store's state is read.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <adapters/relay/beacon.hpp>
#include <adapters/relay/source_switch.hpp>
#include <core/relay/entry_duty.hpp>
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

/// @brief Sends and hears beacons, keeps this node's key while it is an entry,
///        and chooses the source of the mirror.
class membership
{
  public:
    /// @brief What membership needs of its node.
    struct context
    {
        boost::asio::io_context& io;
        ports::runtime& runtime;
        ports::metadata_store& store;
        ports::event_log& log;
        const core::relay::store_mirror& mirror;
        core::relay::store_follower& follower;
        /// Tells whether this node could serve a caller.
        std::function<bool()> is_ready;
        /// Tells whether most replicas of other zones do not answer.
        std::function<bool()> is_cut_off;
        /// Crashes that requests met: to tell other nodes, and heard.
        std::function<std::vector<core::relay::crash_report>()> crashes_to_tell;
        std::function<void(const std::vector<core::relay::crash_report>&)>
            on_crashes;
        /// Called when the store begins to miss or refuse calls.
        std::function<void()> on_store_lost;
    };

    membership(context outside, const core::relay::relay_settings& settings);

    /// @brief Starts hearing other nodes.
    /// @return nothing, or connect_failed
    core::base::result<void> open();

    /// @brief Finds a source for the mirror and begins to tell others.
    void start();

    /// @brief Serves callers at once if an earlier run of this node did; call
    ///        it when the mirror has been filled.
    void on_mirror_complete();

    /// @brief Tells others at once that this node stops, and gives up its key.
    void stop();

    /// @brief Changes the nodes that are asked while none is known.
    void set_seeds(std::vector<std::string> addresses);

    /// @brief Logs what has fallen silent.
    void report_silent();

    /// @brief Which nodes run.
    core::relay::node_directory nodes;

    /// @brief Where the mirror is read.
    [[nodiscard]] std::string source_name() const
    {
        return this->source.name();
    }

  private:
    void find_source(core::base::time_point until);
    void tell_others();
    void update_self();
    void update_duty();
    void send_beacons();
    void on_heard(const core::relay::node_record& record);
    void on_store_reach(bool is_reachable, const std::string& reason);

    context outside;
    std::vector<std::string> seeds;
    bool is_seed;
    bool is_first_start;
    core::relay::entry_duty duty;
    beacon peers;
    core::relay::node_lease lease;
    source_switch source;
    bool is_stopping = false;
    unsigned rounds = 0;
};

} // namespace hawthornrelay::adapters::relay
