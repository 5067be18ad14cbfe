#include <adapters/asio/asio_runtime.hpp>

#include <chrono>

#include <boost/asio/post.hpp>

namespace hawthornrelay::adapters::asio
{

using core::base::duration;
using core::base::time_point;

asio_runtime::asio_runtime(boost::asio::io_context& io) : io(io), timer(io)
{
}

time_point asio_runtime::now() const
{
    const auto since_boot = std::chrono::steady_clock::now();
    return time_point(
        std::chrono::duration_cast<duration>(since_boot.time_since_epoch()));
}

ports::timer_id asio_runtime::call_at(time_point when,
                                      std::function<void()> task)
{
    const auto id = this->next_id++;
    this->tasks.emplace(task_key{when, id}, std::move(task));
    this->due_times.emplace(id, when);
    if (when <= this->now())
    {
        if (!this->is_run_posted)
        {
            this->is_run_posted = true;
            boost::asio::post(this->io,
                              [this]
                              {
                                  this->is_run_posted = false;
                                  this->run_due();
                              });
        }
    }
    else if (when < this->armed_for)
    {
        this->arm();
    }
    return id;
}

void asio_runtime::cancel(ports::timer_id timer)
{
    const auto it = this->due_times.find(timer);
    if (it == this->due_times.end())
    {
        return;
    }
    this->tasks.erase(task_key{it->second, timer});
    this->due_times.erase(it);
}

void asio_runtime::arm()
{
    if (this->tasks.empty())
    {
        this->armed_for = time_point::max();
        return;
    }
    this->armed_for = this->tasks.begin()->first.first;
    this->timer.expires_at(std::chrono::steady_clock::time_point(
        this->armed_for.time_since_epoch()));
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                this->armed_for = time_point::max();
                this->run_due();
            }
        });
}

void asio_runtime::run_due()
{
    // Tasks added by these tasks run in a later call, so that socket handlers
    // run in between.
    const auto now = this->now();
    const auto last_id = this->next_id;
    while (!this->tasks.empty())
    {
        const auto first = this->tasks.begin();
        if (first->first.first > now || first->first.second >= last_id)
        {
            break;
        }
        const auto task = std::move(first->second);
        this->due_times.erase(first->first.second);
        this->tasks.erase(first);
        task();
    }
    if (!this->tasks.empty() &&
        this->tasks.begin()->first.first < this->armed_for)
    {
        this->arm();
    }
}

} // namespace hawthornrelay::adapters::asio
