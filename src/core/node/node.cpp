#include <core/node/node.hpp>

#include <algorithm>
#include <utility>

#include <core/base/hash.hpp>
#include <core/limits/plan_slices.hpp>

namespace hawthornrelay::core::node
{

using base::counter;
using base::fail;
using base::log_event;
using base::result_code;

node::node(node_settings settings, node_ports ports)
    : settings(std::move(settings)), ports(ports),
      crashes(this->settings.quarantine), control({ports.runtime,
                                                   ports.platform,
                                                   ports.log,
                                                   *this,
                                                   this->counters,
                                                   this->crashes,
                                                   this->settings.self,
                                                   this->settings.secret},
                                                  this->settings.control),
      shares({ports.runtime,
              ports.log,
              *this,
              this->control,
              this->routes,
              this->settings.self.id,
              [this](const base::share_id& id)
              {
                  return this->dispatcher.in_flight(id) +
                         this->limiter.open_admissions(id);
              }}),
      dispatcher({ports.runtime,
                  ports.targets,
                  ports.log,
                  *this,
                  this->counters,
                  this->routes,
                  this->shares.table(),
                  this->crashes,
                  this->settings.self.id,
                  this->settings.self.incarnation,
                  [this]
                  {
                      return this->control.may_act() && !this->closing;
                  }},
                 this->settings.dispatch),
      coordinator({ports.runtime,
                   ports.log,
                   *this,
                   this->counters,
                   this->routes,
                   this->settings.self.incarnation,
                   [this](const base::node_id& id)
                   {
                       return this->control.is_reachable(id);
                   },
                   [this](const base::node_id& id)
                   {
                       this->control.suspect(id);
                   }},
                  this->settings.query),
      admission({ports.runtime,
                 *this,
                 this->routes,
                 this->settings.self.id,
                 this->settings.self.incarnation,
                 [this](const base::node_id& id)
                 {
                     return this->control.is_reachable(id);
                 }}),
      keyed_requests(this->settings.keys,
                     this->settings.self.id,
                     this->settings.self.incarnation,
                     this->settings.secret),
      next_forward_id(base::first_number(this->settings.self.incarnation))
{
}

void node::start()
{
    this->ports.log.write(
        log_event::node_started,
        {{"node", this->settings.self.id},
         {"run", std::to_string(this->settings.self.incarnation)},
         {"zone", this->settings.self.zone}});
    this->control.start(
        [this](const control::control_change& change)
        {
            this->on_control_change(change);
        },
        [this]
        {
            this->on_tick();
        });
}

void node::on_control_change(const control::control_change& change)
{
    this->routes.rebuild(this->control.store().contents(),
                         this->control.members());
    this->shares.reconcile(change);
    this->on_shares_changed();
    this->check_changes();
}

void node::on_shares_changed()
{
    this->dispatcher.refuse_unsendable();
    this->limiter.apply_shares(this->shares.table(),
                               this->control.store().contents(),
                               this->ports.runtime.now());
}

void node::on_tick()
{
    const auto now = this->ports.runtime.now();
    const bool ready = this->is_ready();
    if (ready != this->was_ready)
    {
        this->was_ready = ready;
        this->ports.log.write(ready ? log_event::node_ready
                                    : log_event::node_fenced,
                              {{"node", this->settings.self.id}});
        if (!ready)
        {
            this->dispatcher.refuse_unsendable();
        }
    }
    if (this->control.store().current() == 0)
    {
        this->pull_from_seeds();
    }
    if (this->shares.tick())
    {
        this->on_shares_changed();
    }
    this->limiter.expire(now);
    this->keyed_requests.expire(now);
    this->check_changes();
    this->continue_stop();
}

void node::pull_from_seeds()
{
    for (const auto& seed : this->settings.seeds)
    {
        this->ports.peers.send({}, seed, messages::config_pull{0});
    }
}

void node::send(const base::node_id& to, messages::peer_message message)
{
    if (to == this->settings.self.id)
    {
        this->ports.runtime.call_after(
            base::duration::zero(),
            [this, message = std::move(message)]() mutable
            {
                this->on_message(this->settings.self.id, std::move(message));
            });
        return;
    }
    this->counters.add(counter::peer_messages);
    const auto* row = this->control.members().find(to);
    this->ports.peers.send(
        to, row == nullptr ? std::string() : row->record.peer_address, message);
}

void node::on_message(const base::node_id& from, messages::peer_message message)
{
    this->control.on_received(from);
    std::visit(
        [&](auto& content)
        {
            this->handle(from, std::move(content));
        },
        message);
}

void node::on_link_down(const base::node_id& peer)
{
    this->control.suspect(peer);
    this->coordinator.on_link_down(peer);
    std::vector<std::uint64_t> lost;
    for (const auto& [id, request] : this->forwarded)
    {
        if (request.node == peer)
        {
            lost.push_back(id);
        }
    }
    for (const auto id : lost)
    {
        this->finish_forwarded(id, {result_code::outcome_unknown, {}});
    }
}

void node::handle(const base::node_id& from, messages::work_batch message)
{
    this->dispatcher.accept(from, std::move(message));
}

void node::handle(const base::node_id& from, messages::result_batch message)
{
    this->coordinator.on_results(from, std::move(message));
}

void node::handle(const base::node_id& from, const messages::probe& message)
{
    this->control.on_probe(from, message);
}

void node::handle(const base::node_id& from,
                  const messages::probe_reply& message)
{
    this->control.on_probe_reply(from, message);
    this->check_changes();
}

void node::handle(const base::node_id& from,
                  const messages::config_pull& message)
{
    this->control.on_pull(from, message);
}

void node::handle(const base::node_id& from,
                  const messages::config_push& message)
{
    this->control.on_push(from, message);
}

void node::handle(const base::node_id& from,
                  const messages::share_claim& message)
{
    this->shares.on_claim(from, message);
}

void node::handle(const base::node_id& from,
                  const messages::share_grant& message)
{
    if (this->shares.on_grant(from, message))
    {
        this->on_shares_changed();
    }
}

void node::handle(const base::node_id& /*from*/,
                  const messages::work_slow& message)
{
    this->coordinator.on_slow(message);
}

void node::handle(const base::node_id& from,
                  const messages::work_cancel& message)
{
    this->dispatcher.cancel(message.origin.empty() ? from : message.origin,
                            message.attempt);
}

void node::handle(const base::node_id& from,
                  const messages::work_waiting& message)
{
    this->dispatcher.on_work_waiting(from, message);
}

void node::handle(const base::node_id& from,
                  const messages::work_wanted& message)
{
    this->dispatcher.on_work_wanted(from, message);
}

void node::handle(const base::node_id& from,
                  const messages::admit_request& message)
{
    messages::admit_reply reply{message.id, result_code::plan_unavailable};
    const auto share = limits::slice_share(message.customer, message.slice);
    if (this->control.may_act() && this->shares.table().is_held(share))
    {
        const auto now = this->ports.runtime.now();
        reply.code = this->limiter.admit({from, message.id},
                                         message.customer,
                                         message.slice,
                                         this->control.store().contents(),
                                         now + message.time_left,
                                         now);
    }
    if (reply.code != result_code::ok &&
        this->ports.log.is_enabled(log_event::admission_refused))
    {
        this->ports.log.write(log_event::admission_refused,
                              {{"customer", message.customer},
                               {"slice", std::to_string(message.slice)},
                               {"code", std::string(name_of(reply.code))}});
    }
    this->send(from, reply);
}

void node::handle(const base::node_id& /*from*/,
                  const messages::admit_reply& message)
{
    this->admission.on_reply(message);
}

void node::handle(const base::node_id& from,
                  const messages::admit_release& message)
{
    this->limiter.release({from, message.id});
}

void node::handle(const base::node_id& from,
                  const messages::keyed_request& message)
{
    this->run_keyed(
        message.customer,
        message.key,
        message.service,
        message.body,
        message.time_left,
        [this, from, id = message.id](const idempotency::keyed_outcome& outcome)
        {
            this->send(from,
                       messages::keyed_reply{id, outcome.code, outcome.body});
        });
}

void node::handle(const base::node_id& /*from*/,
                  const messages::keyed_reply& message)
{
    this->finish_forwarded(message.id, {message.code, message.body});
}

void node::handle(const base::node_id& from,
                  const messages::crash_notice& message)
{
    this->dispatcher.on_crash_notice(from, message);
}

void node::handle(const base::node_id& from, const messages::crash_ack& message)
{
    this->dispatcher.on_crash_ack(from, message);
}

base::result<node::identity>
node::authenticate(const std::string& key_sha256) const
{
    const auto& contents = this->control.store().contents();
    const auto name = contents.customer_by_key.find(key_sha256);
    if (name == contents.customer_by_key.end())
    {
        return fail(result_code::unknown_credentials, "no such customer key");
    }
    const auto& customer = contents.customers.at(name->second);
    const auto plan = contents.plans.find(customer.plan);
    if (plan == contents.plans.end())
    {
        return fail(result_code::plan_unavailable, customer.plan);
    }
    return identity{name->second, plan->second};
}

base::result<std::string>
node::authenticate_operator(const std::string& key_sha256) const
{
    const auto& contents = this->control.store().contents();
    const auto name = contents.operator_by_key.find(key_sha256);
    if (name != contents.operator_by_key.end())
    {
        return name->second;
    }
    const bool is_first = contents.operators.empty() &&
                          !this->settings.operator_key_sha256.empty() &&
                          key_sha256 == this->settings.operator_key_sha256;
    if (is_first)
    {
        return std::string("first-operator");
    }
    return fail(result_code::unknown_credentials, "no such operator key");
}

result_code node::refusal_for_new_work() const
{
    if (this->closing)
    {
        return result_code::node_stopping;
    }
    return this->control.may_act() ? result_code::ok
                                   : result_code::node_not_ready;
}

void node::query(const std::string& key_sha256,
                 query_call call,
                 query::answer_handler done)
{
    query::query_answer refusal;
    refusal.code = this->refusal_for_new_work();
    if (refusal.code != result_code::ok)
    {
        done(std::move(refusal));
        return;
    }
    const auto caller = this->authenticate(key_sha256);
    if (!caller)
    {
        refusal.code = caller.error().code;
        done(std::move(refusal));
        return;
    }
    if (call.services.empty())
    {
        call.services.assign(caller->plan.services.begin(),
                             caller->plan.services.end());
    }
    const bool allowed =
        std::all_of(call.services.begin(),
                    call.services.end(),
                    [&](const std::string& service)
                    {
                        return caller->plan.services.contains(service);
                    });
    if (!allowed)
    {
        refusal.code = result_code::service_not_in_plan;
        done(std::move(refusal));
        return;
    }
    this->admit_and_query(*caller,
                          {caller->customer,
                           std::move(call.services),
                           std::move(call.body),
                           call.time_left,
                           caller->plan.urgent,
                           true},
                          std::move(done));
}

void node::admit_and_query(const identity& caller,
                           query::query_request request,
                           query::answer_handler done)
{
    const auto deadline = this->ports.runtime.now() + request.time_left;
    const auto time_left = request.time_left;
    this->admission.request(
        caller.customer,
        caller.plan,
        time_left,
        [this, deadline, request = std::move(request), done = std::move(done)](
            result_code code, std::uint64_t id) mutable
        {
            if (code != result_code::ok)
            {
                query::query_answer refusal;
                refusal.code = code;
                this->counters.add(counter::queries_refused);
                done(std::move(refusal));
                return;
            }
            request.time_left =
                base::remaining(deadline, this->ports.runtime.now());
            this->coordinator.start(
                std::move(request),
                [this, id, done = std::move(done)](query::query_answer answer)
                {
                    this->admission.release(id);
                    done(std::move(answer));
                });
        });
}

base::result<addresses::address_answer>
node::addresses(const std::string& key_sha256) const
{
    if (!this->control.may_act())
    {
        return fail(result_code::node_not_ready);
    }
    return this->authenticate(key_sha256)
        .map(
            [this](const identity& caller)
            {
                return addresses::addresses_for(
                    this->routes,
                    caller.customer,
                    caller.plan,
                    this->settings.address_time_to_live,
                    [this](const base::node_id& id)
                    {
                        return this->control.is_stopping(id);
                    });
            });
}

} // namespace hawthornrelay::core::node
