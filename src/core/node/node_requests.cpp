// Keyed requests, which run at most once: execution at the node that issued the
// key, and forwarding to it.
#include <core/node/node.hpp>

#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::node
{

using base::counter;
using base::fail;
using base::log_event;
using base::result_code;

base::result<std::string> node::issue_key(const std::string& key_sha256)
{
    const auto refusal = this->refusal_for_new_work();
    if (refusal != result_code::ok || this->stopping)
    {
        return fail(this->stopping ? result_code::node_stopping : refusal);
    }
    return this->authenticate(key_sha256)
        .map(
            [this](const identity&)
            {
                return idempotency::format(
                    this->keyed_requests.issue(this->ports.runtime.now()));
            });
}

void node::submit_keyed(const std::string& key_sha256,
                        const keyed_call& call,
                        keyed_handler done)
{
    const auto key = idempotency::parse_request_key(call.key);
    if (!key)
    {
        done({key.error().code, {}});
        return;
    }
    const auto caller = this->authenticate(key_sha256);
    if (!caller)
    {
        done({caller.error().code, {}});
        return;
    }
    if (!caller->plan.services.contains(call.service))
    {
        done({result_code::service_not_in_plan, {}});
        return;
    }
    if (key->node == this->settings.self.id)
    {
        this->run_keyed(caller->customer,
                        call.key,
                        call.service,
                        call.body,
                        call.time_left,
                        std::move(done));
        return;
    }
    this->forward_keyed(key->node,
                        {0,
                         call.key,
                         caller->customer,
                         call.service,
                         call.body,
                         call.time_left},
                        std::move(done));
}

void node::run_keyed(const std::string& customer,
                     const std::string& key,
                     const std::string& service,
                     const std::string& body,
                     base::duration time_left,
                     keyed_handler done)
{
    const auto parsed = idempotency::parse_request_key(key);
    if (!parsed)
    {
        done({parsed.error().code, {}});
        return;
    }
    const auto request =
        base::hash_of(customer, base::fingerprint_of(service, body));
    const auto& contents = this->control.store().contents();
    const auto start = [&, this](const keyed_handler& finished)
    {
        const auto refusal = this->refusal_for_new_work();
        const auto known = contents.customers.find(customer);
        const bool has_plan = known != contents.customers.end() &&
                              contents.plans.contains(known->second.plan);
        if (refusal != result_code::ok || !has_plan)
        {
            finished({refusal != result_code::ok
                          ? refusal
                          : result_code::unknown_credentials,
                      {}});
            return;
        }
        const auto& plan = contents.plans.at(known->second.plan);
        if (this->ports.log.is_enabled(log_event::keyed_started))
        {
            this->ports.log.write(log_event::keyed_started,
                                  {{"key", key}, {"service", service}});
        }
        this->admit_and_query(
            {customer, plan},
            {customer, {service}, body, time_left, plan.urgent, false},
            [this, key, finished](query::query_answer answer)
            {
                idempotency::keyed_outcome outcome{answer.code, {}};
                if (answer.code == result_code::ok)
                {
                    outcome = {answer.shards.front().code,
                               std::move(answer.shards.front().body)};
                }
                const auto kind =
                    outcome.code == result_code::ok ? counter::keyed_done
                    : proves_not_run(outcome.code)  ? counter::keyed_not_run
                                                    : counter::keyed_unknown;
                this->counters.add(kind);
                if (this->ports.log.is_enabled(log_event::keyed_resolved))
                {
                    this->ports.log.write(
                        log_event::keyed_resolved,
                        {{"key", key},
                         {"code", std::string(name_of(outcome.code))}});
                }
                finished(outcome);
            });
    };
    this->keyed_requests.run_once(
        *parsed, request, this->ports.runtime.now(), start, std::move(done));
}

void node::forward_keyed(const base::node_id& to,
                         messages::keyed_request request,
                         keyed_handler done)
{
    const auto* row = this->control.members().find(to);
    const bool is_listed =
        row != nullptr &&
        row->record.state != membership::member_state::removed;
    if (!is_listed)
    {
        done({result_code::outcome_unknown, {}});
        return;
    }
    const auto id = this->next_forward_id++;
    request.id = id;
    auto& pending = this->forwarded[id];
    pending.done = std::move(done);
    pending.node = to;
    pending.timeout = this->ports.runtime.call_after(
        request.time_left,
        [this, id]
        {
            this->finish_forwarded(id, {result_code::outcome_unknown, {}});
        });
    this->send(to, std::move(request));
}

void node::finish_forwarded(std::uint64_t id,
                            const idempotency::keyed_outcome& outcome)
{
    auto found = this->forwarded.extract(id);
    if (found.empty())
    {
        this->counters.add(counter::replies_dropped);
        return;
    }
    this->ports.runtime.cancel(found.mapped().timeout);
    found.mapped().done(outcome);
}

} // namespace hawthornrelay::core::node
