/// @file
/// @brief Applies changes of the store to the state of a node.
#pragma once

#include <functional>
#include <string>

#include <core/relay/node_directory.hpp>
#include <core/relay/request_engine.hpp>
#include <ports/event_log.hpp>
#include <ports/metadata_store.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Encodes a node's registration, the value of its key in the store.
std::string write_node_registration(const core::relay::node_record& self);

/// @brief Decodes changed items and passes them to the request engine or the
///        node directory. Each change is logged.
class store_change_handler
{
  public:
    /// @brief Called with the limits on callers of a new configuration.
    using limits_handler =
        std::function<void(const core::relay::caller_limits&)>;

    store_change_handler(ports::runtime& runtime,
                         core::relay::request_engine& engine,
                         core::relay::node_directory& nodes,
                         ports::event_log& log,
                         limits_handler on_limits);

    /// @brief Applies one changed or removed item; unknown keys are ignored.
    void apply(const ports::store_item& item);

  private:
    void on_configuration(const ports::store_item& item);
    void on_replica(const std::string& id, const ports::store_item& item);
    void on_node(const std::string& name, const ports::store_item& item);
    void on_quarantine(const std::string& text, const ports::store_item& item);

    ports::runtime& runtime;
    core::relay::request_engine& engine;
    core::relay::node_directory& nodes;
    ports::event_log& log;
    limits_handler on_limits;
};

} // namespace hawthornrelay::adapters::relay
