#include <core/relay/node_lease.hpp>

#include <algorithm>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::duration;

namespace
{

/// Length of the lease. Callers are told of a lost node by the silence of its
/// messages long before.
constexpr std::chrono::milliseconds usual_lease{4000};

/// Interval of renewals, which also tell whether the store answers.
constexpr std::chrono::milliseconds renew_interval{700};

/// Pause after a failed call.
constexpr std::chrono::milliseconds retry_pause{400};

} // namespace

node_lease::node_lease(ports::runtime& runtime,
                       ports::metadata_store& store,
                       std::string key,
                       std::string value,
                       std::chrono::milliseconds shortest,
                       reach_handler on_reach)
    : runtime(runtime), store(store), key(std::move(key)),
      value(std::move(value)), lease_time(std::max(usual_lease, shortest)),
      on_reach(std::move(on_reach))
{
}

void node_lease::start()
{
    if (!this->is_running)
    {
        this->is_running = true;
        ++this->generation;
        this->take();
    }
}

void node_lease::stop()
{
    this->is_running = false;
    ++this->generation;
    if (const auto ended = std::exchange(this->lease, 0); ended != 0)
    {
        this->store.end_lease(ended,
                              [](const base::result<bool>&)
                              {
                                  // It lapses by itself otherwise.
                              });
    }
}

void node_lease::take()
{
    this->store.create_lease(
        this->lease_time,
        [this,
         mine = this->generation](const base::result<ports::lease_id>& created)
        {
            if (mine != this->generation)
            {
                // Unused, it lapses by itself.
                return;
            }
            if (!created)
            {
                this->on_failure(created.error(), &node_lease::take);
                return;
            }
            this->lease = *created;
            this->on_success(&node_lease::write, duration(0));
        });
}

void node_lease::write()
{
    this->store.put(this->key,
                    this->value,
                    this->lease,
                    [this, mine = this->generation](
                        const base::result<std::uint64_t>& written)
                    {
                        if (mine != this->generation)
                        {
                            return;
                        }
                        if (written)
                        {
                            this->on_success(&node_lease::renew,
                                             renew_interval);
                            return;
                        }
                        // Writing twice does no harm: the value is the same.
                        this->on_failure(written.error(),
                                         written.error().code ==
                                                 base::result_code::no_such_item
                                             ? &node_lease::take
                                             : &node_lease::write);
                    });
}

void node_lease::renew()
{
    this->store.renew_lease(
        this->lease,
        [this, mine = this->generation](const base::result<bool>& renewed)
        {
            if (mine != this->generation)
            {
                return;
            }
            if (renewed)
            {
                this->on_success(&node_lease::renew, renew_interval);
            }
            else if (renewed.error().code == base::result_code::no_such_item)
            {
                this->on_success(&node_lease::take, duration(0));
            }
            else
            {
                this->on_failure(renewed.error(), &node_lease::renew);
            }
        });
}

void node_lease::on_success(void (node_lease::*next)(), duration delay)
{
    this->last_answer = this->runtime.now();
    if (!this->reachable)
    {
        this->reachable = true;
        this->on_reach(true, {});
    }
    this->call_later(delay, next);
}

void node_lease::on_failure(const base::error& error,
                            void (node_lease::*again)())
{
    if (this->reachable)
    {
        this->reachable = false;
        this->on_reach(false,
                       std::string(base::name_of(error.code)) + ": " +
                           error.detail);
    }
    this->call_later(retry_pause, again);
}

void node_lease::call_later(duration delay, void (node_lease::*call)())
{
    this->runtime.call_after(delay,
                             [this, call, mine = this->generation]
                             {
                                 if (mine == this->generation)
                                 {
                                     (this->*call)();
                                 }
                             });
}

} // namespace hawthornrelay::core::relay
