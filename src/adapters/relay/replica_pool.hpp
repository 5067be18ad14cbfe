/// @file
/// @brief Kept connections to replicas.
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

class replica_link;

/// @brief The connections of one node to all replicas.
class replica_pool final : public ports::replica_transport
{
  public:
    /// @brief Creates a pool without connections.
    /// @param io the context to run on; it must outlive this object
    /// @param counters where connections and probes are counted
    replica_pool(boost::asio::io_context& io,
                 core::relay::relay_counters& counters);
    ~replica_pool() override;

    std::uint64_t send(const core::relay::replica_ptr& to,
                       std::shared_ptr<const ports::forwarded_request> request,
                       core::base::duration time_left,
                       handler done) override;
    void cancel(std::uint64_t send) override;
    void check(const core::relay::replica_ptr& to,
               std::function<void(const ports::health_report&)> done) override;

    /// @brief Told of a replica that has dropped an idle connection, perhaps
    ///        because it restarted.
    std::function<void(const core::relay::replica_ptr&)> on_dropped;

    /// @brief Sets the bounds on connections.
    /// @param config the configuration in force
    /// @param entry_count entries that divide the connections of a replica
    /// @param is_entry false for a standby, which opens one when it must
    void set_bounds(core::relay::configuration_ptr config,
                    unsigned entry_count,
                    bool is_entry);

    /// @brief Keeps a connection open to each replica that may get work.
    /// @param to the replica
    void keep_warm(const core::relay::replica_ptr& to);

    /// @brief Closes the idle connections of replicas that are not listed any
    ///        more.
    void drop_removed();

    /// @brief Closes connections that have been idle for a while, for a node
    ///        that serves few requests.
    void close_idle();

  private:
    friend class replica_link;

    using key = const core::relay::replica*;

    struct entry
    {
        core::relay::replica_ptr target;
        std::vector<std::shared_ptr<replica_link>> links;
    };

    [[nodiscard]] std::size_t limit_for(const core::relay::replica& to) const;
    std::shared_ptr<replica_link> open(entry& place);
    std::shared_ptr<replica_link> take_idle(entry& place,
                                            const std::string& request_id);
    void on_closed(key target, const replica_link* link);

    boost::asio::io_context& io;
    core::relay::relay_counters& counters;
    core::relay::configuration_ptr config;
    unsigned entry_count = 1;
    bool is_entry = true;
    std::map<key, entry> entries;
    std::map<std::uint64_t, std::weak_ptr<replica_link>> sends;
    std::uint64_t next_send = 1;
};

} // namespace hawthornrelay::adapters::relay
