/// @file
/// @brief Turns keys of the store into what a node believes.
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

/// @brief The value that a node writes under its own key.
std::string write_node_entry(const core::relay::node_record& self);

/// @brief Decodes each changed key and hands it to the part that it concerns:
///        configuration, zones, replicas or nodes. Each change is logged.
class store_view
{
  public:
    /// @brief Told of the bounds on callers of a new configuration.
    using limits_handler =
        std::function<void(const core::relay::caller_limits&)>;

    store_view(ports::runtime& runtime,
               core::relay::request_engine& engine,
               core::relay::node_directory& nodes,
               ports::event_log& log,
               limits_handler on_limits);

    /// @brief Takes one changed or removed key.
    void apply(const ports::store_item& item);

  private:
    void on_configuration(const ports::store_item& item);
    void on_replica(const std::string& id, const ports::store_item& item);
    void on_node(const std::string& name, const ports::store_item& item);

    ports::runtime& runtime;
    core::relay::request_engine& engine;
    core::relay::node_directory& nodes;
    ports::event_log& log;
    limits_handler on_limits;
};

} // namespace hawthornrelay::adapters::relay
