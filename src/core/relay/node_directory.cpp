#include <core/relay/node_directory.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <core/base/hash.hpp>
#include <core/relay/part_window.hpp>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// An entry is not named to callers after this time without a beacon: three to
/// four lost ones at the interval used between entries.
constexpr std::chrono::milliseconds silence_timeout{750};

/// The same at a standby, which exchanges beacons less often.
constexpr std::chrono::milliseconds standby_silence_timeout{2000};

/// Limited so that a beacon fits into a datagram.
constexpr std::size_t max_reported_silent = 32;

/// A newly registered entry is presumed running this long without a beacon.
constexpr std::chrono::milliseconds first_beacon_grace{1000};

} // namespace

node_directory::node_directory(node_record self) : own(std::move(self))
{
}

void node_directory::on_registered(const node_record& record, time_point now)
{
    if (record.name == this->own.name)
    {
        this->saw_earlier_incarnation =
            this->saw_earlier_incarnation ||
            record.incarnation != this->own.incarnation;
        return;
    }
    auto& item = this->nodes[record.name];
    // A recent beacon is newer than the registration.
    const bool is_new_incarnation =
        record.incarnation != item.record.incarnation &&
        !this->is_receiving_from(item, now);
    if (is_new_incarnation)
    {
        item.was_received = false;
        item.record = record;
    }
    item.is_listed = true;
    item.listed_at = now;
    // Nodes are registered only while they are entries.
    item.record.is_entry = true;
    this->update_last_entry(item, now);
}

void node_directory::update_last_entry(node_state& item, time_point now)
{
    if (item.record.is_entry)
    {
        item.last_entry_at = now;
    }
}

void node_directory::on_unregistered(const std::string& name, time_point now)
{
    const auto found = this->nodes.find(name);
    if (found == this->nodes.end())
    {
        return;
    }
    found->second.is_listed = false;
    this->update_last_entry(found->second, now);
}

bool node_directory::on_beacon(const node_record& record, time_point now)
{
    if (record.name == this->own.name)
    {
        return false;
    }
    auto& item = this->nodes[record.name];
    const bool was_silent = !this->is_receiving_from(item, now);
    // Ignores a reordered datagram of an earlier incarnation. Incarnations
    // come from the clock, which may have been set back, so that of a silent
    // node may be replaced by a lower one.
    if (record.incarnation < item.record.incarnation && !was_silent)
    {
        return false;
    }
    const bool has_stopped = record.incarnation == item.record.incarnation &&
                             item.record.is_stopping;
    this->update_last_entry(item, now);
    item.record = record;
    item.record.is_stopping = record.is_stopping || has_stopped;
    item.was_received = true;
    item.last_received = now;
    this->update_last_entry(item, now);
    if (record.is_entry && !record.is_cut_off)
    {
        for (const auto& name : record.silent_entries)
        {
            const auto found = this->nodes.find(name);
            if (found != this->nodes.end())
            {
                found->second.reported_silent_at = now;
            }
        }
    }
    return was_silent;
}

std::vector<std::string> node_directory::take_newly_silent(time_point now)
{
    std::vector<std::string> result;
    for (auto& [name, item] : this->nodes)
    {
        const bool was_silent = item.is_silent;
        item.is_silent = item.record.is_entry && item.was_received &&
                         this->is_beacon_peer(item) &&
                         !this->is_receiving_from(item, now);
        if (item.is_silent && !was_silent)
        {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<node_record> node_directory::recent_nodes(time_point now) const
{
    std::vector<node_record> result;
    for (const auto& [name, item] : this->nodes)
    {
        if (this->is_receiving_from(item, now))
        {
            result.push_back(item.record);
        }
    }
    return result;
}

base::duration node_directory::store_age_of(const std::string& name,
                                            time_point now) const
{
    const auto found = this->nodes.find(name);
    if (found == this->nodes.end() || !found->second.was_received)
    {
        return base::duration::max();
    }
    const auto& item = found->second;
    return item.record.store_age + (now - item.last_received);
}

bool node_directory::is_receiving_from(const node_state& item,
                                       time_point now) const
{
    const auto limit =
        this->own.is_entry ? silence_timeout : standby_silence_timeout;
    return item.was_received && now - item.last_received < limit;
}

bool node_directory::is_beacon_peer(const node_state& item) const
{
    return this->own.is_entry || item.record.zone == this->own.zone;
}

bool node_directory::may_serve(const node_state& item, time_point now) const
{
    if (item.record.is_stopping)
    {
        return false;
    }
    if (this->is_receiving_from(item, now))
    {
        return item.record.is_ready;
    }
    const bool is_starting = item.is_listed && !item.was_received &&
                             now - item.listed_at < first_beacon_grace;
    if (this->is_beacon_peer(item))
    {
        return is_starting;
    }
    const bool is_reported_silent =
        item.reported_silent_at != time_point{} &&
        now - item.reported_silent_at < standby_silence_timeout;
    return item.is_listed && !is_reported_silent;
}

std::vector<node_record> node_directory::running_entries(time_point now) const
{
    std::vector<node_record> result;
    for (const auto& [name, item] : this->nodes)
    {
        if (item.record.is_entry && this->may_serve(item, now))
        {
            result.push_back(item.record);
        }
    }
    return result;
}

std::vector<node_record> node_directory::usable(time_point now) const
{
    const bool serves = !this->own.is_stopping && this->own.is_ready;
    auto result = this->running_entries(now);
    std::vector<node_record> listed;
    for (const auto& [name, item] : this->nodes)
    {
        if (item.is_listed && !item.record.is_stopping)
        {
            listed.push_back(item.record);
        }
    }
    if (serves && this->own.is_entry)
    {
        result.push_back(this->own);
        listed.push_back(this->own);
    }
    // Without beacons from any node this node itself is cut off, so the
    // registrations are more reliable.
    const bool receives_nothing = result.size() <= 1 && listed.size() > 2;
    if (receives_nothing)
    {
        return listed;
    }
    const auto is_cut_off = [](const node_record& node)
    {
        return node.is_cut_off;
    };
    const bool are_all_cut_off =
        !result.empty() &&
        std::all_of(result.begin(), result.end(), is_cut_off);
    if (are_all_cut_off)
    {
        // Callers may still reach the entries that this node cannot.
        std::erase_if(listed, is_cut_off);
        return listed.empty() ? result : listed;
    }
    std::erase_if(result, is_cut_off);
    if (result.empty())
    {
        for (const auto& node : this->recent_nodes(now))
        {
            if (node.is_ready && !node.is_stopping)
            {
                result.push_back(node);
            }
        }
        if (serves)
        {
            result.push_back(this->own);
        }
    }
    return result;
}

std::set<std::string> node_directory::silent_zones(time_point now) const
{
    std::set<std::string> silent;
    std::set<std::string> receiving;
    for (const auto& [name, item] : this->nodes)
    {
        if (item.record.is_entry && item.was_received)
        {
            (this->is_receiving_from(item, now) ? receiving : silent)
                .insert(item.record.zone);
        }
    }
    receiving.insert(this->own.zone);
    std::set<std::string> result;
    std::set_difference(silent.begin(),
                        silent.end(),
                        receiving.begin(),
                        receiving.end(),
                        std::inserter(result, result.end()));
    return result;
}

std::string node_directory::referral_for(const node_record& starting_node,
                                         time_point now) const
{
    if (starting_node.zone == this->own.zone)
    {
        return {};
    }
    auto same_zone = this->running_entries(now);
    const auto others = this->recent_nodes(now);
    same_zone.insert(same_zone.end(), others.begin(), others.end());
    std::erase_if(same_zone,
                  [&](const node_record& node)
                  {
                      return node.zone != starting_node.zone ||
                             !node.is_ready || node.is_stopping ||
                             node.name == starting_node.name;
                  });
    if (same_zone.empty())
    {
        return {};
    }
    const auto chosen =
        base::hash_of(starting_node.name, starting_node.incarnation) %
        same_zone.size();
    return same_zone[chosen].peers;
}

std::vector<std::string> node_directory::silent_entries(time_point now) const
{
    std::vector<std::string> result;
    std::size_t receiving_count = 0;
    for (const auto& [name, item] : this->nodes)
    {
        const bool is_known =
            item.is_listed && item.record.is_entry && item.was_received;
        if (is_known && this->is_receiving_from(item, now))
        {
            ++receiving_count;
        }
        else if (is_known && result.size() < max_reported_silent)
        {
            result.push_back(name);
        }
    }
    // An entry without beacons from any of several entries is cut off itself.
    return receiving_count == 0 && result.size() > 1
               ? std::vector<std::string>()
               : result;
}

std::vector<node_record> node_directory::beacon_recipients() const
{
    std::vector<node_record> result;
    for (const auto& [name, item] : this->nodes)
    {
        const bool is_known = item.is_listed || item.was_received;
        if (is_known && item.record.is_entry && this->is_beacon_peer(item) &&
            !item.record.peers.empty())
        {
            result.push_back(item.record);
        }
    }
    return result;
}

std::string node_directory::peers_address(const std::string& name) const
{
    const auto found = this->nodes.find(name);
    return found == this->nodes.end() ? std::string()
                                      : found->second.record.peers;
}

bool node_directory::is_counted(const node_state& item, time_point now)
{
    return item.is_listed || now - item.last_entry_at <= part_window::retention;
}

std::size_t node_directory::rank_among_entries(const std::string& key,
                                               time_point now) const
{
    const auto seed = base::hash_of(key);
    const auto own_position = base::hash_of(this->own.name, seed);
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(),
                      this->nodes.end(),
                      [&](const auto& item)
                      {
                          return is_counted(item.second, now) &&
                                 base::hash_of(item.first, seed) < own_position;
                      }));
}

unsigned node_directory::entry_count(time_point now)
{
    unsigned count = this->own.is_entry ? 1 : 0;
    for (auto it = this->nodes.begin(); it != this->nodes.end();)
    {
        auto& item = it->second;
        const bool is_current = is_counted(item, now);
        count += is_current ? 1 : 0;
        const bool is_forgotten =
            !is_current && !this->is_receiving_from(item, now);
        it = is_forgotten ? this->nodes.erase(it) : std::next(it);
    }
    return std::max(1U, count);
}

} // namespace hawthornrelay::core::relay
