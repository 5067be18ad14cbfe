/// @file
/// @brief A relay process: its listeners, state and timers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <core/base/result.hpp>
#include <core/relay/relay_settings.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Serves callers of the users' platform until it is stopped.
class relay_node
{
  public:
    /// @brief Creates a node; start() opens its listeners.
    /// @param io the context to run on; it must outlive this object
    /// @param settings the node's settings
    static std::unique_ptr<relay_node>
    create(boost::asio::io_context& io, core::relay::relay_settings settings);

    relay_node(const relay_node&) = delete;
    relay_node& operator=(const relay_node&) = delete;
    virtual ~relay_node() = default;

    /// @brief Opens the listeners and starts following the store.
    /// @return nothing, or connect_failed when an address cannot be used
    virtual core::base::result<void> start() = 0;

    /// @brief Applies changed bounds, times and seeds. Other changes need a
    ///        restart and are ignored.
    /// @param changed the settings as read again
    virtual void reload(const core::relay::relay_settings& changed) = 0;

    /// @brief Leaves the directory and keeps serving until all connections
    ///        are closed or the grace time has passed.
    /// @param done called when the process may exit
    virtual void stop(std::function<void()> done) = 0;

  protected:
    relay_node() = default;
};

} // namespace hawthornrelay::adapters::relay
