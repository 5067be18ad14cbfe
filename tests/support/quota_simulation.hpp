/// @file
/// @brief Quota ledgers of many nodes on a simulated clock and network.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <core/base/hash.hpp>
#include <core/relay/quota_ledger.hpp>

namespace hawthornrelay::tests::support
{

/// @brief A fleet of quota ledgers. Datagrams take 0.2 to 3 ms and may be lost;
///        nodes are killed, restarted, added, cut off and paused.
class quota_fleet
{
  public:
    using time_point = core::base::time_point;
    using duration = core::base::duration;
    using ms = std::chrono::milliseconds;

    /// How a node learns of the others, as node_directory does.
    static constexpr ms silence{750};
    static constexpr ms retention{12000};

    struct node
    {
        std::string name;
        std::unique_ptr<core::relay::quota_ledger> ledger;
        bool is_running = false;
        std::uint64_t rank = 0;
        std::uint64_t incarnation = 0;
        int side = 0; ///< nodes of different sides are cut off
        std::vector<time_point> last_heard; ///< of each other node
    };

    quota_fleet(std::size_t count, unsigned seed) : random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->add(true);
        }
    }

    /// @brief Adds a node and starts it.
    std::size_t add(bool is_first = false)
    {
        this->nodes.emplace_back();
        auto& added = this->nodes.back();
        added.name = "n" + std::to_string(this->nodes.size() - 1);
        added.rank = core::base::hash_of(
            added.name, core::base::hash_of(core::relay::quota_rank_key));
        for (auto& item : this->nodes)
        {
            item.last_heard.resize(this->nodes.size(), this->clock);
        }
        this->start(this->nodes.size() - 1, is_first, false);
        return this->nodes.size() - 1;
    }

    void kill(std::size_t index)
    {
        this->nodes[index].is_running = false;
    }

    void start(std::size_t index, bool is_first, bool is_restart)
    {
        auto& item = this->nodes[index];
        item.is_running = true;
        ++item.incarnation;
        std::fill(item.last_heard.begin(), item.last_heard.end(), this->clock);
        item.ledger = std::make_unique<core::relay::quota_ledger>(
            core::relay::quota_settings{.node = item.name,
                                        .incarnation = item.incarnation,
                                        .is_first_start = is_first},
            [this, index](const std::string& to,
                          core::relay::quota_message message)
            {
                this->transmit(index, to, std::move(message));
            },
            this->clock);
        this->run_round(index, item.incarnation, is_restart);
    }

    void at(time_point when, std::function<void()> action)
    {
        this->events.push({when, this->next_event++, std::move(action)});
    }

    void after(duration delay, std::function<void()> action)
    {
        this->at(this->clock + delay, std::move(action));
    }

    /// @brief One request at a node; `done` gets the outcome. Waits for credit
    ///        as request_execution does.
    void request(std::size_t index,
                 const std::string& organisation,
                 const core::relay::quota_limit& limit)
    {
        this->attempt(index, organisation, limit, this->clock);
    }

    void run_until(time_point end)
    {
        while (!this->events.empty() && this->events.top().when <= end)
        {
            auto next = this->events.top();
            this->events.pop();
            this->clock = next.when;
            next.action();
        }
        this->clock = end;
    }

    /// @brief The most arrivals at replicas within any window from a time on.
    [[nodiscard]] std::size_t most_in(const std::string& organisation,
                                      duration window,
                                      time_point from = {}) const
    {
        auto times = this->arrivals.at(organisation);
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        auto first = std::lower_bound(times.begin(), times.end(), from);
        for (auto last = first; last != times.end(); ++last)
        {
            while (*last - *first > window)
            {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    std::mt19937 random;
    time_point clock{std::chrono::seconds(100)};
    std::vector<node> nodes;
    double loss = 0;
    duration largest_arrival_delay = ms(100);
    std::map<std::string, std::vector<time_point>> arrivals;
    std::vector<time_point> refusals;
    std::vector<duration> waits;
    std::vector<std::pair<duration, duration>> retry_afters;
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    std::function<std::size_t(const core::relay::quota_message&)> size_of;

  private:
    struct event
    {
        time_point when;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair(when, number) >
                   std::pair(other.when, other.number);
        }
    };

    duration random_time(duration least, duration most)
    {
        return duration(std::uniform_int_distribution<duration::rep>(
            least.count(), most.count())(this->random));
    }

    [[nodiscard]] bool is_reachable(std::size_t from, std::size_t to) const
    {
        return this->nodes[to].is_running &&
               this->nodes[from].side == this->nodes[to].side;
    }

    void transmit(std::size_t from,
                  const std::string& to,
                  core::relay::quota_message message)
    {
        ++this->datagrams;
        this->bytes += this->size_of ? this->size_of(message) : 0;
        const auto target = static_cast<std::size_t>(std::stoul(to.substr(1)));
        if (std::uniform_real_distribution<>(0, 1)(this->random) < this->loss)
        {
            return;
        }
        this->after(this->random_time(duration(200), ms(3)),
                    [this, from, target, message = std::move(message)]
                    {
                        if (this->is_reachable(from, target))
                        {
                            this->nodes[target].ledger->on_message(message,
                                                                   this->clock);
                        }
                    });
    }

    void attempt(std::size_t index,
                 const std::string& organisation,
                 const core::relay::quota_limit& limit,
                 time_point started)
    {
        auto& item = this->nodes[index];
        if (!item.is_running)
        {
            return;
        }
        const auto decision =
            item.ledger->try_take(organisation, limit, this->clock);
        const auto waited = this->clock - started;
        if (decision.is_admitted)
        {
            this->waits.push_back(waited);
            this->arrivals[organisation].push_back(
                this->clock +
                this->random_time(duration(0), this->largest_arrival_delay));
        }
        else if (decision.may_wait && waited < core::relay::quota_wait_limit)
        {
            this->after(decision.retry_after,
                        [=, this]
                        {
                            this->attempt(index, organisation, limit, started);
                        });
        }
        else
        {
            this->refusals.push_back(this->clock);
        }
    }

    /// Beacons and the division, every 100 ms.
    void
    run_round(std::size_t index, std::uint64_t incarnation, bool is_restart)
    {
        auto& item = this->nodes[index];
        if (!item.is_running || item.incarnation != incarnation)
        {
            return;
        }
        std::vector<std::string> heard;
        unsigned count = 1;
        std::size_t rank = 0;
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            if (i == index)
            {
                continue;
            }
            if (this->is_reachable(i, index))
            {
                item.last_heard[i] = this->clock;
            }
            const auto age = this->clock - item.last_heard[i];
            count += age <= retention ? 1 : 0;
            rank += age <= retention && this->nodes[i].rank < item.rank ? 1 : 0;
            if (age <= silence)
            {
                heard.push_back(this->nodes[i].name);
            }
        }
        item.ledger->set_heard_entries(std::move(heard), this->clock);
        item.ledger->set_division(count,
                                  rank < core::relay::max_quota_holders,
                                  is_restart,
                                  this->clock);
        item.ledger->exchange(this->clock);
        this->after(core::relay::quota_interval,
                    [this, index, incarnation, is_restart]
                    {
                        this->run_round(index, incarnation, is_restart);
                    });
    }

    std::priority_queue<event> events;
    std::uint64_t next_event = 0;
};

} // namespace hawthornrelay::tests::support
