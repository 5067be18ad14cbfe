// Graceful shutdown, from SIGTERM to the removal of the member record.
#include <core/node/node.hpp>

#include <utility>

namespace hawthornrelay::core::node
{

using base::log_event;

namespace
{

/// Maximum time for accepted work to end after new work is refused.
constexpr base::duration close_timeout = std::chrono::seconds(3);

} // namespace

void node::stop(std::function<void()> done)
{
    if (this->stopping)
    {
        return;
    }
    this->ports.log.write(log_event::node_stopping,
                          {{"node", this->settings.self.id}});
    this->stopping = true;
    this->on_stopped = std::move(done);
    this->stop_started = this->ports.runtime.now();
    this->control.leave();
}

void node::continue_stop()
{
    if (!this->stopping || this->removing_self)
    {
        return;
    }
    const auto elapsed = this->ports.runtime.now() - this->stop_started;
    if (!this->closing && this->may_close(elapsed))
    {
        this->closing = true;
        this->dispatcher.refuse_unsendable();
    }
    const bool is_idle = this->coordinator.open_queries() == 0 &&
                         this->dispatcher.pending() == 0 &&
                         this->keyed_requests.running() == 0 &&
                         this->forwarded.empty();
    const bool is_overdue =
        elapsed > this->settings.max_stop_time + close_timeout;
    if (!this->closing || (!is_idle && !is_overdue))
    {
        return;
    }
    this->removing_self = true;
    this->control.remove_self(
        [this]
        {
            this->ports.log.write(log_event::node_stopped,
                                  {{"node", this->settings.self.id}});
            this->on_stopped();
        });
}

bool node::may_close(base::duration elapsed) const
{
    const auto& bounds = this->settings.control.freshness;
    // A node that has not yet received the leaving state may give out this
    // address for up to verified_for, and callers cache it for its time to
    // live.
    const auto addresses_expire =
        bounds.verified_for + this->settings.address_time_to_live;
    return elapsed >= addresses_expire &&
           (this->shares.unreleased() == 0 ||
            elapsed > this->settings.max_stop_time);
}

} // namespace hawthornrelay::core::node
