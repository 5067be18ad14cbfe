#include <core/relay/entry_duty.hpp>

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

/// Processor time that all entries should have together: ten times what the
/// users' largest stated load takes, so that the sends of one search do not
/// wait for those of another. Each zone gives an equal part.
constexpr unsigned wanted_millicores = 4000;

/// A node below this part of the strongest entry makes its callers wait. It
/// joins only when all entries have less than the same part of what is wanted,
/// whatever its zone has.
constexpr double weak_part = 0.5;

/// Delay of joining for a node with a whole core; a weaker one waits longer, so
/// that the strongest candidates join first.
constexpr std::chrono::milliseconds join_delay_of_a_core{100};

/// An entry that is not needed stays this long, since one that is missed may
/// only be restarting.
constexpr std::chrono::seconds leave_delay{2};

unsigned strength_of(const std::vector<node_record>& nodes)
{
    return std::accumulate(nodes.begin(),
                           nodes.end(),
                           0U,
                           [](unsigned sum, const node_record& node)
                           {
                               return sum + node.millicores;
                           });
}

unsigned strongest_of(const std::vector<node_record>& nodes)
{
    unsigned most = 0;
    for (const auto& node : nodes)
    {
        most = std::max(most, node.millicores);
    }
    return most;
}

} // namespace

entry_duty::entry_duty(const node_record& self, std::size_t zone_count)
    : name(self.name), zone(self.zone), millicores(self.millicores),
      zone_count(std::max<std::size_t>(1, zone_count))
{
}

bool entry_duty::is_wanted(const std::vector<node_record>& others) const
{
    const bool are_few = strength_of(others) < wanted_millicores * weak_part;
    const bool is_weak = this->millicores < weak_part * strongest_of(others);
    auto near = others;
    std::erase_if(near,
                  [this](const node_record& other)
                  {
                      return other.zone != this->zone;
                  });
    const bool is_zone_short =
        strength_of(near) < wanted_millicores / this->zone_count;
    return are_few || (is_zone_short && !is_weak);
}

bool entry_duty::is_surplus(const std::vector<node_record>& others) const
{
    // One entry of a zone leaves at a time: the weakest, of equal ones the last
    // by name.
    const bool is_weakest =
        std::all_of(others.begin(),
                    others.end(),
                    [this](const node_record& other)
                    {
                        return other.zone != this->zone ||
                               std::tie(this->millicores, other.name) <
                                   std::tie(other.millicores, this->name);
                    });
    return is_weakest && !this->is_wanted(others);
}

duration entry_duty::join_delay() const
{
    const duration by_strength =
        duration(join_delay_of_a_core) * 1000 / this->millicores;
    // Equally strong candidates do not all join for one missing entry.
    const auto spread = static_cast<duration::rep>(
        base::hash_of(this->name, 0) %
        static_cast<std::uint64_t>(by_strength.count() + 1));
    return by_strength + duration(spread);
}

bool entry_duty::update(const std::vector<node_record>& others,
                        bool may_serve,
                        time_point now)
{
    if (!may_serve)
    {
        this->is_on = false;
        this->due_since.reset();
        return false;
    }
    const bool is_due =
        this->is_on ? this->is_surplus(others) : this->is_wanted(others);
    if (!is_due)
    {
        this->due_since.reset();
        return this->is_on;
    }
    if (!this->due_since)
    {
        this->due_since = now;
    }
    const duration delay = this->is_on       ? duration(leave_delay)
                           : this->was_entry ? duration(0)
                                             : this->join_delay();
    if (now - *this->due_since >= delay)
    {
        this->is_on = !this->is_on;
        this->was_entry = false;
        this->due_since.reset();
    }
    return this->is_on;
}

void entry_duty::resume()
{
    this->was_entry = true;
}

} // namespace hawthornrelay::core::relay
