#include <core/relay/entry_role.hpp>

#include <algorithm>
#include <numeric>
#include <tuple>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Total processor capacity of all entries: ten times the need of the users'
/// largest stated load, so that the sends of one search do not queue behind
/// those of another. Each zone provides an equal part.
constexpr unsigned required_millicores = 4000;

/// A node below this fraction of the strongest entry is slow for its callers.
/// It joins only if the entries of all zones together have less than the same
/// fraction of the required capacity.
constexpr double weak_fraction = 0.5;

/// Join delay of a node with one core; inversely proportional to its capacity,
/// so that the strongest candidates join first.
constexpr std::chrono::milliseconds join_delay_per_core{100};

/// A surplus entry stays this long, since a missing entry may only be
/// restarting.
constexpr std::chrono::seconds leave_delay{2};

unsigned total_millicores(const std::vector<node_record>& nodes)
{
    return std::accumulate(nodes.begin(),
                           nodes.end(),
                           0U,
                           [](unsigned sum, const node_record& node)
                           {
                               return sum + node.millicores;
                           });
}

unsigned max_millicores(const std::vector<node_record>& nodes)
{
    unsigned result = 0;
    for (const auto& node : nodes)
    {
        result = std::max(result, node.millicores);
    }
    return result;
}

} // namespace

entry_role::entry_role(const node_record& self, std::size_t zone_count)
    : name(self.name), zone(self.zone), millicores(self.millicores),
      zone_count(std::max<std::size_t>(1, zone_count))
{
}

bool entry_role::is_needed(const std::vector<node_record>& others) const
{
    const bool is_capacity_short =
        total_millicores(others) < required_millicores * weak_fraction;
    const bool is_weak =
        this->millicores < weak_fraction * max_millicores(others);
    auto same_zone = others;
    std::erase_if(same_zone,
                  [this](const node_record& other)
                  {
                      return other.zone != this->zone;
                  });
    const bool is_zone_short =
        total_millicores(same_zone) < required_millicores / this->zone_count;
    return is_capacity_short || (is_zone_short && !is_weak);
}

bool entry_role::is_surplus(const std::vector<node_record>& others) const
{
    // One entry per zone leaves at a time: the weakest, or the last by name if
    // several are equally weak.
    const bool is_weakest =
        std::all_of(others.begin(),
                    others.end(),
                    [this](const node_record& other)
                    {
                        return other.zone != this->zone ||
                               std::tie(this->millicores, other.name) <
                                   std::tie(other.millicores, this->name);
                    });
    return is_weakest && !this->is_needed(others);
}

duration entry_role::join_delay() const
{
    const duration by_strength =
        duration(join_delay_per_core) * 1000 / this->millicores;
    // Spreads equally strong candidates so that they do not all join for one
    // missing entry.
    const auto spread = static_cast<duration::rep>(
        base::hash_of(this->name, 0) %
        static_cast<std::uint64_t>(by_strength.count() + 1));
    return by_strength + duration(spread);
}

bool entry_role::update(const std::vector<node_record>& others,
                        bool may_serve,
                        time_point now)
{
    if (!may_serve)
    {
        this->is_current_entry = false;
        this->change_due_since.reset();
        return false;
    }
    const bool is_due = this->is_current_entry ? this->is_surplus(others)
                                               : this->is_needed(others);
    if (!is_due)
    {
        this->change_due_since.reset();
        return this->is_current_entry;
    }
    if (!this->change_due_since)
    {
        this->change_due_since = now;
    }
    const duration delay = this->is_current_entry ? duration(leave_delay)
                           : this->was_entry      ? duration(0)
                                                  : this->join_delay();
    if (now - *this->change_due_since >= delay)
    {
        this->is_current_entry = !this->is_current_entry;
        this->was_entry = false;
        this->change_due_since.reset();
    }
    return this->is_current_entry;
}

void entry_role::skip_join_delay()
{
    this->was_entry = true;
}

} // namespace hawthornrelay::core::relay
