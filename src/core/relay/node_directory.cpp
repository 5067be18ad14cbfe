#include <core/relay/node_directory.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// Silence after which an entry is not named to callers; three to four lost
/// messages at the interval at which entries tell each other.
constexpr std::chrono::milliseconds silence{750};

/// The same for a standby, which asks less often.
constexpr std::chrono::milliseconds silence_for_standby{2000};

/// Entries that one message reports silent; they must fit into a datagram.
constexpr std::size_t most_reported = 32;

/// A node that has just been listed may not have been heard yet.
constexpr std::chrono::milliseconds first_word{1000};

/// A node that has ended may have used its part of shared bounds until now.
constexpr std::chrono::seconds shared_bound_memory{12};

} // namespace

node_directory::node_directory(node_record self) : own(std::move(self))
{
}

void node_directory::on_listed(const node_record& record, time_point now)
{
    if (record.name == this->own.name)
    {
        this->earlier_run = this->earlier_run || record.run != this->own.run;
        return;
    }
    auto& item = this->entries[record.name];
    // What is heard now is newer than any list.
    const bool is_new_run =
        record.run != item.record.run && !this->is_heard(item, now);
    if (is_new_run)
    {
        item.was_heard = false;
        item.record = record;
    }
    item.is_listed = true;
    item.listed_at = now;
    // A node keeps its key only while it is an entry.
    item.record.is_entry = true;
    this->note_entry(item, now);
}

void node_directory::note_entry(entry& item, time_point now)
{
    if (item.record.is_entry)
    {
        item.ended_at = now;
    }
}

void node_directory::on_unlisted(const std::string& name, time_point now)
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end())
    {
        return;
    }
    found->second.is_listed = false;
    this->note_entry(found->second, now);
}

bool node_directory::on_heard(const node_record& record, time_point now)
{
    if (record.name == this->own.name)
    {
        return false;
    }
    auto& item = this->entries[record.name];
    const bool was_silent = !this->is_heard(item, now);
    // A datagram that was overtaken. Run numbers come from the clock, which may
    // have been set back, so they do not count against a silent run.
    if (record.run < item.record.run && !was_silent)
    {
        return false;
    }
    const bool has_stopped =
        record.run == item.record.run && item.record.is_stopping;
    this->note_entry(item, now);
    item.record = record;
    item.record.is_stopping = record.is_stopping || has_stopped;
    item.was_heard = true;
    item.heard_at = now;
    this->note_entry(item, now);
    if (record.is_entry && !record.is_cut_off)
    {
        for (const auto& name : record.silent_entries)
        {
            const auto found = this->entries.find(name);
            if (found != this->entries.end())
            {
                found->second.reported_silent_at = now;
            }
        }
    }
    return was_silent;
}

std::vector<std::string> node_directory::take_silent(time_point now)
{
    std::vector<std::string> result;
    for (auto& [name, item] : this->entries)
    {
        const bool was_silent = item.is_silent;
        item.is_silent = item.record.is_entry && item.was_heard &&
                         this->is_in_touch(item) && !this->is_heard(item, now);
        if (item.is_silent && !was_silent)
        {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<node_record> node_directory::heard(time_point now) const
{
    std::vector<node_record> result;
    for (const auto& [name, item] : this->entries)
    {
        if (this->is_heard(item, now))
        {
            result.push_back(item.record);
        }
    }
    return result;
}

base::duration node_directory::store_age_of(const std::string& name,
                                            time_point now) const
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end() || !found->second.was_heard)
    {
        return base::duration::max();
    }
    const auto& item = found->second;
    return item.record.store_age + (now - item.heard_at);
}

bool node_directory::is_heard(const entry& item, time_point now) const
{
    const auto limit = this->own.is_entry ? silence : silence_for_standby;
    return item.was_heard && now - item.heard_at < limit;
}

bool node_directory::is_in_touch(const entry& item) const
{
    return this->own.is_entry || item.record.zone == this->own.zone;
}

bool node_directory::may_serve(const entry& item, time_point now) const
{
    if (item.record.is_stopping)
    {
        return false;
    }
    if (this->is_heard(item, now))
    {
        return item.record.is_ready;
    }
    const bool is_starting =
        item.is_listed && !item.was_heard && now - item.listed_at < first_word;
    if (this->is_in_touch(item))
    {
        return is_starting;
    }
    const bool is_reported_silent =
        item.reported_silent_at != time_point{} &&
        now - item.reported_silent_at < silence_for_standby;
    return item.is_listed && !is_reported_silent;
}

std::vector<node_record> node_directory::running_entries(time_point now) const
{
    std::vector<node_record> result;
    for (const auto& [name, item] : this->entries)
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
    for (const auto& [name, item] : this->entries)
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
    // A node that hears nobody is cut off itself; the list is better then.
    const bool hears_nobody = result.size() <= 1 && listed.size() > 2;
    if (hears_nobody)
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
        // Callers may still reach the entries beyond the cut.
        std::erase_if(listed, is_cut_off);
        return listed.empty() ? result : listed;
    }
    std::erase_if(result, is_cut_off);
    if (result.empty())
    {
        for (const auto& node : this->heard(now))
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
    std::set<std::string> heard;
    for (const auto& [name, item] : this->entries)
    {
        if (item.record.is_entry && item.was_heard)
        {
            (this->is_heard(item, now) ? heard : silent)
                .insert(item.record.zone);
        }
    }
    heard.insert(this->own.zone);
    std::set<std::string> result;
    std::set_difference(silent.begin(),
                        silent.end(),
                        heard.begin(),
                        heard.end(),
                        std::inserter(result, result.end()));
    return result;
}

std::string node_directory::referral_for(const node_record& asking,
                                         time_point now) const
{
    if (asking.zone == this->own.zone)
    {
        return {};
    }
    auto near = this->running_entries(now);
    const auto others = this->heard(now);
    near.insert(near.end(), others.begin(), others.end());
    std::erase_if(near,
                  [&](const node_record& node)
                  {
                      return node.zone != asking.zone || !node.is_ready ||
                             node.is_stopping || node.name == asking.name;
                  });
    if (near.empty())
    {
        return {};
    }
    const auto chosen = base::hash_of(asking.name, asking.run) % near.size();
    return near[chosen].peers;
}

std::vector<std::string> node_directory::silent_entries(time_point now) const
{
    std::vector<std::string> result;
    std::size_t heard = 0;
    for (const auto& [name, item] : this->entries)
    {
        const bool is_known =
            item.is_listed && item.record.is_entry && item.was_heard;
        if (is_known && this->is_heard(item, now))
        {
            ++heard;
        }
        else if (is_known && result.size() < most_reported)
        {
            result.push_back(name);
        }
    }
    // An entry that hears nobody of several is cut off itself.
    return heard == 0 && result.size() > 1 ? std::vector<std::string>()
                                           : result;
}

std::vector<node_record> node_directory::to_tell() const
{
    std::vector<node_record> result;
    for (const auto& [name, item] : this->entries)
    {
        const bool is_known = item.is_listed || item.was_heard;
        if (is_known && item.record.is_entry && this->is_in_touch(item) &&
            !item.record.peers.empty())
        {
            result.push_back(item.record);
        }
    }
    return result;
}

unsigned node_directory::entry_count(time_point now)
{
    unsigned count = this->own.is_entry ? 1 : 0;
    for (auto it = this->entries.begin(); it != this->entries.end();)
    {
        auto& item = it->second;
        const bool is_current =
            item.is_listed || now - item.ended_at <= shared_bound_memory;
        count += is_current ? 1 : 0;
        const bool is_forgotten = !is_current && !this->is_heard(item, now);
        it = is_forgotten ? this->entries.erase(it) : std::next(it);
    }
    return std::max(1U, count);
}

} // namespace hawthornrelay::core::relay
