#include <core/limits/admission.hpp>

#include <algorithm>
#include <utility>

#include <core/limits/plan_slices.hpp>

namespace hawthornrelay::core::limits
{

using base::result_code;

admission::admission(admission_context context)
    : context(std::move(context)),
      next_id(base::first_number(this->context.incarnation))
{
}

void admission::request(const std::string& customer,
                        const config::plan& plan,
                        base::duration time_left,
                        handler done)
{
    const auto id = this->next_id++;
    auto& item = this->pending_requests[id];
    item.customer = customer;
    item.home_nodes = home_nodes_of(this->context.routes, customer, plan);
    item.deadline = this->context.runtime.now() + time_left;
    item.done = std::move(done);
    const auto own = std::find(
        item.home_nodes.begin(), item.home_nodes.end(), this->context.self);
    item.next_slice =
        own != item.home_nodes.end()
            ? static_cast<std::size_t>(own - item.home_nodes.begin())
            : this->rotation++;
    this->ask_next(id);
}

void admission::ask_next(std::uint64_t id)
{
    auto it = this->pending_requests.find(id);
    if (it == this->pending_requests.end())
    {
        return;
    }
    auto& item = it->second;
    const auto now = this->context.runtime.now();
    if (item.asked_slices >= item.home_nodes.size() || now >= item.deadline)
    {
        this->fail(id);
        return;
    }
    const auto slice = item.next_slice++ % item.home_nodes.size();
    ++item.asked_slices;
    if (!this->context.is_reachable(item.home_nodes[slice]))
    {
        this->ask_next(id);
        return;
    }
    // Each slice is asked with a new id, so that a late answer from an earlier
    // one does not admit the query a second time.
    const auto asked_id = this->next_id++;
    if (auto handle = this->pending_requests.extract(id); !handle.empty())
    {
        handle.key() = asked_id;
        this->pending_requests.insert(std::move(handle));
    }
    auto& current = this->pending_requests.at(asked_id);
    current.current_slice = slice;
    const auto wait =
        std::min(reply_timeout, base::remaining(current.deadline, now));
    current.timeout =
        this->context.runtime.call_after(wait,
                                         [this, asked_id]
                                         {
                                             this->ask_next(asked_id);
                                         });
    this->context.out.send(
        current.home_nodes[slice],
        messages::admit_request{asked_id,
                                current.customer,
                                static_cast<std::uint32_t>(slice),
                                base::remaining(current.deadline, now)});
}

void admission::fail(std::uint64_t id)
{
    auto found = this->pending_requests.extract(id);
    found.mapped().done(found.mapped().refusal, 0);
}

void admission::on_reply(const messages::admit_reply& reply)
{
    const auto it = this->pending_requests.find(reply.id);
    if (it == this->pending_requests.end())
    {
        return;
    }
    auto& item = it->second;
    this->context.runtime.cancel(item.timeout);
    item.timeout = ports::no_timer;
    if (reply.code != result_code::ok)
    {
        item.refusal = reply.code;
        this->ask_next(reply.id);
        return;
    }
    auto found = this->pending_requests.extract(it);
    this->granted_admissions[reply.id] = {
        found.mapped().home_nodes[found.mapped().current_slice],
        found.mapped().customer};
    found.mapped().done(result_code::ok, reply.id);
}

void admission::release(std::uint64_t id)
{
    auto found = this->granted_admissions.extract(id);
    if (found.empty())
    {
        return;
    }
    this->context.out.send(
        found.mapped().home,
        messages::admit_release{id, found.mapped().customer});
}

} // namespace hawthornrelay::core::limits
