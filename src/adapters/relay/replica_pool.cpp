#include <adapters/relay/replica_pool.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <adapters/asio/socket.hpp>
#include <adapters/relay/replica_connection.hpp>

namespace hawthornrelay::adapters::relay
{

using core::relay::relay_counter;
using core::relay::replica_ptr;
using core::relay::send_result;

namespace
{

/// Connections to each replica that entries reserve for standbys.
constexpr unsigned standby_connections = 2;

/// A standby closes connections that have been idle for longer. Most nodes of a
/// large fleet are standbys, so their connections would fill a replica.
constexpr std::chrono::milliseconds standby_idle_timeout{250};

/// An entry keeps one connection to each replica and closes others that have
/// been idle for longer. They were opened for a burst, and a replica does not
/// notice that they are gone when this VM loses power.
constexpr std::chrono::seconds surplus_idle_timeout{3};

/// Limit for replicas of a service that sets none.
constexpr std::size_t default_connections = 8;

/// The time left is sent to replicas in whole milliseconds.
constexpr std::chrono::milliseconds min_time_left{1};

/// A health check that takes longer has failed.
constexpr std::chrono::milliseconds probe_timeout{250};

ports::send_outcome not_sent(std::string detail)
{
    ports::send_outcome outcome;
    outcome.result = send_result::not_sent;
    outcome.detail = std::move(detail);
    return outcome;
}

} // namespace

replica_pool::replica_pool(boost::asio::io_context& io,
                           core::relay::relay_counters& counters,
                           std::shared_ptr<core::relay::answer_memory> memory)
    : io(io), counters(counters), memory(std::move(memory))
{
}

replica_pool::~replica_pool()
{
    const auto remaining = std::exchange(this->replicas, {});
    for (const auto& [target, pooled] : remaining)
    {
        for (const auto& connection : pooled.connections)
        {
            connection->abort();
        }
    }
}

std::size_t
replica_pool::max_connections_for(const core::relay::replica& to) const
{
    if (this->config != nullptr)
    {
        const auto service = this->config->services.find(to.record.service);
        if (service != this->config->services.end() &&
            service->second.max_connections > 0)
        {
            const auto divided =
                service->second.max_connections -
                std::min(service->second.max_connections, standby_connections);
            const auto entry_limit = divided / this->entry_count;
            return std::max(1U, this->is_entry ? entry_limit : entry_limit / 2);
        }
    }
    return default_connections;
}

void replica_pool::set_bounds(core::relay::configuration_ptr config,
                              unsigned entry_count,
                              bool is_entry)
{
    this->config = std::move(config);
    this->entry_count = std::max(1U, entry_count);
    this->is_entry = is_entry;
}

std::shared_ptr<replica_connection> replica_pool::open(pooled_replica& pooled)
{
    const auto endpoint = asio::parse_endpoint(pooled.target->record.address);
    if (!endpoint ||
        pooled.connections.size() >= this->max_connections_for(*pooled.target))
    {
        return nullptr;
    }
    const replica_key target = pooled.target.get();
    auto connection = std::make_shared<replica_connection>(
        this->io,
        this->memory,
        [this, target](const replica_connection* closed)
        {
            this->on_closed(target, closed);
        });
    pooled.connections.push_back(connection);
    this->counters.add(relay_counter::connections_opened);
    connection->connect(*endpoint);
    return connection;
}

std::shared_ptr<replica_connection>
replica_pool::find_usable(pooled_replica& pooled, const std::string& request_id)
{
    std::shared_ptr<replica_connection> connecting;
    for (auto it = pooled.connections.rbegin(); it != pooled.connections.rend();
         ++it)
    {
        // A connection that carried the same request before is skipped: a late
        // duplicate answer could not be distinguished from the answer to this
        // attempt. The same holds for a health check after another one.
        const bool is_ambiguous = (*it)->last_request() == request_id;
        if ((*it)->is_idle() && !is_ambiguous)
        {
            return *it;
        }
        if ((*it)->is_free() && !is_ambiguous)
        {
            connecting = *it;
        }
    }
    return connecting;
}

std::uint64_t
replica_pool::send(const replica_ptr& to,
                   std::shared_ptr<const ports::forwarded_request> request,
                   core::base::duration time_left,
                   handler done)
{
    const auto number = this->next_send++;
    // Posted, since handlers must not run before send() returns.
    const auto refuse = [&](std::string reason)
    {
        boost::asio::post(this->io,
                          [done = std::move(done), reason = std::move(reason)]
                          {
                              done(not_sent(reason));
                          });
        return number;
    };
    if (time_left < min_time_left)
    {
        return refuse("no time left");
    }
    auto& pooled = this->replicas[to.get()];
    pooled.target = to;
    auto connection = this->find_usable(pooled, request->id);
    if (connection == nullptr)
    {
        connection = this->open(pooled);
    }
    if (connection == nullptr)
    {
        return refuse("no connection available");
    }
    this->sends[number] = connection;
    replica_connection::job work;
    work.send = number;
    work.request = std::move(request);
    work.deadline = std::chrono::steady_clock::now() + time_left;
    work.expected_replica = to->record.id;
    work.done = [this, number, done = std::move(done)](
                    const ports::send_outcome& outcome)
    {
        this->sends.erase(number);
        done(outcome);
    };
    connection->start(std::move(work));
    return number;
}

void replica_pool::cancel(std::uint64_t send)
{
    const auto found = this->sends.find(send);
    if (found != this->sends.end())
    {
        const auto connection = found->second.lock();
        this->sends.erase(found);
        if (connection != nullptr)
        {
            connection->abort();
        }
    }
}

void replica_pool::keep_connected(const replica_ptr& to)
{
    auto& pooled = this->replicas[to.get()];
    pooled.target = to;
    if (pooled.connections.empty())
    {
        this->open(pooled);
    }
}

void replica_pool::check_health(
    const replica_ptr& to,
    std::function<void(const ports::health_report&)> done)
{
    this->counters.add(relay_counter::probes);
    auto probe = std::make_shared<ports::forwarded_request>();
    probe->method = "GET";
    probe->target = "/healthz";
    probe->host = to->record.address;
    if (this->config != nullptr)
    {
        const auto service = this->config->services.find(to->record.service);
        if (service != this->config->services.end())
        {
            probe->target = service->second.health_path;
        }
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->io);
    const auto number =
        this->send(to,
                   std::move(probe),
                   probe_timeout,
                   [done, timer](const ports::send_outcome& outcome)
                   {
                       timer->cancel();
                       const bool has_answered =
                           outcome.result == send_result::answered ||
                           outcome.result == send_result::shed;
                       done({has_answered,
                             has_answered && outcome.answer.status == 200,
                             outcome.warm_up_left,
                             outcome.is_unreachable ||
                                 outcome.result == send_result::other_replica,
                             outcome.rate_limit,
                             outcome.is_leaving,
                             outcome.load});
                   });
    timer->expires_after(probe_timeout);
    timer->async_wait(
        [this, number, done, timer](const boost::system::error_code& error)
        {
            const auto sent = this->sends.find(number);
            if (!error && sent != this->sends.end())
            {
                const auto connection = sent->second.lock();
                ports::health_report report;
                report.is_gone =
                    connection != nullptr && connection->is_connecting();
                this->cancel(number);
                done(report);
            }
        });
}

void replica_pool::close_removed()
{
    std::vector<std::shared_ptr<replica_connection>> to_close;
    for (const auto& [target, pooled] : this->replicas)
    {
        for (const auto& connection : pooled.connections)
        {
            if (target->is_removed && connection->is_free())
            {
                to_close.push_back(connection);
            }
        }
    }
    for (const auto& connection : to_close)
    {
        connection->close();
    }
    std::erase_if(this->replicas,
                  [](const auto& item)
                  {
                      return item.second.target->is_removed &&
                             item.second.connections.empty();
                  });
}

void replica_pool::close_idle()
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::milliseconds timeout =
        this->is_entry ? std::chrono::milliseconds(surplus_idle_timeout)
                       : standby_idle_timeout;
    std::vector<std::shared_ptr<replica_connection>> to_close;
    for (const auto& [target, pooled] : this->replicas)
    {
        // find_usable() prefers the newest connection, so that one is kept.
        const std::size_t kept = this->is_entry ? 1 : 0;
        const auto& open = pooled.connections;
        for (std::size_t i = 0; i + kept < open.size(); ++i)
        {
            if (open[i]->is_idle() && now - open[i]->used_at() > timeout)
            {
                to_close.push_back(open[i]);
            }
        }
    }
    for (const auto& connection : to_close)
    {
        connection->close();
    }
}

void replica_pool::on_closed(replica_key target,
                             const replica_connection* connection)
{
    const auto found = this->replicas.find(target);
    if (found == this->replicas.end())
    {
        return;
    }
    if (connection->was_closed_by_peer() && this->on_closed_by_peer)
    {
        boost::asio::post(this->io,
                          [this, replica = found->second.target]
                          {
                              this->on_closed_by_peer(replica);
                          });
    }
    std::erase_if(found->second.connections,
                  [connection](const std::shared_ptr<replica_connection>& item)
                  {
                      return item.get() == connection;
                  });
}

} // namespace hawthornrelay::adapters::relay
