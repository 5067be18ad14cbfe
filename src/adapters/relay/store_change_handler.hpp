/// @file
/// @brief Applies changes of the store to the state of a node.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include <core/relay/node_directory.hpp>
#include <core/relay/request_engine.hpp>
#include <core/relay/rollout_manager.hpp>
#include <core/relay/unreadable_items.hpp>
#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Encodes a node's registration, the value of its key in the store.
std::string write_node_registration(const core::relay::node_record& self);

/// @brief Decodes changed items and passes them to the request engine or the
///        node directory. Each change is logged.
///
/// After a restore the store may contradict newer knowledge until operators and
/// replicas have written again. Versions and sequence numbers show what is
/// older; other items that would let requests reach a replica are deferred.
class store_change_handler
{
  public:
    /// @brief Called with the limits on callers of a new configuration.
    using limits_handler =
        std::function<void(const core::relay::caller_limits&)>;

    /// @brief Creates a handler; the references must outlive it.
    /// @param heartbeat_interval of replicas
    /// @param on_limits called for each new configuration
    store_change_handler(ports::runtime& runtime,
                         core::relay::request_engine& engine,
                         core::relay::node_directory& nodes,
                         ports::event_log& log,
                         std::chrono::milliseconds heartbeat_interval,
                         limits_handler on_limits);

    /// @brief Applies one changed or removed item; unknown keys are ignored.
    void apply(const ports::store_item& item);

    /// @brief Applies the items that were deferred and are due; to be called
    ///        regularly.
    void apply_due();

    /// @brief Follows the roll-outs; nullptr if they are not to be followed.
    core::relay::rollout_manager* rollouts = nullptr;

    /// @brief Called for a refusal that is in force but was lost by the store.
    std::function<void(core::base::fingerprint)> on_refusal_lost;

  private:
    struct deferred_item
    {
        ports::store_item item;
        core::base::time_point due_at{};
    };

    void dispatch(const ports::store_item& item);
    void dispatch_rollout(const ports::store_item& item);
    void defer(const ports::store_item& item);
    /// Counts an item that cannot be decoded, and logs it if it is new.
    /// @param subject the field of the log line that names the item
    void on_unreadable(core::base::log_event event,
                       const ports::store_item& item,
                       const ports::log_field& subject,
                       const core::base::error& error);
    void on_configuration(const ports::store_item& item);
    void on_zone(const std::string& zone, const ports::store_item& item);
    void on_replica(const std::string& id, const ports::store_item& item);
    void on_node(const std::string& name, const ports::store_item& item);
    void on_quarantine(const std::string& text, const ports::store_item& item);
    void on_rollout_order(const std::string& service,
                          const ports::store_item& item);
    void on_rollout_status(const std::string& service,
                           const ports::store_item& item);

    ports::runtime& runtime;
    core::relay::request_engine& engine;
    core::relay::node_directory& nodes;
    ports::event_log& log;
    std::chrono::milliseconds restored_item_delay;
    limits_handler on_limits;
    std::map<std::string, deferred_item> deferred;
    core::relay::unreadable_items unreadable;
};

} // namespace hawthornrelay::adapters::relay
