/// @file
/// @brief Pool of persistent connections to replicas.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <core/relay/configuration.hpp>
#include <core/relay/relay_counters.hpp>
#include <ports/replica_transport.hpp>

namespace hawthornrelay::adapters::relay
{

class replica_connection;

/// @brief Persistent connections of this node to all replicas.
class replica_pool final : public ports::replica_transport
{
  public:
    /// @brief Creates an empty pool.
    /// @param io the context to run on; it must outlive this object
    /// @param counters count opened connections and probes; must outlive this
    ///        object
    /// @param memory limits the answers
    replica_pool(boost::asio::io_context& io,
                 core::relay::relay_counters& counters,
                 std::shared_ptr<core::relay::answer_memory> memory);
    ~replica_pool() override;

    std::uint64_t send(const core::relay::replica_ptr& to,
                       std::shared_ptr<const ports::forwarded_request> request,
                       core::base::duration time_left,
                       handler done) override;
    void cancel(std::uint64_t send) override;
    void check_health(
        const core::relay::replica_ptr& to,
        std::function<void(const ports::health_report&)> done) override;

    /// @brief Called with a replica that closed an idle connection, which may
    ///        mean that it restarted.
    std::function<void(const core::relay::replica_ptr&)> on_closed_by_peer;

    /// @brief Sets the limits on connections.
    /// @param config the configuration in force
    /// @param entry_count number of entries among which a replica's connections
    ///        are divided
    /// @param is_entry false for a standby, whose limit is half an entry's
    void set_bounds(core::relay::configuration_ptr config,
                    unsigned entry_count,
                    bool is_entry);

    /// @brief Opens a connection to a replica unless there is one.
    /// @param to the replica
    void keep_connected(const core::relay::replica_ptr& to);

    /// @brief Closes connections without a request to replicas that are no
    ///        longer registered.
    void close_removed();

    /// @brief Closes connections that have been idle for a while. An entry
    ///        keeps one to each replica, a standby none.
    void close_idle();

  private:
    friend class replica_connection;

    using replica_key = const core::relay::replica*;

    struct pooled_replica
    {
        core::relay::replica_ptr target;
        std::vector<std::shared_ptr<replica_connection>> connections;
    };

    [[nodiscard]] std::size_t
    max_connections_for(const core::relay::replica& to) const;
    std::shared_ptr<replica_connection> open(pooled_replica& pooled);
    std::shared_ptr<replica_connection>
    find_usable(pooled_replica& pooled, const std::string& request_id);
    void on_closed(replica_key target, const replica_connection* connection);

    boost::asio::io_context& io;
    core::relay::relay_counters& counters;
    std::shared_ptr<core::relay::answer_memory> memory;
    core::relay::configuration_ptr config;
    unsigned entry_count = 1;
    bool is_entry = true;
    std::map<replica_key, pooled_replica> replicas;
    std::map<std::uint64_t, std::weak_ptr<replica_connection>> sends;
    std::uint64_t next_send = 1;
};

} // namespace hawthornrelay::adapters::relay
