#include <core/relay/rollout_manager.hpp>

#include <algorithm>
#include <limits>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::log_event;

namespace
{

/// Delay after a failed call of the store.
constexpr std::chrono::milliseconds retry_delay{300};

/// How long a node waits for those of lower rank to become the decider.
constexpr std::chrono::milliseconds wait_per_rank{400};

/// Nodes of a higher rank do not try to become the decider later than others.
constexpr std::size_t max_rank = 8;

/// A decider stops at this part of its lease after the last renewal, so that it
/// has stopped when the store gives the key to another node.
constexpr double sure_fraction = 0.7;

/// Renewals during the time of a lease.
constexpr int renewals_per_lease = 4;

/// A message of an entry older than this is not counted as its present state.
constexpr std::chrono::milliseconds max_state_age{1000};

/// Replies to standbys also advance the roll-outs; more often than this would
/// only repeat the comparison.
constexpr std::chrono::milliseconds min_tick_interval{100};

/// A completed roll-out is announced for this time as a grant of all traffic. A
/// node whose mirror is late would return to the earlier versions, whose
/// replicas have stopped.
constexpr std::chrono::seconds announcement_time{10};

/// In a message: the node has not reached the stage drain.
constexpr std::uint32_t not_drained = std::numeric_limits<std::uint32_t>::max();

std::string_view name_of(rollout_state state)
{
    switch (state)
    {
    case rollout_state::running:
        return "running";
    case rollout_state::completed:
        return "completed";
    default:
        return "rolled_back";
    }
}

std::string ms_of(duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

rollout_manager::rollout_manager(ports::runtime& runtime,
                                 ports::metadata_store& store,
                                 ports::event_log& log,
                                 const replica_registry& registry,
                                 relay_counters& counters,
                                 std::string node_name,
                                 rollout_store_format format)
    : runtime(runtime), store(store), log(log), registry(registry),
      counters(counters), node_name(std::move(node_name)),
      format(std::move(format)), lease_duration(std::chrono::seconds(2)),
      vacant_since(runtime.now())
{
}

void rollout_manager::set_bounds(const rollout_bounds& changed,
                                 duration min_lease)
{
    this->bounds = changed;
    // A new decider starts when the lease of the last one has ended, and has to
    // stop a bad version within the time to roll back.
    this->lease_duration = std::max(duration(min_lease),
                                    duration(changed.rollback_timeout) * 2 / 5);
}

void rollout_manager::set_fleet(bool is_now_entry,
                                std::size_t rank_of_node,
                                std::set<std::string> others)
{
    this->is_entry = is_now_entry;
    this->rank = rank_of_node;
    this->other_entries = std::move(others);
    const auto count = static_cast<unsigned>(this->other_entries.size()) + 1;
    for (auto& [service, item] : this->rollouts)
    {
        item.share.set_bounds(this->bounds, count);
    }
}

rollout_manager::rollout&
rollout_manager::rollout_of(const std::string& service)
{
    const auto found = this->rollouts.find(service);
    if (found != this->rollouts.end())
    {
        return found->second;
    }
    auto& item = this->rollouts.try_emplace(service, service).first->second;
    item.share.set_bounds(
        this->bounds, static_cast<unsigned>(this->other_entries.size()) + 1);
    return item;
}

void rollout_manager::reset(rollout& item)
{
    item.control.reset();
    item.judge = {};
    item.peers.clear();
    item.is_bad = false;
    item.write_again_at = {};
    item.announced_until = {};
}

void rollout_manager::on_order(const std::string& service,
                               std::optional<rollout_order> order)
{
    const bool is_known = this->rollouts.contains(service);
    if (!order && !is_known)
    {
        return;
    }
    if (!this->has_open())
    {
        this->vacant_since = this->runtime.now();
    }
    auto& item = this->rollout_of(service);
    const auto& current = item.share.order();
    if (order && current && order->revision == current->revision)
    {
        return;
    }
    if (order)
    {
        this->log.write(
            log_event::rollout_ordered,
            {{"service", service},
             {"target", order->target_version},
             {"duration_ms", std::to_string(order->duration.count())},
             {"revision", std::to_string(order->revision)}});
    }
    else
    {
        this->log.write(log_event::rollout_withdrawn, {{"service", service}});
    }
    this->reset(item);
    item.share.set_order(std::move(order), this->runtime.now());
    if (!item.share.order() && !item.share.status())
    {
        this->rollouts.erase(service);
    }
}

void rollout_manager::on_status(const std::string& service,
                                std::optional<rollout_status> status,
                                bool is_restored)
{
    this->unreadable_statuses.erase(service);
    if (!status && !this->rollouts.contains(service))
    {
        return;
    }
    auto& item = this->rollout_of(service);
    const auto& known = item.share.status();
    // A restored store may have lost the end of a roll-out. Replicas of the
    // losing version have stopped since, so the end stays in force.
    const bool is_end_lost = is_restored && known &&
                             known->state != rollout_state::running &&
                             (!status || status->order == known->order);
    if (is_end_lost)
    {
        auto kept = *known;
        kept.revision = status ? status->revision : 0;
        item.share.set_status(std::move(kept), this->runtime.now());
        return;
    }
    if (status)
    {
        this->log.write(log_event::rollout_status_known,
                        {{"service", service},
                         {"target", status->target_version},
                         {"state", std::string(name_of(status->state))},
                         {"revision", std::to_string(status->revision)}});
    }
    this->set_status(item, std::move(status));
    if (!item.share.order() && !item.share.status())
    {
        this->rollouts.erase(service);
    }
}

void rollout_manager::on_unreadable_status(const std::string& service,
                                           std::uint64_t revision)
{
    this->unreadable_statuses[service] = revision;
}

void rollout_manager::set_status(rollout& item,
                                 std::optional<rollout_status> status)
{
    const auto now = this->runtime.now();
    const bool was_open = item.share.is_open();
    item.share.set_status(std::move(status), now);
    const bool is_completed =
        was_open && !item.share.is_open() && item.share.has_status_of_order() &&
        item.share.status()->state == rollout_state::completed;
    if (is_completed)
    {
        item.announced_until = now + announcement_time;
    }
}

bool rollout_manager::is_idle() const
{
    const auto now = this->runtime.now();
    return !this->is_decider() && !this->has_open() &&
           std::none_of(this->rollouts.begin(),
                        this->rollouts.end(),
                        [now](const auto& item)
                        {
                            return now < item.second.announced_until;
                        });
}

void rollout_manager::on_decider(const std::string& name,
                                 std::uint64_t revision)
{
    this->vacant_revision = revision;
    if (name.empty() || this->known_decider.empty())
    {
        this->vacant_since = this->runtime.now();
    }
    this->known_decider = name;
    if (this->is_decider() && name != this->node_name)
    {
        this->end_decision("key lost");
    }
}

void rollout_manager::on_message(const std::string& node,
                                 std::uint64_t incarnation,
                                 const rollout_message& message)
{
    const auto now = this->runtime.now();
    for (auto& [service, item] : this->rollouts)
    {
        if (!item.share.order())
        {
            continue;
        }
        const auto hash = base::hash_of(service);
        const auto order = item.share.order()->revision;
        for (const auto& grant : message.grants)
        {
            if (grant.service == hash && grant.order == order)
            {
                item.share.on_grant(grant, now);
                item.peers[node] = {grant.pending, now};
            }
        }
        std::vector<rollout_count> counts;
        std::copy_if(message.counts.begin(),
                     message.counts.end(),
                     std::back_inserter(counts),
                     [&](const rollout_count& count)
                     {
                         return count.service == hash && count.order == order;
                     });
        if (!counts.empty())
        {
            item.judge.on_counts(node, incarnation, counts);
        }
    }
}

bool rollout_manager::has_open() const
{
    return std::any_of(this->rollouts.begin(),
                       this->rollouts.end(),
                       [](const auto& item)
                       {
                           return item.second.share.is_open();
                       });
}

void rollout_manager::tick()
{
    const bool is_needed = this->has_open();
    if (!is_needed)
    {
        if (this->is_decider())
        {
            this->end_decision("no roll-out");
        }
        return;
    }
    const auto now = this->runtime.now();
    if (now - this->ticked_at < min_tick_interval)
    {
        return;
    }
    this->ticked_at = now;
    if (this->is_decider() && now >= this->lease_sure_until)
    {
        this->end_decision("lease not renewed");
    }
    if (this->is_decider() && !this->is_entry)
    {
        this->end_decision("no entry");
    }
    if (this->is_decider())
    {
        this->renew_lease();
    }
    else
    {
        this->seek_decision();
    }
    for (auto& [service, item] : this->rollouts)
    {
        if (item.share.is_open())
        {
            item.judge.on_counts(this->node_name, 0, item.share.counts());
            item.judge.record(now);
            // All entries know the verdict, since the decider may end before
            // it has stored it and later periods may look good.
            item.is_bad =
                item.is_bad || item.judge.verdict() == rollout_verdict::bad;
            if (this->is_decider())
            {
                this->step(service, item);
            }
        }
    }
}

void rollout_manager::seek_decision()
{
    const auto now = this->runtime.now();
    const auto wait =
        wait_per_rank * static_cast<int>(std::min(this->rank, max_rank));
    const bool may_try = this->is_entry && !this->is_calling &&
                         this->known_decider.empty() &&
                         now - this->vacant_since >= wait;
    if (!may_try)
    {
        return;
    }
    this->is_calling = true;
    const auto created_at = now;
    this->store.create_lease(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->lease_duration),
        [this, created_at](const base::result<ports::lease_id>& created)
        {
            if (!created)
            {
                this->is_calling = false;
                this->vacant_since = this->runtime.now() + retry_delay;
                return;
            }
            this->lease_sure_until =
                created_at +
                std::chrono::duration_cast<duration>(
                    std::chrono::duration<double, duration::period>(
                        this->lease_duration) *
                    sure_fraction);
            this->take_decision(*created);
        });
}

void rollout_manager::take_decision(ports::lease_id created)
{
    this->store.transact(
        {{{this->format.decider_key, this->vacant_revision}},
         {{this->format.decider_key, this->node_name, created}},
         {}},
        [this, created](const base::result<std::uint64_t>& written)
        {
            this->is_calling = false;
            if (!written)
            {
                // Another node was first, or the answer was lost; the lease
                // ends by itself in both cases.
                this->vacant_since = this->runtime.now() + retry_delay;
                return;
            }
            this->lease = created;
            this->term = *written;
            this->renew_at = this->runtime.now();
            this->log.write(log_event::rollout_decider_began,
                            {{"term", std::to_string(this->term)}});
        });
}

void rollout_manager::renew_lease()
{
    const auto now = this->runtime.now();
    if (this->is_calling || now < this->renew_at)
    {
        return;
    }
    this->is_calling = true;
    this->renew_at = now + this->lease_duration / renewals_per_lease;
    this->store.renew_lease(
        this->lease,
        [this, now, call_term = this->term](const base::result<bool>& renewed)
        {
            this->is_calling = false;
            if (call_term != this->term || !this->is_decider())
            {
                return;
            }
            if (renewed)
            {
                this->lease_sure_until =
                    now + std::chrono::duration_cast<duration>(
                              std::chrono::duration<double, duration::period>(
                                  this->lease_duration) *
                              sure_fraction);
            }
            else if (renewed.error().code == base::result_code::no_such_item)
            {
                this->end_decision("lease ended");
            }
        });
}

void rollout_manager::end_decision(const std::string& reason)
{
    this->log.write(log_event::rollout_decider_ended,
                    {{"term", std::to_string(this->term)}, {"reason", reason}});
    this->term = 0;
    this->vacant_since = this->runtime.now();
    for (auto& [service, item] : this->rollouts)
    {
        item.control.reset();
    }
    if (const auto ended = std::exchange(this->lease, 0); ended != 0)
    {
        this->store.end_lease(ended,
                              [](const base::result<bool>&)
                              {
                                  // If the call failed, the lease expires.
                              });
    }
}

std::set<std::string>
rollout_manager::versions_besides(const std::string& service,
                                  const std::string& version) const
{
    std::set<std::string> result;
    for (const auto& [id, target] : this->registry.all())
    {
        if (target->record.service == service &&
            target->record.version != version)
        {
            result.insert(target->record.version);
        }
    }
    return result;
}

bool rollout_manager::has_target_replica(const std::string& service,
                                         const std::string& version) const
{
    const auto usable = this->registry.usable(service, this->runtime.now());
    return std::any_of(usable.begin(),
                       usable.end(),
                       [&](const replica_ptr& item)
                       {
                           return item->record.version == version &&
                                  !item->health.is_suspect();
                       });
}

bool rollout_manager::is_drained(const rollout& item) const
{
    const auto now = this->runtime.now();
    return item.share.pending_to_base() == 0 &&
           std::all_of(this->other_entries.begin(),
                       this->other_entries.end(),
                       [&](const std::string& name)
                       {
                           const auto found = item.peers.find(name);
                           return found != item.peers.end() &&
                                  found->second.pending == 0 &&
                                  now - found->second.heard_at <= max_state_age;
                       });
}

void rollout_manager::step(const std::string& service, rollout& item)
{
    const auto now = this->runtime.now();
    auto& share = item.share;
    const bool is_withdrawn = !share.order();
    if (is_withdrawn)
    {
        this->write(service, item, rollout_state::rolled_back);
        return;
    }
    const auto& order = *share.order();
    if (!item.control)
    {
        item.control.emplace(order, this->bounds);
    }
    const bool was_rejected = item.control->is_rejected();
    item.control->step(
        {.age = share.order_age(now),
         .verdict = item.is_bad ? rollout_verdict::bad : item.judge.verdict(),
         .has_target_replica =
             this->has_target_replica(service, order.target_version),
         .is_drained = this->is_drained(item),
         .is_withdrawn = is_withdrawn},
        share.has_status_of_order() ? std::optional(share.status()->state)
                                    : std::nullopt);
    if (item.control->is_rejected() && !was_rejected)
    {
        this->log.write(log_event::rollout_rejected,
                        {{"service", service},
                         {"target", order.target_version},
                         {"bad", std::to_string(item.judge.bad_responses())},
                         {"age_ms", ms_of(share.order_age(now))}});
    }
    share.on_grant({.service = base::hash_of(service),
                    .order = order.revision,
                    .term = this->term,
                    .stage = item.control->stage()},
                   now);
    if (const auto state = item.control->state_to_store())
    {
        this->write(service, item, *state);
    }
    else if (item.control->stage() == rollout_stage::canary &&
             share.order_age(now) - share.status()->elapsed >=
                 item.control->refresh_interval())
    {
        this->write(service, item, rollout_state::running);
    }
}

void rollout_manager::write(const std::string& service,
                            rollout& item,
                            rollout_state state)
{
    const auto now = this->runtime.now();
    if (item.is_writing || now < item.write_again_at)
    {
        return;
    }
    const auto& share = item.share;
    rollout_status status;
    std::uint64_t known_revision = 0;
    if (share.status())
    {
        known_revision = share.status()->revision;
        status = *share.status();
    }
    if (share.order())
    {
        status.target_version = share.order()->target_version;
        status.order = share.order()->revision;
        status.base_versions = share.base_versions();
        status.elapsed = share.order_age(now);
        if (status.base_versions.empty())
        {
            status.base_versions =
                this->versions_besides(service, status.target_version);
        }
    }
    if (const auto unreadable = this->unreadable_statuses.find(service);
        unreadable != this->unreadable_statuses.end())
    {
        known_revision = std::max(known_revision, unreadable->second);
    }
    status.state = state;
    item.is_writing = true;
    const auto key = this->format.status_prefix + service;
    this->store.transact(
        {{{this->format.decider_key, this->term}, {key, known_revision}},
         {{key, this->format.encode_status(status)}},
         {}},
        [this, service, status](const base::result<std::uint64_t>& written)
        {
            this->on_written(service, status, written);
        });
}

void rollout_manager::on_written(const std::string& service,
                                 const rollout_status& status,
                                 const base::result<std::uint64_t>& written)
{
    this->log.write(
        log_event::rollout_written,
        {{"service", service},
         {"target", status.target_version},
         {"state", std::string(name_of(status.state))},
         {"outcome",
          written ? "ok" : std::string(base::name_of(written.error().code))}});
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end())
    {
        return;
    }
    auto& item = found->second;
    item.is_writing = false;
    if (!written)
    {
        // The write may have been applied; the mirror shows it then.
        item.write_again_at = this->runtime.now() + retry_delay;
        return;
    }
    if (status.state == rollout_state::completed)
    {
        this->counters.add(relay_counter::rollouts_completed);
    }
    if (status.state == rollout_state::rolled_back)
    {
        this->counters.add(relay_counter::rollouts_rolled_back);
    }
    const auto& known = item.share.status();
    if (!known || known->revision < *written)
    {
        auto stored = status;
        stored.revision = *written;
        this->set_status(item, std::move(stored));
    }
}

rollout_grant rollout_manager::own_state(const rollout& item) const
{
    const auto now = this->runtime.now();
    auto state = item.share.last_grant(now).value_or(rollout_grant{});
    state.order = item.share.order()->revision;
    state.order_age = item.share.order_age(now);
    state.pending = item.share.stage(now) == rollout_stage::drain
                        ? item.share.pending_to_base()
                        : not_drained;
    return state;
}

rollout_message rollout_manager::message_to_send() const
{
    rollout_message result;
    for (const auto& [service, item] : this->rollouts)
    {
        const bool is_open = item.share.order() && item.share.is_open();
        const bool is_announced =
            item.share.order() && this->runtime.now() < item.announced_until;
        if (!is_open && !is_announced)
        {
            continue;
        }
        auto state = this->own_state(item);
        state.service = base::hash_of(service);
        if (is_announced)
        {
            state.stage = rollout_stage::drain;
            state.age = {};
        }
        result.grants.push_back(state);
        const auto counts = item.share.counts();
        result.counts.insert(result.counts.end(), counts.begin(), counts.end());
    }
    return result;
}

rollout_share* rollout_manager::share_of(const std::string& service)
{
    const auto found = this->rollouts.find(service);
    return found == this->rollouts.end() ? nullptr : &found->second.share;
}

version_choice rollout_manager::split(const std::string& service,
                                      std::vector<replica_ptr> candidates,
                                      bool is_repeated)
{
    const auto* share = this->share_of(service);
    if (share == nullptr)
    {
        return {std::move(candidates), {}};
    }
    const auto& target = share->order() ? share->order()->target_version
                                        : share->status()->target_version;
    const bool has_other =
        std::any_of(candidates.begin(),
                    candidates.end(),
                    [&](const replica_ptr& item)
                    {
                        return item->record.version != target;
                    }) ||
        this->registry.has_other_version(service, target);
    return share->split(
        candidates, is_repeated, has_other, this->runtime.now());
}

} // namespace hawthornrelay::core::relay
