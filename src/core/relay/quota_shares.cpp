#include <core/relay/quota_shares.hpp>

#include <algorithm>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Duration of a lease. Leases are renewed every 200 ms, so that three lost
/// datagrams do not end one. After the loss of the borrower the slot's quota is
/// unavailable for this long.
constexpr std::chrono::milliseconds lease_duration{1000};

/// A node that has sent nothing for this long is not lent anything.
constexpr std::chrono::milliseconds partner_silence{600};

/// An owner that has heard only a minority of the entries for this long does
/// not use its share. The others drop an entry from the division 12 s after its
/// last beacon (node_directory), if they are the majority.
constexpr std::chrono::seconds isolation_limit{6};

/// An entry outside the majority divides by fewer owners only after this time:
/// then the others have ended, which a mass replacement of nodes causes.
constexpr std::chrono::seconds minority_drop_delay{60};

/// Nodes that have sent nothing for this long are removed.
constexpr std::chrono::seconds peer_retention{60};

/// At the system's first start shares are used from this time on: nodes that
/// find each other later would divide by too few owners until then.
constexpr std::chrono::seconds first_start_join_window{2};

/// Stands for the unspent time before the first start.
constexpr std::chrono::hours unlimited_idle{1};

time_point from_stamp(std::uint64_t stamp)
{
    return time_point(duration(static_cast<duration::rep>(stamp)));
}

} // namespace

std::size_t quota_slot_of(std::string_view organisation)
{
    return base::hash_of(organisation, base::hash_of(quota_rank_key)) %
           quota_slot_count;
}

quota_shares::quota_shares(std::string own_name,
                           std::uint64_t incarnation,
                           bool is_history_known,
                           duration window,
                           time_point started,
                           unspent_time unspent)
    : own_name(std::move(own_name)), incarnation(incarnation),
      is_history_known(is_history_known), window(window), started(started),
      unspent(std::move(unspent)), majority_heard_at(started)
{
}

void quota_shares::set_division(unsigned count,
                                bool is_holder,
                                bool is_restart,
                                time_point now)
{
    count = std::max(1U, count);
    const bool is_fewer = count < this->entry_count;
    if (is_fewer && !this->fewer_since)
    {
        this->fewer_since = now;
    }
    const bool may_change = !is_fewer ||
                            this->hears_majority(this->entry_count) ||
                            now - *this->fewer_since >= minority_drop_delay;
    if (may_change)
    {
        this->entry_count = count;
        this->fewer_since.reset();
    }
    if (is_holder && !this->is_holder)
    {
        const bool is_first = this->is_history_known &&
                              now - this->started <= first_start_join_window;
        // The share of an earlier process may be lent until its lease ends. A
        // node that was no owner for a while may have been dropped by others.
        const bool was_counted = is_restart && !this->was_holder;
        this->holds_from = is_first      ? now
                           : was_counted ? now + lease_duration
                                         : now + this->window;
        this->hold_all_from(is_first ? now - duration(unlimited_idle)
                                     : this->holds_from);
    }
    if (this->is_holder && !is_holder)
    {
        this->is_history_known = false;
    }
    const bool is_changed = is_holder != this->is_holder;
    this->is_holder = is_holder;
    this->was_holder = this->was_holder || is_holder;
    if (is_changed)
    {
        this->select_pooling_nodes(now);
    }
    this->update(now);
}

void quota_shares::hold_all_from(time_point since)
{
    for (auto& slot : this->slots)
    {
        slot.in_hand_since = since;
    }
}

bool quota_shares::hears_majority(unsigned count) const
{
    return 2 * (this->heard.size() + 1) > count;
}

void quota_shares::set_heard_entries(std::vector<std::string> names,
                                     time_point now)
{
    // The selection hashes all names, so it is made only after a change.
    const bool is_changed = names != this->heard;
    this->heard = std::move(names);
    const bool is_isolated =
        this->is_holder && now - this->majority_heard_at > isolation_limit;
    if (2 * (this->heard.size() + 1) >= this->entry_count)
    {
        if (is_isolated)
        {
            // The others may divide without this node. They count it again by
            // the end of this period.
            this->holds_from = now + this->window;
            this->hold_all_from(this->holds_from);
        }
        this->majority_heard_at = now;
    }
    if (is_changed)
    {
        this->select_pooling_nodes(now);
    }
}

void quota_shares::select_pooling_nodes(time_point now)
{
    const auto rank_seed = base::hash_of(quota_rank_key);
    auto ranked = this->heard;
    if (this->is_holder)
    {
        ranked.push_back(this->own_name);
    }
    std::sort(ranked.begin(),
              ranked.end(),
              [rank_seed](const auto& left, const auto& right)
              {
                  return base::hash_of(left, rank_seed) <
                         base::hash_of(right, rank_seed);
              });
    ranked.resize(std::min(ranked.size(), max_quota_holders));
    for (std::size_t slot = 0; slot < quota_slot_count; ++slot)
    {
        const auto seed = base::hash_of("slot", slot);
        const auto best = std::min_element(
            ranked.begin(),
            ranked.end(),
            [seed](const auto& left, const auto& right)
            {
                return base::hash_of(left, seed) < base::hash_of(right, seed);
            });
        const auto selected = best == ranked.end() ? std::string() : *best;
        if (selected != this->pooling[slot])
        {
            this->pooling[slot] = selected;
            this->pooling_from[slot] = now;
        }
    }
    std::erase(ranked, this->own_name);
    this->candidates = std::move(ranked);
}

bool quota_shares::holds_share(time_point now) const
{
    return this->is_holder && now >= this->holds_from &&
           now - this->majority_heard_at <= isolation_limit;
}

bool quota_shares::may_lend_to(const std::string& node, time_point now) const
{
    const auto found = this->peers.find(node);
    return found != this->peers.end() &&
           now - found->second.last_received <= partner_silence;
}

void quota_shares::release(own_slot& slot, time_point now) const
{
    slot.lent_to.clear();
    slot.recalled_at = 0;
    slot.in_hand_since = std::max(now, this->holds_from);
}

void quota_shares::update_slot(std::size_t index, time_point now)
{
    auto& slot = this->slots[index];
    const auto& preferred = this->pooling[index];
    if (!slot.lent_to.empty() && now >= slot.locked_until)
    {
        this->release(slot, now);
    }
    const bool may_lend = slot.lent_to.empty() && !preferred.empty() &&
                          preferred != this->own_name &&
                          this->holds_share(now) &&
                          this->may_lend_to(preferred, now);
    if (may_lend)
    {
        slot.lent_to = preferred;
        slot.borrower_incarnation = this->peers[preferred].incarnation;
        slot.idle = std::min(base::remaining(now, slot.in_hand_since),
                             this->unspent(index, now));
        slot.lent_at = 0;
        slot.locked_until = now + lease_duration;
    }
}

bool quota_shares::can_lend_to(const std::string& node, time_point now) const
{
    if (!this->holds_share(now) || !this->may_lend_to(node, now))
    {
        return false;
    }
    for (std::size_t index = 0; index < quota_slot_count; ++index)
    {
        if (this->pooling[index] == node && this->slots[index].lent_to.empty())
        {
            return true;
        }
    }
    return false;
}

void quota_shares::update(time_point now)
{
    for (std::size_t slot = 0; slot < quota_slot_count; ++slot)
    {
        this->update_slot(slot, now);
    }
    std::erase_if(this->peers,
                  [now](const auto& item)
                  {
                      return now - item.second.last_received > peer_retention;
                  });
}

void quota_shares::lend(const std::string& recipient,
                        quota_message& message,
                        time_point now)
{
    this->write_receipt(recipient, message);
    if (!this->holds_share(now))
    {
        return;
    }
    message.divisor = static_cast<unsigned>(
        std::min<std::size_t>(this->entry_count, max_quota_holders));
    std::optional<duration> idle;
    for (std::size_t index = 0; index < quota_slot_count; ++index)
    {
        auto& slot = this->slots[index];
        if (slot.lent_to != recipient)
        {
            continue;
        }
        const bool is_kept = this->pooling[index] == recipient &&
                             this->may_lend_to(recipient, now) &&
                             slot.recalled_at == 0;
        if (!is_kept)
        {
            slot.recalled_at =
                slot.recalled_at == 0 ? message.sent_at : slot.recalled_at;
            continue;
        }
        message.lent_slots |= std::uint64_t{1} << index;
        slot.locked_until = now + lease_duration;
        slot.lent_at = slot.lent_at == 0 ? message.sent_at : slot.lent_at;
        idle = std::min(idle.value_or(slot.idle), slot.idle);
    }
    message.idle = idle.value_or(duration(0));
}

void quota_shares::write_receipt(const std::string& recipient,
                                 quota_message& message) const
{
    const auto found = this->peers.find(recipient);
    if (found != this->peers.end())
    {
        message.heard_incarnation = found->second.incarnation;
        message.heard_at = found->second.last_sent_at;
    }
}

bool quota_shares::on_message(const quota_message& message, time_point now)
{
    auto& peer = this->peers[message.node];
    if (message.incarnation < peer.incarnation)
    {
        return false;
    }
    if (message.incarnation == peer.incarnation &&
        message.sent_at <= peer.last_sent_at)
    {
        return message.sent_at < peer.last_sent_at;
    }
    if (message.incarnation > peer.incarnation)
    {
        // Slots that the earlier process lent are not valid under this one.
        for (auto& slot : peer.borrowed)
        {
            slot.until = std::min(slot.until, now);
            slot.is_lent = false;
        }
        for (auto& slot : this->slots)
        {
            slot.idle = slot.lent_to == message.node ? duration(0) : slot.idle;
        }
    }
    peer.incarnation = message.incarnation;
    peer.last_sent_at = message.sent_at;
    peer.last_received = now;
    this->on_receipt(message, now);
    this->borrow(peer, message, now);
    return true;
}

void quota_shares::on_receipt(const quota_message& message, time_point now)
{
    if (message.heard_incarnation != this->incarnation)
    {
        return;
    }
    for (auto& slot : this->slots)
    {
        if (slot.lent_to != message.node)
        {
            continue;
        }
        if (slot.recalled_at != 0 && message.heard_at >= slot.recalled_at)
        {
            // The borrower has dropped the slot on receipt of the recall.
            this->release(slot, now);
        }
        else if (slot.lent_at != 0 && message.heard_at >= slot.lent_at)
        {
            slot.idle = duration(0);
        }
    }
}

void quota_shares::borrow(peer_state& peer,
                          const quota_message& message,
                          time_point now) const
{
    peer.divisor = message.divisor;
    const auto until = message.heard_incarnation == this->incarnation
                           ? from_stamp(message.heard_at) + lease_duration
                           : time_point{};
    for (std::size_t index = 0; index < quota_slot_count; ++index)
    {
        auto& slot = peer.borrowed[index];
        const bool is_lent =
            ((message.lent_slots >> index) & 1U) != 0 && until > now;
        if (!is_lent)
        {
            slot.until = std::min(slot.until, now);
            slot.is_lent = false;
            continue;
        }
        if (!slot.is_lent || slot.until < now)
        {
            // A repeated lease must not bring back what was spent before.
            slot.since = std::max(slot.until, now - message.idle);
        }
        slot.is_lent = true;
        slot.until = std::max(slot.until, until);
    }
}

std::vector<quota_share> quota_shares::usable(std::size_t index,
                                              time_point now) const
{
    std::vector<quota_share> result;
    const auto& own = this->slots[index];
    if (own.lent_to.empty() && this->holds_share(now))
    {
        const auto divisor =
            std::min<std::size_t>(this->entry_count, max_quota_holders);
        result.push_back({this->own_name,
                          1.0 / static_cast<double>(divisor),
                          own.in_hand_since});
    }
    for (const auto& [name, peer] : this->peers)
    {
        const auto& slot = peer.borrowed[index];
        if (slot.is_lent && slot.until > now && peer.divisor > 0)
        {
            result.push_back({name, 1.0 / peer.divisor, slot.since});
        }
    }
    return result;
}

std::size_t quota_shares::borrowed_count(time_point now) const
{
    std::size_t result = 0;
    for (const auto& [name, peer] : this->peers)
    {
        result += static_cast<std::size_t>(
            std::count_if(peer.borrowed.begin(),
                          peer.borrowed.end(),
                          [now](const borrowed_slot& slot)
                          {
                              return slot.is_lent && slot.until > now;
                          }));
    }
    return result;
}

} // namespace hawthornrelay::core::relay
