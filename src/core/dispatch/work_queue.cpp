#include <core/dispatch/work_queue.hpp>

#include <utility>

namespace hawthornrelay::core::dispatch
{

void work_queue::push(queued_work work)
{
    const sort_key position{!work.item.hedge,
                            !work.item.urgent,
                            work.deadline,
                            this->arrival_count++};
    if (work.item.urgent)
    {
        ++this->urgent_count;
    }
    this->positions[work.key] = position;
    this->items.emplace(position, std::move(work));
}

std::optional<queued_work> work_queue::pop()
{
    if (this->items.empty())
    {
        return std::nullopt;
    }
    auto first = this->items.extract(this->items.begin());
    auto work = std::move(first.mapped());
    this->positions.erase(work.key);
    if (work.item.urgent)
    {
        --this->urgent_count;
    }
    return work;
}

std::optional<queued_work> work_queue::pop_movable()
{
    for (auto it = this->items.begin(); it != this->items.end(); ++it)
    {
        const auto& item = it->second.item;
        if (item.idempotent && !item.hedge && item.origin.empty())
        {
            auto work = it->second;
            this->remove(work.key);
            return work;
        }
    }
    return std::nullopt;
}

bool work_queue::remove(const attempt_key& key)
{
    const auto position = this->positions.find(key);
    if (position == this->positions.end())
    {
        return false;
    }
    const auto item = this->items.find(position->second);
    if (item->second.item.urgent)
    {
        --this->urgent_count;
    }
    this->items.erase(item);
    this->positions.erase(position);
    return true;
}

std::vector<queued_work> work_queue::drain()
{
    std::vector<queued_work> all;
    while (auto work = this->pop())
    {
        all.push_back(std::move(*work));
    }
    return all;
}

std::size_t work_queue::ahead_of(bool urgent) const
{
    return urgent ? this->urgent_count : this->items.size();
}

} // namespace hawthornrelay::core::dispatch
