/// @file
/// @brief A simulated clock with timers, advanced by the tests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include <core/base/time.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::tests::support
{

using core::base::duration;
using core::base::time_point;

/// @brief Runs events in the order of their times; events of the same time run
///        in the order of their creation.
class event_loop
{
  public:
    [[nodiscard]] time_point now() const
    {
        return this->time;
    }

    std::uint64_t at(time_point when, std::function<void()> task)
    {
        const auto id = ++this->last_id;
        this->events.emplace(event_key{std::max(when, this->time), id},
                             std::move(task));
        return id;
    }

    std::uint64_t after(duration delay, std::function<void()> task)
    {
        return this->at(this->time + delay, std::move(task));
    }

    void cancel(time_point when, std::uint64_t id)
    {
        this->events.erase(event_key{when, id});
    }

    void run_until(time_point end)
    {
        while (!this->events.empty() &&
               this->events.begin()->first.first <= end)
        {
            auto first = this->events.extract(this->events.begin());
            this->time = first.key().first;
            first.mapped()();
            if (this->after_each)
            {
                this->after_each();
            }
        }
        this->time = end;
    }

    void run_for(duration length)
    {
        this->run_until(this->time + length);
    }

    /// Called after every event, to check invariants.
    std::function<void()> after_each;

  private:
    using event_key = std::pair<time_point, std::uint64_t>;

    time_point time{std::chrono::hours(1)};
    std::uint64_t last_id = 0;
    std::map<event_key, std::function<void()>> events;
};

/// @brief The timers of one process; pausing it defers their tasks, as a
///        stopped process does.
class process_runtime final : public ports::runtime
{
  public:
    explicit process_runtime(event_loop& loop) : loop(loop)
    {
    }

    ~process_runtime() override
    {
        for (const auto& [id, when] : this->pending)
        {
            this->loop.cancel(when, id);
        }
    }

    process_runtime(const process_runtime&) = delete;
    process_runtime& operator=(const process_runtime&) = delete;

    [[nodiscard]] time_point now() const override
    {
        return this->loop.now();
    }

    ports::timer_id call_at(time_point when,
                            std::function<void()> task) override
    {
        when = std::max(when, this->loop.now());
        const auto own_id = std::make_shared<std::uint64_t>(0);
        const auto id = this->loop.at(when,
                                      [this, own_id, task = std::move(task)]
                                      {
                                          this->pending.erase(*own_id);
                                          if (this->paused)
                                          {
                                              this->deferred.push_back(task);
                                          }
                                          else
                                          {
                                              task();
                                          }
                                      });
        *own_id = id;
        this->pending.emplace(id, when);
        return id;
    }

    void cancel(ports::timer_id timer) override
    {
        const auto it = this->pending.find(timer);
        if (it != this->pending.end())
        {
            this->loop.cancel(it->second, timer);
            this->pending.erase(it);
        }
    }

    void pause()
    {
        this->paused = true;
    }

    /// Runs the tasks that became due during the pause, in order.
    void resume()
    {
        this->paused = false;
        auto due = std::exchange(this->deferred, {});
        for (const auto& task : due)
        {
            task();
        }
    }

    [[nodiscard]] bool is_paused() const
    {
        return this->paused;
    }

  private:
    event_loop& loop;
    bool paused = false;
    std::map<std::uint64_t, time_point> pending;
    std::vector<std::function<void()>> deferred;
};

} // namespace hawthornrelay::tests::support
