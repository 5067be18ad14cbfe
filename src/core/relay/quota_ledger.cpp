#include <core/relay/quota_ledger.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Granted credit lapses this long after it was asked for. It bounds how much
/// credit of an earlier time a window can contain.
constexpr std::chrono::milliseconds grant_hold{150};

/// Difference in the time between admission and arrival at a replica that the
/// bound allows for.
constexpr std::chrono::milliseconds arrival_spread{150};

/// Part of the overshoot and slack that is admitted as additional burst; the
/// rest is a margin.
constexpr double used_overshoot = 0.6;

/// A reply to an ask takes longer than this only if a datagram was lost.
constexpr std::chrono::milliseconds ask_timeout{30};

/// Interval at which a waiting request is tried again.
constexpr std::chrono::milliseconds wait_step{4};

/// A node asks ahead for the requests that it expects within this time.
constexpr std::chrono::milliseconds ask_ahead_time{60};

/// Requests wait at the start of a shortage, since unused grants come back
/// within that time; later ones are refused at once. A shortage ends when no
/// request has lacked credit for this long.
constexpr std::chrono::seconds shortage_gap{1};

/// A node that was denied credit asks again after this time at the latest:
/// others may need less than before.
constexpr std::chrono::milliseconds denial_hold{50};

/// Time constant of the average of an organisation's requests at this node.
constexpr std::chrono::milliseconds rate_time{500};

/// Leases are exchanged this long after the last use of any quota.
constexpr std::chrono::seconds use_retention{30};

/// An organisation without use for this long is removed once its credit is
/// full.
constexpr std::chrono::seconds organisation_retention{60};

/// A lost grant is taken back within this time; later it might count in another
/// window.
constexpr std::chrono::milliseconds grant_retention{200};

/// Upper bound on Retry-After; callers do not wait longer, and the organisation
/// may send less by then.
constexpr std::chrono::seconds max_retry{2};

/// A node that begins to pool a slot gets all its shares within two round
/// trips, or after the end of the leases of a node that was killed.
constexpr std::chrono::milliseconds pool_growth_time{1200};

/// A pool with less of the quota than this lacks the share of an owner, unless
/// the owner is down.
constexpr double complete_fraction = 0.999;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

/// Time until one request's credit is available.
duration time_to_credit(double available, double rate)
{
    if (rate <= 0)
    {
        return max_retry;
    }
    const auto missing = std::max(0.0, 1.0 - available);
    return std::min(duration(max_retry),
                    from_seconds(missing / rate) + duration(1000));
}

} // namespace

quota_ledger::quota_ledger(quota_settings settings,
                           sender send,
                           time_point started)
    : settings(std::move(settings)), send(std::move(send)),
      shares(this->settings.node,
             this->settings.incarnation,
             this->settings.is_first_start,
             this->settings.window,
             started,
             [this](std::size_t slot, time_point now)
             {
                 return this->unspent_time(slot, now);
             })
{
}

void quota_ledger::set_bounds(duration window, double overshoot, double slack)
{
    this->settings.window = window;
    this->settings.overshoot = overshoot;
    this->settings.slack = slack;
    this->shares.set_window(window);
}

void quota_ledger::set_division(unsigned entry_count,
                                bool is_holder,
                                bool is_restart,
                                time_point now)
{
    this->shares.set_division(entry_count, is_holder, is_restart, now);
}

void quota_ledger::set_heard_entries(std::vector<std::string> names,
                                     time_point now)
{
    this->shares.set_heard_entries(std::move(names), now);
}

quota_limit quota_ledger::effective(const quota_limit& limit) const
{
    const auto window = to_seconds(this->settings.window);
    const auto delay = to_seconds(grant_hold + arrival_spread);
    const auto spare = this->settings.overshoot *
                           (limit.rate_per_second * window + limit.burst) +
                       this->settings.slack - limit.rate_per_second * delay;
    if (spare >= 0)
    {
        return {limit.rate_per_second, limit.burst + used_overshoot * spare};
    }
    return {limit.rate_per_second * window / (window + delay), limit.burst};
}

quota_ledger::organisation_state&
quota_ledger::state_of(std::string_view organisation)
{
    const auto found = this->organisations.find(organisation);
    return found != this->organisations.end()
               ? found->second
               : this->organisations[std::string(organisation)];
}

quota_decision quota_ledger::try_take(std::string_view organisation,
                                      const quota_limit& limit,
                                      time_point now)
{
    this->on_use(now, duration(0));
    auto& state = this->state_of(organisation);
    state.limit = limit;
    expire_granted(state, now);
    const auto slot = quota_slot_of(organisation);
    const auto& node = this->shares.pooling_node(slot);
    const bool is_remote = !node.empty() && node != this->settings.node;
    if (take_granted(state) || this->take_pooled(state, slot, 1.0, now))
    {
        count_use(state, now);
        if (!state.waiting.empty())
        {
            state.waiting.pop_front();
        }
        ++this->counters.admitted;
        if (is_remote)
        {
            this->ask_ahead(std::string(organisation), state, node, now);
        }
        return {.is_admitted = true};
    }
    const bool is_growing =
        !is_remote && this->is_pool_growing(state, slot, now);
    if (is_growing)
    {
        return {.may_wait = true, .retry_after = wait_step};
    }
    if (is_remote && now >= state.denied_until)
    {
        count_waiting(state, now);
        this->ask(std::string(organisation),
                  state,
                  node,
                  std::max(1.0,
                           static_cast<double>(state.waiting.size()) +
                               expected_use(state)),
                  now);
        return {.may_wait = true, .retry_after = wait_step};
    }
    return this->refuse(state, now);
}

quota_decision quota_ledger::refuse(organisation_state& state, time_point now)
{
    if (now - state.short_at > shortage_gap)
    {
        state.short_since = now;
    }
    state.short_at = now;
    const auto first = state.denied_until > now
                           ? state.promised
                           : now + time_to_credit(state.account.available(),
                                                  state.account.rate());
    const bool may_wait = now - state.short_since < quota_wait_limit &&
                          first - now < quota_wait_limit;
    if (may_wait)
    {
        return {.may_wait = true, .retry_after = wait_step};
    }
    ++this->counters.refused;
    return {.retry_after = promise(state, first, now)};
}

duration quota_ledger::promise(organisation_state& state,
                               time_point first,
                               time_point now)
{
    // Later requests are told later times, so that they do not all come back
    // for the same credit.
    const auto step = from_seconds(1.0 / state.limit.rate_per_second);
    state.next_free = std::min(std::max(first, state.next_free + step),
                               now + duration(max_retry));
    return state.next_free - now;
}

void quota_ledger::count_use(organisation_state& state, time_point now)
{
    const auto elapsed = to_seconds(base::remaining(now, state.last_used));
    const auto time = to_seconds(rate_time);
    state.recent_rate =
        state.recent_rate * std::exp(-elapsed / time) + 1 / time;
    state.last_used = now;
}

void quota_ledger::count_waiting(organisation_state& state, time_point now)
{
    while (!state.waiting.empty() && now - state.waiting.front() >= wait_step)
    {
        state.waiting.pop_front();
    }
    state.waiting.push_back(now);
}

double quota_ledger::granted_amount(const organisation_state& state)
{
    double total = 0;
    for (const auto& item : state.granted)
    {
        total += item.amount;
    }
    return total;
}

void quota_ledger::expire_granted(organisation_state& state, time_point now)
{
    while (!state.granted.empty() && state.granted.front().until <= now)
    {
        state.returned += state.granted.front().amount;
        state.granted.pop_front();
    }
}

bool quota_ledger::take_granted(organisation_state& state)
{
    if (granted_amount(state) < 1)
    {
        return false;
    }
    double missing = 1;
    while (missing > 0)
    {
        auto& item = state.granted.front();
        const auto used = std::min(missing, item.amount);
        item.amount -= used;
        missing -= used;
        if (item.amount <= 0)
        {
            state.granted.pop_front();
        }
    }
    return true;
}

void quota_ledger::fill(organisation_state& state,
                        std::size_t slot,
                        time_point now)
{
    state.account.update(
        this->effective(state.limit), this->shares.usable(slot, now), now);
}

duration quota_ledger::unspent_time(std::size_t slot, time_point now)
{
    auto result = duration::max();
    for (auto& [name, state] : this->organisations)
    {
        if (quota_slot_of(name) == slot)
        {
            this->fill(state, slot, now);
            result = std::min(result,
                              state.account.unspent_time(this->settings.node));
        }
    }
    return result;
}

bool quota_ledger::take_pooled(organisation_state& state,
                               std::size_t slot,
                               double amount,
                               time_point now)
{
    this->fill(state, slot, now);
    if (state.account.available() < amount)
    {
        return false;
    }
    state.account.spend(amount);
    return true;
}

void quota_ledger::give_back(std::string_view organisation, time_point now)
{
    const auto found = this->organisations.find(organisation);
    if (found == this->organisations.end())
    {
        return;
    }
    auto& state = found->second;
    const auto slot = quota_slot_of(organisation);
    if (this->shares.pooling_node(slot) == this->settings.node)
    {
        this->fill(state, slot, now);
        state.account.put_back(1);
    }
    else
    {
        state.returned += 1;
    }
}

double quota_ledger::expected_use(const organisation_state& state)
{
    return std::floor(state.recent_rate * to_seconds(ask_ahead_time));
}

void quota_ledger::ask_ahead(const std::string& organisation,
                             organisation_state& state,
                             const std::string& node,
                             time_point now)
{
    const auto expected = expected_use(state);
    const bool is_short = expected >= 1 && granted_amount(state) < expected / 2;
    if (is_short && now >= state.denied_until)
    {
        this->ask(organisation, state, node, expected, now);
    }
}

void quota_ledger::ask(const std::string& organisation,
                       organisation_state& state,
                       const std::string& node,
                       double wanted,
                       time_point now)
{
    if (state.asked_at != 0)
    {
        if (now - state.asked_time < ask_timeout)
        {
            return;
        }
        ++this->counters.asks_unanswered;
    }
    if (state.asked_node != node)
    {
        state.returned = 0;
        state.last_granted = 0;
        state.asked_node = node;
    }
    auto message = this->new_message(now);
    message.asks.push_back({.organisation = organisation,
                            .limit = state.limit,
                            .wanted = wanted,
                            .returned = state.returned,
                            .last_granted = state.last_granted});
    state.returned = 0;
    state.asked_at = message.sent_at;
    state.asked_time = now;
    ++this->counters.asks;
    this->transmit(node, std::move(message), now);
}

void quota_ledger::take_back_lost_grant(organisation_state& state,
                                        const quota_ask& ask,
                                        const std::string& node,
                                        time_point now)
{
    const auto sent = state.sent_grants.find(node);
    if (sent == state.sent_grants.end())
    {
        return;
    }
    // The asking node ignores the grant from this ask on.
    const bool is_recent = now - sent->second.sent_at <= grant_retention;
    if (sent->second.asked_at != ask.last_granted && is_recent)
    {
        state.account.put_back(sent->second.credit);
    }
    state.sent_grants.erase(sent);
}

bool quota_ledger::is_pool_growing(const organisation_state& state,
                                   std::size_t slot,
                                   time_point now) const
{
    const auto since =
        std::max(this->shares.pooling_since(slot), this->in_use_since);
    return now - since < pool_growth_time &&
           state.account.fraction() < complete_fraction;
}

quota_grant quota_ledger::grant(const quota_ask& ask,
                                const std::string& node,
                                std::uint64_t asked_at,
                                time_point now)
{
    auto& state = this->state_of(ask.organisation);
    const auto slot = quota_slot_of(ask.organisation);
    state.limit = ask.limit;
    state.last_used = now;
    this->fill(state, slot, now);
    state.account.put_back(std::max(0.0, ask.returned));
    take_back_lost_grant(state, ask, node, now);
    const auto credit =
        std::floor(std::min(ask.wanted, state.account.available()));
    quota_grant result{.organisation = ask.organisation,
                       .credit = credit,
                       .asked_at = asked_at};
    if (credit >= 1 || ask.wanted <= 0)
    {
        state.account.spend(credit);
        state.sent_grants[node] = {asked_at, credit, now};
        return result;
    }
    result.is_pool_growing = this->is_pool_growing(state, slot, now);
    if (!result.is_pool_growing)
    {
        result.wait = promise(state,
                              now + time_to_credit(state.account.available(),
                                                   state.account.rate()),
                              now);
    }
    return result;
}

void quota_ledger::on_grant(const quota_grant& grant,
                            const std::string& node,
                            time_point now)
{
    const auto found = this->organisations.find(grant.organisation);
    if (found == this->organisations.end() ||
        found->second.asked_at != grant.asked_at ||
        found->second.asked_node != node)
    {
        return;
    }
    auto& state = found->second;
    state.asked_at = 0;
    state.last_granted = grant.asked_at;
    if (grant.credit > 0)
    {
        state.granted.push_back(
            {grant.credit, state.asked_time + duration(grant_hold)});
        expire_granted(state, now);
    }
    else if (!grant.is_pool_growing)
    {
        state.promised = now + grant.wait;
        state.denied_until = now + std::min(grant.wait, duration(denial_hold));
    }
}

bool quota_ledger::is_answered(const quota_ask& ask,
                               const quota_message& message) const
{
    const auto found = this->organisations.find(ask.organisation);
    if (found == this->organisations.end())
    {
        return false;
    }
    const auto sent = found->second.sent_grants.find(message.node);
    return sent != found->second.sent_grants.end() &&
           sent->second.asked_at >= message.sent_at;
}

void quota_ledger::on_message(const quota_message& message, time_point now)
{
    if (message.node == this->settings.node ||
        !this->shares.on_message(message, now))
    {
        return;
    }
    this->on_use(now, message.last_use_age);
    for (const auto& grant : message.grants)
    {
        this->on_grant(grant, message.node, now);
    }
    if (message.asks.empty())
    {
        // Usual after a pause: the pool is complete before the next exchange.
        if (this->is_in_use(now) && this->shares.can_lend_to(message.node, now))
        {
            this->transmit(message.node, this->new_message(now), now);
        }
        return;
    }
    auto reply = this->new_message(now);
    for (const auto& ask : message.asks)
    {
        if (this->is_answered(ask, message))
        {
            continue;
        }
        reply.grants.push_back(
            this->grant(ask, message.node, message.sent_at, now));
    }
    this->transmit(message.node, std::move(reply), now);
}

void quota_ledger::on_use(time_point now, duration age)
{
    const auto used_at = now - age;
    const bool was_in_use = this->is_in_use(now);
    if (!this->has_use || used_at > this->last_use)
    {
        this->last_use = used_at;
        this->has_use = true;
    }
    if (!was_in_use && this->is_in_use(now))
    {
        this->in_use_since = now;
        // The shares are pooled within two one-way delays.
        this->exchange(now);
    }
}

bool quota_ledger::is_in_use(time_point now) const
{
    return this->has_use && now - this->last_use < use_retention;
}

quota_message quota_ledger::new_message(time_point now)
{
    this->last_stamp =
        std::max(this->last_stamp + 1,
                 static_cast<std::uint64_t>(now.time_since_epoch().count()));
    quota_message message;
    message.node = this->settings.node;
    message.incarnation = this->settings.incarnation;
    message.sent_at = this->last_stamp;
    message.last_use_age = now - this->last_use;
    return message;
}

void quota_ledger::transmit(const std::string& to,
                            quota_message message,
                            time_point now)
{
    this->shares.update(now);
    this->shares.lend(to, message, now);
    ++this->counters.messages_sent;
    this->send(to, std::move(message));
}

void quota_ledger::exchange(time_point now)
{
    this->shares.update(now);
    this->remove_unused(now);
    this->return_lapsed(now);
    if (!this->is_in_use(now) || !this->shares.holds_share(now))
    {
        return;
    }
    const auto partners = this->shares.partners();
    for (const auto& partner : partners)
    {
        this->transmit(partner, this->new_message(now), now);
    }
}

void quota_ledger::return_lapsed(time_point now)
{
    for (auto& [name, state] : this->organisations)
    {
        expire_granted(state, now);
        const auto& node = this->shares.pooling_node(quota_slot_of(name));
        const bool is_due =
            state.returned > 0 && state.asked_node == node &&
            (state.asked_at == 0 || now - state.asked_time >= ask_timeout);
        if (is_due)
        {
            this->ask(name, state, node, 0, now);
        }
    }
}

void quota_ledger::remove_unused(time_point now)
{
    for (auto it = this->organisations.begin();
         it != this->organisations.end();)
    {
        auto& [name, state] = *it;
        std::erase_if(state.sent_grants,
                      [now](const auto& item)
                      {
                          return now - item.second.sent_at > grant_retention;
                      });
        bool is_unused = now - state.last_used >= organisation_retention;
        if (is_unused)
        {
            this->fill(state, quota_slot_of(name), now);
            is_unused = state.account.is_full();
        }
        it = is_unused ? this->organisations.erase(it) : std::next(it);
    }
}

} // namespace hawthornrelay::core::relay
