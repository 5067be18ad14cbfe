/// @file
/// @brief One relay process: its listeners, beliefs and timers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <core/base/result.hpp>
#include <core/relay/relay_settings.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Serves callers on the users' platform until it is stopped.
class relay_node
{
  public:
    /// @brief Creates a node that does nothing yet.
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

    /// @brief Puts changed settings in force: bounds and times. Addresses and
    ///        names stay those of the start.
    virtual void reload(const core::relay::relay_settings& changed) = 0;

    /// @brief Leaves the directory, serves what still comes, then calls back.
    /// @param done called when the process may end
    virtual void stop(std::function<void()> done) = 0;

  protected:
    relay_node() = default;
};

} // namespace hawthornrelay::adapters::relay
