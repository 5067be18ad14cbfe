/// @file
/// @brief Keeps a node's configuration and member list current, and decides
///        whether the node may act on them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <core/base/counters.hpp>
#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/config/store.hpp>
#include <core/membership/freshness.hpp>
#include <core/membership/member_list.hpp>
#include <core/messages.hpp>
#include <core/outbox.hpp>
#include <core/quarantine/crash_history.hpp>
#include <ports/event_log.hpp>
#include <ports/platform.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::control
{

/// @brief Intervals, timeouts and fan-out of the control plane.
struct control_limits
{
    membership::freshness_limits freshness;
    /// Time between two rounds of probes.
    base::duration tick = std::chrono::milliseconds(200);
    /// Peers probed in each round.
    std::size_t probes_per_tick = 1;
    /// Peers that a new change is pushed to at once.
    std::size_t push_fan_out = 3;
    /// Members of each zone that poll the platform continuously.
    std::size_t readers_per_zone = 2;
    /// How long one long-polling read waits for a change.
    base::duration watch_wait = std::chrono::milliseconds(400);
    /// Pause after a failed read.
    base::duration watch_pause = std::chrono::milliseconds(500);
    /// Maximum number of attestations in one probe reply. Keeps the gossip
    /// traffic of a node independent of the size of the fleet.
    std::size_t attestations_per_reply = 28;
    /// Upper bound of the random delay before a node removes a member whose
    /// process has ended.
    base::duration removal_spread = std::chrono::milliseconds(300);
    /// How long a suspected peer is avoided.
    base::duration suspect_for = std::chrono::milliseconds(500);
    /// How often a node reads the VM list while a member is unreachable.
    base::duration vm_list_interval = std::chrono::seconds(1);
};

/// @brief Collaborators and identity of a control plane.
struct control_context
{
    ports::runtime& runtime;
    ports::platform& platform;
    ports::event_log& log;
    outbox& out;
    base::counters& counters;
    quarantine::crash_history& crashes;
    membership::member self;
    std::uint64_t random_seed = 0;
};

/// @brief Summary of an applied configuration delta.
struct control_change
{
    bool members_changed = false;   ///< the member list changed
    std::size_t member_changes = 0; ///< number of rows that changed
};

/// @brief Runs one node's part of the membership and configuration protocols:
///        gossip, reads of the platform, and removal of failed members.
class control_plane
{
  public:
    /// @brief Called after the configuration in force has advanced.
    using change_handler = std::function<void(const control_change&)>;

    /// @brief Creates a control plane with an empty configuration.
    /// @param context its collaborators
    /// @param limits its intervals and timeouts
    control_plane(control_context context, control_limits limits);

    /// @brief Starts reading the platform, probing peers and joining.
    /// @param on_change called after each change
    /// @param on_tick called on each tick, after the control plane's own work
    void start(change_handler on_change, std::function<void()> on_tick);

    /// @brief Marks this node as leaving: it is assigned no new shares, and its
    ///        address is no longer given to callers.
    void leave();

    /// @brief Marks this node as removed; the last write of a graceful
    ///        shutdown.
    /// @param done called once the write has succeeded or failed
    void remove_self(std::function<void()> done);

    /// @brief Tells whether this node may take new work.
    /// @return false while its configuration may be outdated
    [[nodiscard]] bool may_act() const;

    /// @brief Marks a peer as suspected: it did not answer, or its link broke.
    /// @param id the peer
    void suspect(const base::node_id& id);

    /// @brief Records that a peer's address refuses connections. The listed
    ///        process has then ended: a process that is paused or partitioned
    ///        does not refuse connections.
    /// @param id the peer
    void record_ended(const base::node_id& id);

    /// @brief The time bounds of the membership rules.
    [[nodiscard]] const membership::freshness_limits& bounds() const
    {
        return this->freshness.bounds();
    }

    /// @brief Ends the suspicion of a peer that has sent a message.
    /// @param id the peer
    void on_received(const base::node_id& id)
    {
        this->suspected_until.erase(id);
    }

    /// @brief Tells whether a recent attestation of a peer is known.
    /// @param id the peer
    /// @return false once the attestation is older than `attested_for`, and
    ///         for `suspect_for` after suspect() unless the peer sends a
    ///         message
    [[nodiscard]] bool is_reachable(const base::node_id& id) const;

    /// @brief Tells whether a node has announced its shutdown.
    /// @param id the node
    /// @return true once an attestation that says so was received
    [[nodiscard]] bool is_stopping(const base::node_id& id) const;

    /// @brief Nodes known to have a revision in force.
    /// @param revision the revision
    /// @return their names
    [[nodiscard]] std::vector<base::node_id>
    nodes_with(base::revision revision) const;

    /// @brief Tells whether a majority has a revision in force.
    /// @param revision the revision
    /// @return true once no node that lacks the change can act
    [[nodiscard]] bool majority_has(base::revision revision) const;

    /// @brief The newest epoch that every acting node has in force.
    /// @return the epoch, 0 before the first
    [[nodiscard]] base::revision fenced_epoch() const
    {
        return this->fenced;
    }

    /// @brief Reads the platform at once, even if this node is not one of its
    ///        zone's readers.
    void read_now();

    /// @brief Applies a delta from any source.
    /// @param change the delta
    void apply(const config::delta& change);

    /// @brief Answers a peer's probe.
    void on_probe(const base::node_id& from, const messages::probe& probe);

    /// @brief Merges the answer to a probe.
    void on_probe_reply(const base::node_id& from,
                        const messages::probe_reply& reply);

    /// @brief Sends a peer the changes it requested.
    void on_pull(const base::node_id& from, const messages::config_pull& pull);

    /// @brief Applies changes pushed by a peer, or requests those before them.
    void on_push(const base::node_id& from, const messages::config_push& push);

    /// @brief The configuration in force.
    [[nodiscard]] const config::store& store() const
    {
        return this->config_store;
    }

    /// @brief The member list in force.
    [[nodiscard]] const membership::member_list& members() const
    {
        return this->list;
    }

    /// @brief This node's own record, possibly not yet written to the platform.
    [[nodiscard]] const membership::member& self() const
    {
        return this->context.self;
    }

    /// @brief Tells whether, when this node joined, an earlier incarnation of
    ///        it was listed that had not shut down gracefully.
    [[nodiscard]] bool replaced_unclean_incarnation() const
    {
        return this->had_unclean_predecessor;
    }

    /// @brief Tells whether the member list has this node's current record.
    [[nodiscard]] bool has_joined() const;

  private:
    struct pending_epoch
    {
        base::revision epoch = 0;
        bool is_settled = false;
        base::time_point settled_at;
    };

    void tick();
    void attest();
    void probe_peers();
    void watch();
    void on_watch(base::time_point sent_at,
                  const base::result<config::delta>& answer);
    [[nodiscard]] bool should_read() const;
    void ensure_joined();
    void write_self();
    void remove_silent();
    void remove_member(const membership::member_list::row& row,
                       const char* reason);
    [[nodiscard]] bool is_silent(const base::node_id& id) const;
    [[nodiscard]] bool is_whole_zone_silent(const std::string& zone) const;
    [[nodiscard]] bool is_reaper_of(const base::node_id& id) const;
    void read_vm_list();
    void settle_epochs();
    void push_to_some(const config::delta& change);
    void log_change(const config::delta& change);
    [[nodiscard]] std::vector<base::node_id> other_members() const;
    [[nodiscard]] bool is_gone(const membership::member& record) const;
    [[nodiscard]] bool has_ended(const membership::member& record) const;
    std::uint64_t random();

    control_context context;
    control_limits limits;
    config::store config_store;
    membership::member_list list;
    membership::freshness freshness;
    change_handler on_change;
    std::function<void()> on_tick;

    std::map<std::uint64_t, base::time_point> probes_in_flight;
    std::uint64_t next_probe_id;
    std::uint64_t random_state;
    base::time_point started_at;
    bool watching = false;
    bool platform_was_away = false;
    base::time_point next_watch;
    base::time_point platform_back_since;
    base::time_point next_vm_list;
    std::set<std::string> gone_vms;
    bool writing_self = false;
    bool had_unclean_predecessor = false;
    struct ended_incarnation
    {
        base::incarnation incarnation = 0;
        base::time_point remove_at; ///< randomised, so that few nodes write
    };

    std::set<base::node_id> removing;
    std::map<base::node_id, ended_incarnation> ended_members;
    std::map<base::node_id, base::time_point> suspected_until;
    std::vector<pending_epoch> pending_epochs;
    base::revision settled_epoch = 0;
    base::revision fenced = 0;
};

} // namespace hawthornrelay::core::control
