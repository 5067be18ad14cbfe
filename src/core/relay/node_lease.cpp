#include <core/relay/node_lease.hpp>

#include <algorithm>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::duration;

namespace
{

/// Lease duration. The loss of a node is detected much earlier, by missing
/// beacons.
constexpr std::chrono::milliseconds default_lease_duration{4000};

/// Interval of renewals, which also show whether the store is reachable.
constexpr std::chrono::milliseconds renew_interval{700};

/// Delay after a failed call.
constexpr std::chrono::milliseconds retry_delay{400};

} // namespace

node_lease::node_lease(ports::runtime& runtime,
                       ports::metadata_store& store,
                       std::string key,
                       std::string value,
                       std::chrono::milliseconds min_lease,
                       store_availability& availability,
                       part_window& window,
                       reach_handler on_reach)
    : runtime(runtime), store(store), key(std::move(key)),
      value(std::move(value)),
      lease_duration(std::max(default_lease_duration, min_lease)),
      availability(availability), window(window), on_reach(std::move(on_reach))
{
}

void node_lease::start()
{
    if (!this->is_running)
    {
        this->is_running = true;
        ++this->generation;
        this->acquire();
    }
}

void node_lease::stop()
{
    this->is_running = false;
    ++this->generation;
    this->window.on_ended();
    if (const auto ended = std::exchange(this->lease, 0); ended != 0)
    {
        this->store.end_lease(ended,
                              [](const base::result<bool>&)
                              {
                                  // If the call failed, the lease expires.
                              });
    }
}

void node_lease::acquire()
{
    this->store.create_lease(
        this->lease_duration,
        [this, call_generation = this->generation](
            const base::result<ports::lease_id>& created)
        {
            if (call_generation != this->generation)
            {
                // The unused lease expires.
                return;
            }
            if (!created)
            {
                this->on_failure(created.error(), &node_lease::acquire);
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
                    [this, call_generation = this->generation](
                        const base::result<std::uint64_t>& written)
                    {
                        if (call_generation != this->generation)
                        {
                            return;
                        }
                        if (written)
                        {
                            this->window.on_registered(this->runtime.now());
                            this->on_success(&node_lease::renew,
                                             renew_interval);
                            return;
                        }
                        // A repeated write is harmless: the value is the same.
                        this->on_failure(written.error(),
                                         written.error().code ==
                                                 base::result_code::no_such_item
                                             ? &node_lease::acquire
                                             : &node_lease::write);
                    });
}

void node_lease::renew()
{
    this->store.renew_lease(
        this->lease,
        [this,
         call_generation = this->generation](const base::result<bool>& renewed)
        {
            if (call_generation != this->generation)
            {
                return;
            }
            if (renewed)
            {
                this->window.on_renewed(this->runtime.now());
                this->on_success(&node_lease::renew, renew_interval);
            }
            else if (renewed.error().code == base::result_code::no_such_item)
            {
                this->on_success(&node_lease::acquire, duration(0));
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
    this->availability.on_answer(this->last_answer);
    if (!this->reachable)
    {
        this->reachable = true;
        this->on_reach(true, {});
    }
    this->call_later(delay, next);
}

void node_lease::on_failure(const base::error& error,
                            void (node_lease::*retry)())
{
    this->availability.on_failure(error, this->runtime.now());
    if (this->reachable)
    {
        this->reachable = false;
        this->on_reach(false,
                       std::string(base::name_of(error.code)) + ": " +
                           error.detail);
    }
    this->call_later(retry_delay, retry);
}

void node_lease::call_later(duration delay, void (node_lease::*call)())
{
    this->runtime.call_after(delay,
                             [this, call, call_generation = this->generation]
                             {
                                 if (call_generation == this->generation)
                                 {
                                     (this->*call)();
                                 }
                             });
}

} // namespace hawthornrelay::core::relay
