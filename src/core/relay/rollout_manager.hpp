/// @file
/// @brief The roll-outs of all services at one node.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/relay_counters.hpp>
#include <core/relay/replica_registry.hpp>
#include <core/relay/rollout.hpp>
#include <core/relay/rollout_control.hpp>
#include <core/relay/rollout_judge.hpp>
#include <core/relay/rollout_share.hpp>
#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Keys and encodings that the manager uses in the store.
struct rollout_store_format
{
    std::string decider_key;
    std::string status_prefix;
    std::function<std::string(const rollout_status&)> encode_status;
};

/// @brief Follows the orders and statuses in the store, exchanges counts and
///        grants with other nodes, and decides while this node holds the
///        decider's key.
class rollout_manager
{
  public:
    /// @brief Creates a manager without orders; the references must outlive it.
    rollout_manager(ports::runtime& runtime,
                    ports::metadata_store& store,
                    ports::event_log& log,
                    const replica_registry& registry,
                    relay_counters& counters,
                    std::string node_name,
                    rollout_store_format format);

    /// @brief Sets the bounds of the settings.
    void set_bounds(const rollout_bounds& bounds,
                    base::duration lease_duration);

    /// @brief Sets this node's place in the fleet.
    /// @param is_entry whether this node is an entry
    /// @param rank its rank among the entries, which orders the candidates for
    ///        the decider
    /// @param other_entries names of the other running entries
    void set_fleet(bool is_entry,
                   std::size_t rank,
                   std::set<std::string> other_entries);

    /// @brief Applies an order or its removal.
    void on_order(const std::string& service,
                  std::optional<rollout_order> order);

    /// @brief Applies a stored status, or its removal.
    /// @param service the service
    /// @param status the status
    /// @param is_restored whether a restored store contradicts what was known
    void on_status(const std::string& service,
                   std::optional<rollout_status> status,
                   bool is_restored);

    /// @brief Applies a stored status that cannot be decoded. What was known
    ///        stays in force, and the next status replaces the item.
    /// @param service the service
    /// @param revision the item's revision
    void on_unreadable_status(const std::string& service,
                              std::uint64_t revision);

    /// @brief Applies a change of the decider's key.
    /// @param name the decider, empty if there is none
    /// @param revision the key's revision if it exists and names no decider,
    ///        else 0
    void on_decider(const std::string& name, std::uint64_t revision = 0);

    /// @brief Applies the message of another node.
    void on_message(const std::string& node,
                    std::uint64_t incarnation,
                    const rollout_message& message);

    /// @brief Advances all open roll-outs; to be called before each message.
    void tick();

    /// @brief What to tell the other nodes; empty without an open roll-out.
    [[nodiscard]] rollout_message message_to_send() const;

    /// @brief The share of a service, nullptr if it has neither an order nor a
    ///        status.
    [[nodiscard]] rollout_share* share_of(const std::string& service);

    /// @brief Selects the replicas that may get the next send to a service.
    [[nodiscard]] version_choice split(const std::string& service,
                                       std::vector<replica_ptr> candidates,
                                       bool is_repeated);

    /// @brief Whether there is neither an open roll-out nor a duty to end.
    [[nodiscard]] bool is_idle() const;

    /// @brief Whether this node decides.
    [[nodiscard]] bool is_decider() const
    {
        return this->term != 0;
    }

  private:
    struct peer_state
    {
        std::uint32_t pending = 0;
        base::time_point heard_at{};
    };

    struct rollout
    {
        explicit rollout(const std::string& service) : share(service)
        {
        }

        rollout_share share;
        std::optional<rollout_control> control;
        rollout_judge judge;
        std::map<std::string, peer_state> peers;
        bool is_bad = false; ///< the verdict was bad once
        bool is_writing = false;
        base::time_point write_again_at{};
        base::time_point announced_until{}; ///< as completed
    };

    rollout& rollout_of(const std::string& service);
    [[nodiscard]] bool has_open() const;
    void reset(rollout& item);
    [[nodiscard]] std::set<std::string>
    versions_besides(const std::string& service,
                     const std::string& version) const;
    [[nodiscard]] bool has_target_replica(const std::string& service,
                                          const std::string& version) const;
    [[nodiscard]] bool is_drained(const rollout& item) const;
    void set_status(rollout& item, std::optional<rollout_status> status);
    void step(const std::string& service, rollout& item);
    void write(const std::string& service, rollout& item, rollout_state state);
    void on_written(const std::string& service,
                    const rollout_status& status,
                    const base::result<std::uint64_t>& written);
    void seek_decision();
    void take_decision(ports::lease_id created);
    void renew_lease();
    void end_decision(const std::string& reason);
    [[nodiscard]] rollout_grant own_state(const rollout& item) const;

    ports::runtime& runtime;
    ports::metadata_store& store;
    ports::event_log& log;
    const replica_registry& registry;
    relay_counters& counters;
    std::string node_name;
    rollout_store_format format;
    rollout_bounds bounds;
    base::duration lease_duration{};
    base::time_point ticked_at{};
    bool is_entry = false;
    std::size_t rank = 0;
    std::set<std::string> other_entries;
    std::map<std::string, rollout, std::less<>> rollouts;
    /// Revisions of stored statuses that cannot be decoded, by service.
    std::map<std::string, std::uint64_t> unreadable_statuses;
    std::string known_decider;
    /// Revision of the decider's key if it names no decider; 0 without a key.
    std::uint64_t vacant_revision = 0;
    base::time_point vacant_since{}; ///< no decider since
    bool is_calling = false;         ///< for the lease or the decider's key
    ports::lease_id lease = 0;
    std::uint64_t term = 0; ///< revision of the decider's key; 0: not decider
    base::time_point lease_sure_until{};
    base::time_point renew_at{};
};

} // namespace hawthornrelay::core::relay
