#include <adapters/relay/membership.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include <adapters/relay/store_change_handler.hpp>
#include <platform/names.hpp>

namespace hawthornrelay::adapters::relay
{

using core::base::log_event;
using core::relay::node_record;

namespace
{

/// Interval of the beacons between entries; three may be lost before an entry
/// counts as silent.
constexpr std::chrono::milliseconds beacon_interval{200};

/// A standby sends beacons once in this many rounds.
constexpr unsigned rounds_per_standby_beacon = 3;

/// How long a node waits for another node's mirror before it lists the store
/// itself. At the first start all nodes start together and there are no callers
/// yet; later a running seed answers within one round trip.
constexpr std::chrono::milliseconds seed_wait_at_first_start{1000};
constexpr std::chrono::milliseconds seed_wait{30};

/// Grants and counts of roll-outs in one datagram of at most 1,500 bytes. Each
/// takes 48 bytes or less, and the record of the node up to 400.
constexpr std::size_t max_rollout_rows = 20;

/// Interval of beacons to the seeds while the mirror is empty.
constexpr std::chrono::milliseconds seed_interval{15};

/// How long a node in the same zone may take to answer after a referral.
constexpr std::chrono::milliseconds referral_wait{10};

std::uint64_t new_incarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

node_record make_self(const core::relay::relay_settings& settings)
{
    node_record record;
    record.name = settings.node_name;
    record.incarnation = new_incarnation();
    record.zone = settings.zone;
    record.caller_address = settings.caller_address.text();
    record.peers = settings.peers.text();
    record.millicores = settings.millicores;
    return record;
}

} // namespace

membership::membership(dependencies deps,
                       const core::relay::relay_settings& settings)
    : nodes(make_self(settings)), deps(std::move(deps)), seeds(settings.seeds),
      is_seed(settings.is_seed), is_first_start(settings.is_first_start),
      role(this->nodes.self(), settings.zone_count),
      beacons(
          this->deps.io,
          [this](const node_record& record)
          {
              this->on_record(record);
          },
          [this](const core::relay::quota_message& message)
          {
              if (this->deps.on_quota)
              {
                  this->deps.on_quota(message);
              }
          }),
      lease(this->deps.runtime,
            this->deps.store,
            std::string(platform::names::node_prefix) + settings.node_name,
            write_node_registration(this->nodes.self()),
            settings.min_lease,
            this->deps.availability,
            this->deps.window,
            [this](bool is_reachable, const std::string& reason)
            {
                this->on_store_status(is_reachable, reason);
            }),
      source(this->deps.io,
             this->deps.runtime,
             this->deps.store,
             this->deps.follower,
             this->deps.log)
{
}

core::base::result<void> membership::open()
{
    return this->beacons.open(this->nodes.self().peers);
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
            this->deps.runtime.now() +
            (this->is_first_start ? seed_wait_at_first_start : seed_wait));
    }
    this->run_beacon_round();
}

void membership::find_source(core::base::time_point until)
{
    if (this->deps.mirror.is_complete() || this->is_stopping)
    {
        return;
    }
    const bool is_wait_over = this->deps.runtime.now() >= until;
    if (is_wait_over && !this->source.has_source())
    {
        this->source.follow_store();
    }
    this->send_beacons();
    this->deps.runtime.call_after(seed_interval,
                                  [this, until]
                                  {
                                      this->find_source(until);
                                  });
}

void membership::on_store_status(bool is_reachable, const std::string& reason)
{
    if (is_reachable)
    {
        this->deps.log.write(log_event::store_regained, {});
        return;
    }
    this->deps.on_store_lost();
    this->deps.log.write(log_event::store_lost, {{"reason", reason}});
}

void membership::on_record(const node_record& record)
{
    const auto now = this->deps.runtime.now();
    if (this->nodes.on_beacon(record, now) && record.is_entry)
    {
        this->deps.log.write(log_event::node_heard, {{"peer", record.name}});
    }
    this->deps.on_crashes(record.crashes);
    this->deps.on_rollouts(record);
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
        this->beacons.send(record.peers, reply);
        this->send_rollouts({record.peers});
    }
    // An incomplete mirror is filled from any ready node, even if calls of the
    // store have not failed yet.
    const bool needs_mirror = !this->deps.mirror.is_complete() &&
                              record.is_ready && !this->is_stopping;
    if (!needs_mirror)
    {
        return;
    }
    if (record.referral.empty() || this->source.has_source())
    {
        this->source.update(this->nodes, false);
        return;
    }
    // Listings are large, so one from the same zone is preferred.
    auto request = this->nodes.self();
    request.wants_reply = true;
    this->beacons.send(record.referral, request);
    this->deps.runtime.call_after(referral_wait,
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
    if (!this->role.is_entry() && this->nodes.has_earlier_incarnation())
    {
        this->update_role();
        this->update_self();
        this->send_beacons();
    }
}

void membership::set_seeds(std::vector<std::string> addresses)
{
    this->seeds = std::move(addresses);
}

void membership::send_quota(const std::string& node,
                            const core::relay::quota_message& message)
{
    const auto address = this->nodes.peers_address(node);
    if (!address.empty())
    {
        this->beacons.send(address, message);
    }
}

void membership::log_silent_nodes()
{
    for (const auto& name :
         this->nodes.take_newly_silent(this->deps.runtime.now()))
    {
        this->deps.log.write(log_event::node_silent, {{"peer", name}});
    }
}

void membership::update_self()
{
    const auto now = this->deps.runtime.now();
    auto& self = this->nodes.mutable_self();
    self.is_stopping = this->is_stopping;
    self.is_ready = !this->is_stopping && this->deps.is_ready();
    self.is_entry = this->role.is_entry();
    self.is_cut_off = self.is_entry && this->deps.is_cut_off();
    self.wants_reply = !self.is_entry;
    self.crashes = this->deps.crashes_to_report();
    self.reads_store = this->source.reads_store();
    // A renewed lease also shows that the store is reachable.
    const auto known_at =
        std::max(this->deps.follower.answered_at(), this->lease.answered_at());
    self.store_age =
        this->source.age(this->nodes, now).value_or(now - known_at);
}

void membership::update_copy_age()
{
    if (const auto& at = this->deps.follower.current_at())
    {
        this->deps.window.on_copy_current(*at);
    }
}

void membership::update_role()
{
    const auto now = this->deps.runtime.now();
    const bool was_entry = this->role.is_entry();
    if (this->nodes.has_earlier_incarnation())
    {
        this->role.skip_join_delay();
    }
    const auto other_entries = this->nodes.running_entries(now);
    const bool may_serve = !this->is_stopping && this->deps.is_ready();
    if (this->role.update(other_entries, may_serve, now) == was_entry)
    {
        return;
    }
    this->deps.log.write(
        was_entry ? log_event::entry_left : log_event::entry_joined,
        {{"entries", std::to_string(other_entries.size() + 1)},
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

void membership::run_beacon_round()
{
    this->update_role();
    this->update_self();
    this->update_copy_age();
    if (this->source.has_source())
    {
        this->source.update(this->nodes, this->lease.is_reachable());
    }
    if (this->role.is_entry() ||
        this->rounds++ % rounds_per_standby_beacon == 0)
    {
        this->send_beacons();
    }
    this->deps.runtime.call_after(beacon_interval,
                                  [this]
                                  {
                                      this->run_beacon_round();
                                  });
}

void membership::send_beacons()
{
    std::set<std::string> addresses;
    for (const auto& recipient : this->nodes.beacon_recipients())
    {
        addresses.insert(recipient.peers);
    }
    if (const auto source_address = this->source.address();
        !source_address.empty())
    {
        addresses.insert(source_address);
    }
    // If the store refuses calls, other nodes are found through the seeds.
    const bool needs_seeds =
        addresses.empty() || !this->deps.mirror.is_complete();
    if (needs_seeds)
    {
        addresses.insert(this->seeds.begin(), this->seeds.end());
    }
    auto message = this->nodes.self();
    message.wants_reply = message.wants_reply || needs_seeds;
    for (const auto& address : addresses)
    {
        this->beacons.send(address, message);
    }
    this->send_rollouts(addresses);
}

void membership::send_rollouts(const std::set<std::string>& addresses)
{
    const auto all = this->deps.rollouts_to_report();
    auto message = this->nodes.self();
    message.wants_reply = false;
    message.crashes.clear();
    message.silent_entries.clear();
    const auto send_filled = [&]
    {
        for (const auto& address : addresses)
        {
            this->beacons.send(address, message);
        }
        message.rollouts = {};
    };
    for (const auto& grant : all.grants)
    {
        message.rollouts.grants.push_back(grant);
        if (message.rollouts.grants.size() == max_rollout_rows)
        {
            send_filled();
        }
    }
    for (const auto& count : all.counts)
    {
        message.rollouts.counts.push_back(count);
        if (message.rollouts.grants.size() + message.rollouts.counts.size() ==
            max_rollout_rows)
        {
            send_filled();
        }
    }
    if (!message.rollouts.grants.empty() || !message.rollouts.counts.empty())
    {
        send_filled();
    }
}

void membership::stop()
{
    this->is_stopping = true;
    this->update_self();
    this->lease.stop();
    this->send_beacons();
    // Standbys get beacons only as replies, so they are notified explicitly.
    for (const auto& peer : this->nodes.recent_nodes(this->deps.runtime.now()))
    {
        this->beacons.send(peer.peers, this->nodes.self());
    }
}

} // namespace hawthornrelay::adapters::relay
