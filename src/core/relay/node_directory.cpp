#include <core/relay/node_directory.hpp>

#include <algorithm>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

/// Silence after which a node is not named to callers; three to four lost
/// messages at the interval of relay_node.
constexpr std::chrono::milliseconds silence{750};

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
        return;
    }
    auto& item = this->entries[record.name];
    if (record.run < item.record.run)
    {
        return;
    }
    const bool is_new_run = record.run > item.record.run;
    if (is_new_run)
    {
        item.was_heard = false;
        item.record = record;
    }
    item.is_listed = true;
    item.listed_at = now;
    item.ended_at = now;
}

void node_directory::on_unlisted(const std::string& name, time_point now)
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end())
    {
        return;
    }
    found->second.is_listed = false;
    found->second.ended_at = now;
}

bool node_directory::on_heard(const node_record& record, time_point now)
{
    if (record.name == this->own.name)
    {
        return false;
    }
    auto& item = this->entries[record.name];
    if (record.run < item.record.run)
    {
        return false;
    }
    const bool was_silent = !this->is_heard(item, now);
    const bool has_stopped =
        record.run == item.record.run && item.record.is_stopping;
    item.record = record;
    item.record.is_stopping = record.is_stopping || has_stopped;
    item.was_heard = true;
    item.heard_at = now;
    item.ended_at = now;
    return was_silent;
}

std::vector<std::string> node_directory::take_silent(time_point now)
{
    std::vector<std::string> result;
    for (auto& [name, item] : this->entries)
    {
        const bool was_silent = item.is_silent;
        item.is_silent = item.was_heard && !this->is_heard(item, now);
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

bool node_directory::is_heard(const entry& item, time_point now) const
{
    return item.was_heard && now - item.heard_at < silence;
}

std::vector<node_record> node_directory::usable(time_point now) const
{
    std::vector<node_record> heard;
    std::vector<node_record> listed;
    if (!this->own.is_stopping && this->own.is_ready)
    {
        heard.push_back(this->own);
        listed.push_back(this->own);
    }
    for (const auto& [name, item] : this->entries)
    {
        if (item.record.is_stopping)
        {
            continue;
        }
        const bool is_starting = item.is_listed && !item.was_heard &&
                                 now - item.listed_at < first_word;
        const bool may_serve =
            this->is_heard(item, now) ? item.record.is_ready : is_starting;
        if (may_serve)
        {
            heard.push_back(item.record);
        }
        if (item.is_listed)
        {
            listed.push_back(item.record);
        }
    }
    // A node that hears nobody is cut off itself; the list is better then.
    const bool is_cut_off = heard.size() <= 1 && listed.size() > 2;
    return is_cut_off ? listed : heard;
}

std::vector<node_record> node_directory::others() const
{
    std::vector<node_record> result;
    for (const auto& [name, item] : this->entries)
    {
        const bool is_known = item.is_listed || item.was_heard;
        if (is_known && !item.record.peers.empty())
        {
            result.push_back(item.record);
        }
    }
    return result;
}

unsigned node_directory::count(time_point now)
{
    std::erase_if(this->entries,
                  [&](const auto& named)
                  {
                      const auto& item = named.second;
                      return !item.is_listed &&
                             now - item.ended_at > shared_bound_memory;
                  });
    return static_cast<unsigned>(this->entries.size()) + 1;
}

} // namespace hawthornrelay::core::relay
