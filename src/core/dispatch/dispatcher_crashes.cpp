// Crash notices: the siblings' holders get them before the entry node gets the
// result and can retry the request on one of them.
#include <core/dispatch/dispatcher.hpp>

#include <algorithm>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::dispatch
{

using base::counter;
using base::log_event;

void dispatcher::start_crash_wait(const open_request& lost,
                                  messages::work_result result)
{
    const auto now = this->context.runtime.now();
    const auto notice = this->next_crash++;
    const auto event = base::hash_of(
        this->context.self, this->context.incarnation * 1'000'003 + notice);
    const auto& item = lost.work.item;
    const messages::crash_record crash{item.request, item.replica, event, {}};
    this->context.crashes.record(crash, now);
    this->context.counters.add(counter::crashes);
    this->context.log.write(log_event::request_crashed_target,
                            {{"replica", base::to_string(item.replica)},
                             {"request", std::to_string(item.request)}});

    crash_wait wait{0, std::move(result), lost.work.key.entry, ports::no_timer};
    std::vector<base::node_id> notified;
    const auto* siblings = this->context.routes.find(item.replica.service);
    if (siblings != nullptr)
    {
        for (const auto& other : *siblings)
        {
            const bool must_notify =
                !other.holder.empty() && other.holder != this->context.self &&
                std::find(notified.begin(), notified.end(), other.holder) ==
                    notified.end();
            if (must_notify)
            {
                notified.push_back(other.holder);
            }
        }
    }
    wait.pending_acks = notified.size();
    wait.timeout = this->context.runtime.call_after(
        notified.empty() ? base::duration::zero()
                         : this->limits.crash_notice_timeout,
        [this, notice]
        {
            this->finish_crash_wait(notice);
        });
    this->crash_waits.emplace(notice, std::move(wait));
    for (const auto& holder : notified)
    {
        this->context.out.send(holder, messages::crash_notice{notice, crash});
    }
}

void dispatcher::on_crash_notice(const base::node_id& from,
                                 const messages::crash_notice& notice)
{
    this->context.crashes.record(notice.crash, this->context.runtime.now());
    this->context.out.send(from, messages::crash_ack{notice.id});
}

void dispatcher::on_crash_ack(const base::node_id& /*from*/,
                              const messages::crash_ack& ack)
{
    const auto it = this->crash_waits.find(ack.id);
    if (it == this->crash_waits.end())
    {
        return;
    }
    if (--it->second.pending_acks == 0)
    {
        this->finish_crash_wait(ack.id);
    }
}

void dispatcher::finish_crash_wait(std::uint64_t notice)
{
    auto found = this->crash_waits.extract(notice);
    if (found.empty())
    {
        return;
    }
    this->context.runtime.cancel(found.mapped().timeout);
    this->reply(found.mapped().entry, std::move(found.mapped().result));
}

} // namespace hawthornrelay::core::dispatch
