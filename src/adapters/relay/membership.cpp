#include <adapters/relay/membership.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <adapters/relay/store_view.hpp>
#include <platform/names.hpp>

namespace hawthornrelay::adapters::relay
{

using core::base::log_event;
using core::relay::node_record;

namespace
{

/// Interval of the messages between entries; three may be lost before one is
/// taken for silent.
constexpr std::chrono::milliseconds beacon_interval{200};

/// A standby asks its entries once in so many intervals.
constexpr unsigned standby_rounds = 3;

/// A node waits this long for another node's mirror before it lists the store
/// itself. At the first start all nodes start together and nobody is served
/// yet; later a seed that runs answers within a round trip.
constexpr std::chrono::milliseconds seed_wait_at_first_start{1000};
constexpr std::chrono::milliseconds seed_wait{30};

/// Interval of asking seeds while the mirror is empty.
constexpr std::chrono::milliseconds seed_interval{15};

/// Time for a node of the own zone to answer after a referral.
constexpr std::chrono::milliseconds referral_wait{10};

std::uint64_t new_run()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

node_record self_of(const core::relay::relay_settings& from)
{
    node_record record;
    record.name = from.node_name;
    record.run = new_run();
    record.zone = from.zone;
    record.callers = from.callers.text();
    record.peers = from.peers.text();
    record.millicores = from.millicores;
    return record;
}

} // namespace

membership::membership(context from,
                       const core::relay::relay_settings& settings)
    : nodes(self_of(settings)), outside(std::move(from)), seeds(settings.seeds),
      is_seed(settings.is_seed), is_first_start(settings.is_first_start),
      duty(this->nodes.self(), settings.zone_count),
      peers(this->outside.io,
            [this](const node_record& record)
            {
                this->on_heard(record);
            }),
      lease(this->outside.runtime,
            this->outside.store,
            std::string(platform::names::node_prefix) + settings.node_name,
            write_node_entry(this->nodes.self()),
            settings.shortest_lease,
            [this](bool is_reachable, const std::string& reason)
            {
                this->on_store_reach(is_reachable, reason);
            }),
      source(this->outside.io,
             this->outside.runtime,
             this->outside.store,
             this->outside.follower,
             this->outside.log)
{
}

core::base::result<void> membership::open()
{
    return this->peers.open(this->nodes.self().peers);
}

void membership::start()
{
    if (this->is_seed || this->seeds.empty())
    {
        this->source.follow_store();
    }
    else
    {
        this->find_source(
            this->outside.runtime.now() +
            (this->is_first_start ? seed_wait_at_first_start : seed_wait));
    }
    this->tell_others();
}

void membership::find_source(core::base::time_point until)
{
    if (this->outside.mirror.is_complete() || this->is_stopping)
    {
        return;
    }
    const bool is_over = this->outside.runtime.now() >= until;
    if (is_over && !this->source.has_source())
    {
        this->source.follow_store();
    }
    this->send_beacons();
    this->outside.runtime.call_after(seed_interval,
                                     [this, until]
                                     {
                                         this->find_source(until);
                                     });
}

void membership::on_store_reach(bool is_reachable, const std::string& reason)
{
    if (is_reachable)
    {
        this->outside.log.write(log_event::store_regained, {});
        return;
    }
    this->outside.on_store_lost();
    this->outside.log.write(log_event::store_lost, {{"reason", reason}});
}

void membership::on_heard(const node_record& record)
{
    const auto now = this->outside.runtime.now();
    if (this->nodes.on_heard(record, now) && record.is_entry)
    {
        this->outside.log.write(log_event::node_heard, {{"peer", record.name}});
    }
    this->outside.on_crashes(record.crashes);
    if (record.wants_reply)
    {
        this->update_self();
        auto reply = this->nodes.self();
        reply.wants_reply = false;
        if (reply.is_entry)
        {
            reply.silent_entries = this->nodes.silent_entries(now);
        }
        if (!record.is_ready)
        {
            reply.referral = this->nodes.referral_for(record, now);
        }
        this->peers.send(record.peers, reply);
    }
    // The mirror of any node is better than none, also while calls of the
    // store have not failed yet.
    const bool is_wanted = !this->outside.mirror.is_complete() &&
                           record.is_ready && !this->is_stopping;
    if (!is_wanted)
    {
        return;
    }
    if (record.referral.empty() || this->source.has_source())
    {
        this->source.update(this->nodes, false);
        return;
    }
    // A listing is large; one from the own zone crosses no zones.
    auto question = this->nodes.self();
    question.wants_reply = true;
    this->peers.send(record.referral, question);
    this->outside.runtime.call_after(referral_wait,
                                     [this]
                                     {
                                         if (!this->source.has_source())
                                         {
                                             this->source.update(this->nodes,
                                                                 false);
                                         }
                                     });
}

void membership::on_mirror_complete()
{
    if (!this->duty.is_entry() && this->nodes.has_earlier_run())
    {
        this->update_duty();
        this->update_self();
        this->send_beacons();
    }
}

void membership::set_seeds(std::vector<std::string> addresses)
{
    this->seeds = std::move(addresses);
}

void membership::report_silent()
{
    for (const auto& name :
         this->nodes.take_silent(this->outside.runtime.now()))
    {
        this->outside.log.write(log_event::node_silent, {{"peer", name}});
    }
}

void membership::update_self()
{
    const auto now = this->outside.runtime.now();
    auto& self = this->nodes.self_to_change();
    self.is_stopping = this->is_stopping;
    self.is_ready = !this->is_stopping && this->outside.is_ready();
    self.is_entry = this->duty.is_entry();
    self.is_cut_off = self.is_entry && this->outside.is_cut_off();
    self.wants_reply = !self.is_entry;
    self.crashes = this->outside.crashes_to_tell();
    self.reads_store = this->source.reads_store();
    // A renewed lease shows that the path to the store is whole.
    const auto known_at = std::max(this->outside.follower.answered_at(),
                                   this->lease.answered_at());
    self.store_age =
        this->source.age(this->nodes, now).value_or(now - known_at);
}

void membership::update_duty()
{
    const auto now = this->outside.runtime.now();
    const bool was_entry = this->duty.is_entry();
    if (this->nodes.has_earlier_run())
    {
        this->duty.resume();
    }
    const auto others = this->nodes.running_entries(now);
    const bool may_serve = !this->is_stopping && this->outside.is_ready();
    if (this->duty.update(others, may_serve, now) == was_entry)
    {
        return;
    }
    this->outside.log.write(
        was_entry ? log_event::entry_left : log_event::entry_joined,
        {{"entries", std::to_string(others.size() + 1)},
         {"millicores", std::to_string(this->nodes.self().millicores)}});
    if (was_entry)
    {
        this->lease.stop();
    }
    else
    {
        this->lease.start();
    }
}

void membership::tell_others()
{
    this->update_duty();
    this->update_self();
    if (this->source.has_source())
    {
        this->source.update(this->nodes, this->lease.is_reachable());
    }
    if (this->duty.is_entry() || this->rounds++ % standby_rounds == 0)
    {
        this->send_beacons();
    }
    this->outside.runtime.call_after(beacon_interval,
                                     [this]
                                     {
                                         this->tell_others();
                                     });
}

void membership::send_beacons()
{
    std::set<std::string> addresses;
    for (const auto& other : this->nodes.to_tell())
    {
        addresses.insert(other.peers);
    }
    if (const auto followed = this->source.address(); !followed.empty())
    {
        addresses.insert(followed);
    }
    // A node that the store refuses finds others by its seeds.
    const bool needs_seeds =
        addresses.empty() || !this->outside.mirror.is_complete();
    if (needs_seeds)
    {
        addresses.insert(this->seeds.begin(), this->seeds.end());
    }
    auto message = this->nodes.self();
    message.wants_reply = message.wants_reply || needs_seeds;
    for (const auto& address : addresses)
    {
        this->peers.send(address, message);
    }
}

void membership::stop()
{
    this->is_stopping = true;
    this->update_self();
    this->lease.stop();
    this->send_beacons();
    // Those who ask hear of it before they ask again.
    for (const auto& asking : this->nodes.heard(this->outside.runtime.now()))
    {
        this->peers.send(asking.peers, this->nodes.self());
    }
}

} // namespace hawthornrelay::adapters::relay
