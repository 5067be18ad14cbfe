#include <adapters/relay/replica_pool.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <adapters/asio/listener.hpp>
#include <adapters/relay/replica_link.hpp>

namespace hawthornrelay::adapters::relay
{

using core::relay::relay_counter;
using core::relay::replica_ptr;
using core::relay::send_result;

namespace
{

/// Connections to a replica that the entries leave to the standbys.
constexpr unsigned unshared_connections = 2;

/// A standby closes connections that were not used for this time.
constexpr std::chrono::seconds standby_idle_time{2};

/// Connections to a replica of a service without a stated bound.
constexpr std::size_t default_connections = 8;

/// A replica is told whole milliseconds.
constexpr std::chrono::milliseconds least_time_left{1};

/// A health check without an answer in this time has failed.
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
                           core::relay::relay_counters& counters)
    : io(io), counters(counters)
{
}

replica_pool::~replica_pool()
{
    const auto left = std::exchange(this->entries, {});
    for (const auto& [target, place] : left)
    {
        for (const auto& link : place.links)
        {
            link->abort();
        }
    }
}

std::size_t replica_pool::limit_for(const core::relay::replica& to) const
{
    if (this->config != nullptr)
    {
        const auto service = this->config->services.find(to.record.service);
        if (service != this->config->services.end() &&
            service->second.max_connections > 0)
        {
            const auto shared =
                service->second.max_connections -
                std::min(service->second.max_connections, unshared_connections);
            const auto part = shared / this->entry_count;
            return std::max(1U, this->is_entry ? part : part / 2);
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

std::shared_ptr<replica_link> replica_pool::open(entry& place)
{
    const auto endpoint = asio::parse_endpoint(place.target->record.address);
    if (!endpoint || place.links.size() >= this->limit_for(*place.target))
    {
        return nullptr;
    }
    const key target = place.target.get();
    auto link = std::make_shared<replica_link>(
        this->io,
        [this, target](const replica_link* closed)
        {
            this->on_closed(target, closed);
        });
    place.links.push_back(link);
    this->counters.add(relay_counter::connections_opened);
    link->connect(*endpoint);
    return link;
}

std::shared_ptr<replica_link>
replica_pool::take_idle(entry& place, const std::string& request_id)
{
    std::shared_ptr<replica_link> connecting;
    for (auto it = place.links.rbegin(); it != place.links.rend(); ++it)
    {
        // A late second answer to an earlier send of the same request could
        // not be told from the one to this send.
        const bool may_confuse =
            !request_id.empty() && (*it)->last_request() == request_id;
        if ((*it)->is_idle() && !may_confuse)
        {
            return *it;
        }
        if ((*it)->is_free() && !may_confuse)
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
    // Handlers run after this function has returned, whatever the outcome.
    const auto refuse = [&](std::string reason)
    {
        boost::asio::post(this->io,
                          [done = std::move(done), reason = std::move(reason)]
                          {
                              done(not_sent(reason));
                          });
        return number;
    };
    if (time_left < least_time_left)
    {
        return refuse("no time left");
    }
    auto& place = this->entries[to.get()];
    place.target = to;
    auto link = this->take_idle(place, request->id);
    if (link == nullptr)
    {
        link = this->open(place);
    }
    if (link == nullptr)
    {
        return refuse("no connection left");
    }
    this->sends[number] = link;
    replica_link::job work;
    work.send = number;
    work.request = std::move(request);
    work.stops_at = std::chrono::steady_clock::now() + time_left;
    work.expected_replica = to->record.id;
    work.done = [this, number, done = std::move(done)](
                    const ports::send_outcome& outcome)
    {
        this->sends.erase(number);
        done(outcome);
    };
    link->start(std::move(work));
    return number;
}

void replica_pool::cancel(std::uint64_t send)
{
    const auto found = this->sends.find(send);
    if (found != this->sends.end())
    {
        const auto link = found->second.lock();
        this->sends.erase(found);
        if (link != nullptr)
        {
            link->abort();
        }
    }
}

void replica_pool::keep_warm(const replica_ptr& to)
{
    auto& place = this->entries[to.get()];
    place.target = to;
    if (place.links.empty())
    {
        this->open(place);
    }
}

void replica_pool::check(const replica_ptr& to,
                         std::function<void(const ports::health_report&)> done)
{
    this->counters.add(relay_counter::probes);
    auto question = std::make_shared<ports::forwarded_request>();
    question->method = "GET";
    question->target = "/healthz";
    question->host = to->record.address;
    if (this->config != nullptr)
    {
        const auto service = this->config->services.find(to->record.service);
        if (service != this->config->services.end())
        {
            question->target = service->second.health_path;
        }
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->io);
    const auto number =
        this->send(to,
                   std::move(question),
                   probe_timeout,
                   [done, timer](const ports::send_outcome& outcome)
                   {
                       timer->cancel();
                       const bool has_answered =
                           outcome.result == send_result::answered ||
                           outcome.result == send_result::shed;
                       done({has_answered,
                             has_answered && outcome.answer.status == 200,
                             outcome.cold_for});
                   });
    timer->expires_after(probe_timeout);
    timer->async_wait(
        [this, number, done, timer](const boost::system::error_code& error)
        {
            if (!error && this->sends.contains(number))
            {
                this->cancel(number);
                done({});
            }
        });
}

void replica_pool::drop_removed()
{
    std::vector<std::shared_ptr<replica_link>> closing;
    for (const auto& [target, place] : this->entries)
    {
        for (const auto& link : place.links)
        {
            if (target->is_removed && link->is_free())
            {
                closing.push_back(link);
            }
        }
    }
    for (const auto& link : closing)
    {
        link->close();
    }
    std::erase_if(this->entries,
                  [](const auto& item)
                  {
                      return item.second.target->is_removed &&
                             item.second.links.empty();
                  });
}

void replica_pool::close_idle()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<replica_link>> closing;
    for (const auto& [target, place] : this->entries)
    {
        for (const auto& link : place.links)
        {
            if (link->is_idle() && now - link->used_at() > standby_idle_time)
            {
                closing.push_back(link);
            }
        }
    }
    for (const auto& link : closing)
    {
        link->close();
    }
}

void replica_pool::on_closed(key target, const replica_link* link)
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end())
    {
        return;
    }
    if (link->was_dropped() && this->on_dropped)
    {
        boost::asio::post(this->io,
                          [this, replica = found->second.target]
                          {
                              this->on_dropped(replica);
                          });
    }
    std::erase_if(found->second.links,
                  [link](const std::shared_ptr<replica_link>& item)
                  {
                      return item.get() == link;
                  });
}

} // namespace hawthornrelay::adapters::relay
