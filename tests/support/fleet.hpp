/// @file
/// @brief Real nodes on one simulated clock, connected to models of the
///        platform, the peers' network and the targets.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <core/base/hash.hpp>
#include <core/node/node.hpp>
#include <support/event_loop.hpp>
#include <support/platform_model.hpp>
#include <support/target_model.hpp>

namespace hawthornrelay::tests::support
{

/// @brief Sizes and delays of a fleet.
struct fleet_shape
{
    std::vector<std::string> zones{"araucania", "los-rios", "chiloe", "aysen"};
    std::size_t nodes = 8;
    std::size_t services = 20;
    std::size_t replicas = 2;
    target_model::parameters target;
    duration peer_delay = std::chrono::microseconds(700);    ///< one way
    duration target_delay = std::chrono::microseconds(1000); ///< one way
    duration platform_round_trip = std::chrono::milliseconds(2);
    double work_ms = 8;            ///< mean work time, without stragglers
    double work_sigma = 0.35;      ///< of the lognormal work time
    double straggler_share = 0.01; ///< requests with ten times the work time
    /// Limits of the only plan: rate, burst and concurrency.
    double rate = 2000;
    std::uint32_t burst = 2000;
    std::uint32_t concurrency = 2000;
    std::uint64_t seed = 1;
};

/// @brief Counts events and writes nothing.
class counting_log final : public ports::event_log
{
  public:
    bool is_enabled(core::base::log_event /*event*/) override
    {
        return false;
    }

    void write(core::base::log_event event,
               std::initializer_list<ports::log_field> /*fields*/) override
    {
        ++this->counts[event];
    }

    std::map<core::base::log_event, int> counts;
};

/// @brief A number of real nodes with the models around them.
class fleet
{
  public:
    explicit fleet(fleet_shape shape)
        : shape(std::move(shape)), random(this->shape.seed)
    {
        this->load_configuration();
        for (std::size_t i = 0; i < this->shape.nodes; ++i)
        {
            this->vms.push_back(std::make_unique<vm_state>());
            this->vms[i]->name = "node-" + std::to_string(i);
            this->vms[i]->zone =
                this->shape.zones[i % this->shape.zones.size()];
        }
    }

    ~fleet()
    {
        for (auto& vm : this->vms)
        {
            vm->process.reset();
        }
    }

    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    // --- time and processes ---

    event_loop loop;
    /// Called with the settings of each node before it starts.
    std::function<void(core::node::node_settings&)> adjust_settings;

    void start_all()
    {
        for (std::size_t i = 0; i < this->vms.size(); ++i)
        {
            this->start(i);
        }
    }

    void start(std::size_t i)
    {
        auto& vm = *this->vms[i];
        ++vm.incarnation;
        vm.process = std::make_unique<process_state>(*this, i);
        vm.process->node.start();
    }

    void kill(std::size_t i)
    {
        this->vms[i]->process.reset();
        ++this->vms[i]->incarnation;
        for (std::size_t other = 0; other < this->vms.size(); ++other)
        {
            this->link_down(other, i);
        }
    }

    /// Kills a node together with its VM: its peers see no refused connections.
    void kill_vm(std::size_t i)
    {
        this->lost_vms.insert(i);
        this->kill(i);
    }

    void pause(std::size_t i)
    {
        this->vms[i]->process->runtime.pause();
    }

    void resume(std::size_t i)
    {
        auto& process = *this->vms[i]->process;
        auto inbox = std::exchange(process.inbox, {});
        process.runtime.resume();
        for (auto& task : inbox)
        {
            task();
        }
    }

    [[nodiscard]] bool is_running(std::size_t i) const
    {
        return this->vms[i]->process != nullptr;
    }

    core::node::node& node(std::size_t i)
    {
        return this->vms[i]->process->node;
    }

    [[nodiscard]] const std::string& name(std::size_t i) const
    {
        return this->vms[i]->name;
    }

    // --- faults of the network and the platform ---

    /// Links that are cut, in the direction from the first node to the second.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::set<std::size_t> platform_cuts;
    std::set<std::size_t> lost_vms; ///< they do not even refuse connections
    bool platform_down = false;
    bool platform_loses_answers = false; ///< of writes, after they are done
    duration platform_delay{};           ///< added to the round trip
    platform_model platform;

    void cut(std::size_t a, std::size_t b)
    {
        this->cuts.insert({a, b});
        this->cuts.insert({b, a});
        this->link_down(a, b);
        this->link_down(b, a);
    }

    void isolate(std::size_t i)
    {
        for (std::size_t other = 0; other < this->vms.size(); ++other)
        {
            if (other != i)
            {
                this->cut(i, other);
            }
        }
    }

    void heal()
    {
        this->cuts.clear();
        this->platform_cuts.clear();
    }

    // --- configuration, written to the platform without the nodes ---

    std::uint64_t write(const std::string& key, const std::string& value)
    {
        const auto written =
            this->platform.compare_and_swap(key, this->revisions[key], value);
        this->revisions[key] = *written;
        return *written;
    }

    std::string service_value(std::size_t s) const
    {
        std::string list;
        for (std::size_t r = 0; r < this->shape.replicas; ++r)
        {
            const auto zone =
                this->shape.zones[(s + r * 2) % this->shape.zones.size()];
            list += (r == 0 ? "" : ",");
            list += R"({"address":")" + address(s, r) + R"(","zone":")" + zone +
                    R"(","vm":"vm-)" + address(s, r) + R"("})";
        }
        return R"({"slots":)" + std::to_string(this->shape.target.slots) +
               R"(,"connection_limit":)" +
               std::to_string(this->shape.target.connections) +
               R"(,"replicas":[)" + list + "]}";
    }

    static std::string address(std::size_t s, std::size_t r)
    {
        return "s" + std::to_string(s) + "-r" + std::to_string(r);
    }

    static std::string key_digest()
    {
        return std::string(64, 'a');
    }

    // --- targets ---

    std::map<std::string, target_model> targets;

    /// Requests in flight by target address: request id and sending node.
    std::map<std::string, std::map<std::uint64_t, std::size_t>> open_requests;

    /// Requests in flight at a target, as counted by the senders.
    [[nodiscard]] std::size_t in_flight(const std::string& at) const
    {
        const auto it = this->open_requests.find(at);
        return it == this->open_requests.end() ? 0 : it->second.size();
    }

    /// Stops a target's process and restarts it after a while.
    void stop_target(const std::string& at, duration down_for)
    {
        const auto now = this->loop.now();
        this->apply_outcomes(at, this->targets.at(at).lose_all(now), {});
        this->targets.at(at).stop_until(now + down_for);
    }

    /// A lognormal work time with the mean `work_ms`, ten times that for
    /// stragglers.
    duration draw_work_time()
    {
        std::lognormal_distribution<double> work(0.0, this->shape.work_sigma);
        std::uniform_real_distribution<double> uniform;
        const double lognormal_mean =
            std::exp(this->shape.work_sigma * this->shape.work_sigma / 2);
        double ms = this->shape.work_ms * work(this->random) / lognormal_mean;
        if (uniform(this->random) < this->shape.straggler_share)
        {
            ms *= 10;
        }
        return duration(static_cast<duration::rep>(ms * 1000));
    }

    // --- callers ---

    /// Sends a query over all services through one node.
    void query(std::size_t i,
               const std::string& body,
               duration time_left,
               core::query::answer_handler done)
    {
        this->node(i).query(
            key_digest(), {{}, body, time_left}, std::move(done));
    }

    const fleet_shape shape;
    std::mt19937_64 random;

  private:
    struct process_state;

    /// One node's connection to the platform.
    class platform_port final : public ports::platform
    {
      public:
        platform_port(fleet& owner, std::size_t self) : owner(owner), self(self)
        {
        }

        void watch(core::base::revision since,
                   duration wait,
                   watch_handler handler) override
        {
            ++this->owner.platform.calls;
            this->call_after_round_trip(
                [this, since, wait, handler]
                {
                    this->poll(since, this->owner.loop.now() + wait, handler);
                });
        }

        void compare_and_swap(const std::string& key,
                              core::base::revision expected,
                              const std::string& value,
                              write_handler handler) override
        {
            ++this->owner.platform.calls;
            this->call_after_round_trip(
                [this, key, expected, value, handler]
                {
                    using core::base::fail;
                    if (this->is_unreachable())
                    {
                        handler(fail(result_code::platform_unreachable));
                        return;
                    }
                    const auto written = this->owner.platform.compare_and_swap(
                        key, expected, value);
                    if (this->owner.platform_loses_answers)
                    {
                        handler(fail(result_code::platform_answer_lost));
                    }
                    else
                    {
                        handler(written);
                    }
                });
        }

        void gone_vms(vm_handler handler) override
        {
            ++this->owner.platform.calls;
            this->call_after_round_trip(
                [this, handler]
                {
                    if (this->is_unreachable())
                    {
                        handler(core::base::fail(
                            result_code::platform_unreachable));
                    }
                    else
                    {
                        handler(this->owner.platform.gone_vms);
                    }
                });
        }

      private:
        [[nodiscard]] bool is_unreachable() const
        {
            return this->owner.platform_down ||
                   this->owner.platform_cuts.contains(this->self);
        }

        void call_after_round_trip(std::function<void()> task)
        {
            this->owner.vms[this->self]->process->runtime.call_after(
                this->owner.shape.platform_round_trip +
                    this->owner.platform_delay,
                std::move(task));
        }

        void poll(core::base::revision since,
                  time_point until,
                  const watch_handler& handler)
        {
            constexpr duration poll_interval = std::chrono::milliseconds(5);
            if (this->is_unreachable())
            {
                handler(core::base::fail(result_code::platform_unreachable));
                return;
            }
            if (this->owner.platform.revision > since ||
                this->owner.loop.now() >= until)
            {
                handler(this->owner.platform.changes_since(since));
                return;
            }
            this->owner.vms[this->self]->process->runtime.call_after(
                poll_interval,
                [this, since, until, handler]
                {
                    this->poll(since, until, handler);
                });
        }

        fleet& owner;
        std::size_t self;
    };

    /// One node's links to its peers.
    class peers_port final : public ports::peers
    {
      public:
        peers_port(fleet& owner, std::size_t self) : owner(owner), self(self)
        {
        }

        void send(const core::base::node_id& to,
                  const std::string& address,
                  const core::messages::peer_message& message) override
        {
            const auto& name = to.empty() ? address : to;
            const auto receiver = this->owner.index_of(name);
            if (receiver == this->owner.vms.size())
            {
                return;
            }
            this->owner.deliver(this->self, receiver, message);
        }

      private:
        fleet& owner;
        std::size_t self;
    };

    /// One node's connections to the targets.
    class targets_port final : public ports::targets
    {
      public:
        targets_port(fleet& owner, std::size_t self) : owner(owner), self(self)
        {
        }

        void send(const ports::target_request& request,
                  reply_handler handler) override
        {
            const auto id = ++this->owner.last_request;
            this->global_ids[request.id] = id;
            this->requests[id] = {
                request.address, request.id, std::move(handler)};
            this->owner.open_requests[request.address][id] = this->self;
            const auto incarnation = this->owner.vms[this->self]->incarnation;
            this->owner.loop.after(this->owner.shape.target_delay,
                                   [this,
                                    &owner = this->owner,
                                    self = this->self,
                                    incarnation,
                                    id,
                                    request]
                                   {
                                       owner.deliver_request(
                                           self, incarnation, id, request);
                                       (void)this;
                                   });
        }

        void cancel(std::uint64_t request) override
        {
            const auto it = this->global_ids.find(request);
            if (it != this->global_ids.end())
            {
                const auto id = it->second;
                this->owner.loop.after(this->owner.shape.target_delay,
                                       [&owner = this->owner,
                                        id,
                                        address = this->requests.at(id).address]
                                       {
                                           owner.cancel_work(address, id);
                                       });
            }
        }

        void receive_answer(std::uint64_t id, const ports::target_reply& reply)
        {
            auto found = this->requests.extract(id);
            if (found.empty())
            {
                return;
            }
            this->global_ids.erase(found.mapped().request);
            found.mapped().handler(reply);
        }

      private:
        struct pending_request
        {
            std::string address;
            std::uint64_t request = 0;
            reply_handler handler;
        };

        fleet& owner;
        std::size_t self;
        std::map<std::uint64_t, std::uint64_t> global_ids;
        std::map<std::uint64_t, pending_request> requests;
    };

    struct process_state
    {
        process_state(fleet& owner, std::size_t i)
            : runtime(owner.loop), platform(owner, i), peers(owner, i),
              targets(owner, i), node(owner.settings_for(i),
                                      {this->runtime,
                                       this->platform,
                                       this->targets,
                                       this->peers,
                                       this->log})
        {
        }

        process_runtime runtime;
        counting_log log;
        platform_port platform;
        peers_port peers;
        targets_port targets;
        std::vector<std::function<void()>> inbox;
        core::node::node node;
    };

    struct vm_state
    {
        std::string name;
        std::string zone;
        std::uint64_t incarnation = 0;
        std::unique_ptr<process_state> process;
    };

    core::node::node_settings settings_for(std::size_t i)
    {
        const auto& vm = *this->vms[i];
        core::node::node_settings settings;
        settings.self = {vm.name,
                         vm.incarnation,
                         vm.zone,
                         "entry-" + vm.name,
                         vm.name,
                         "caller-" + vm.name,
                         core::membership::member_state::active};
        settings.secret =
            core::base::hash_of(vm.name, this->shape.seed + vm.incarnation);
        for (const auto& other : this->vms)
        {
            if (other->name != vm.name)
            {
                settings.seeds.push_back(other->name);
            }
        }
        if (this->adjust_settings)
        {
            this->adjust_settings(settings);
        }
        return settings;
    }

    void load_configuration()
    {
        std::string services;
        for (std::size_t s = 0; s < this->shape.services; ++s)
        {
            const auto service = "s" + std::to_string(s);
            this->write("config/services/" + service, this->service_value(s));
            services += (s == 0 ? "\"" : ",\"") + service + "\"";
            for (std::size_t r = 0; r < this->shape.replicas; ++r)
            {
                auto& model = this->targets[address(s, r)];
                model.settings = this->shape.target;
                model.draw_work_time = [this]
                {
                    return this->draw_work_time();
                };
            }
        }
        this->write(
            "config/plans/all",
            R"({"services":[)" + services + R"(],"rate":)" +
                std::to_string(this->shape.rate) + R"(,"burst":)" +
                std::to_string(this->shape.burst) + R"(,"concurrency":)" +
                std::to_string(this->shape.concurrency) + R"(,"urgent":true})");
        this->write("config/customers/lenadora",
                    R"({"plan":"all","key_sha256":")" + key_digest() + "\"}");
    }

    std::size_t index_of(const std::string& name) const
    {
        const auto it = std::find_if(this->vms.begin(),
                                     this->vms.end(),
                                     [&](const auto& vm)
                                     {
                                         return vm->name == name;
                                     });
        return static_cast<std::size_t>(it - this->vms.begin());
    }

    void deliver(std::size_t from,
                 std::size_t to,
                 const core::messages::peer_message& message)
    {
        if (this->cuts.contains({from, to}) ||
            this->vms[to]->process == nullptr)
        {
            this->link_down(from, to);
            return;
        }
        const auto incarnation = this->vms[to]->incarnation;
        this->loop.after(
            this->shape.peer_delay,
            [this, from, to, incarnation, message]
            {
                auto& vm = *this->vms[to];
                if (vm.incarnation != incarnation || vm.process == nullptr)
                {
                    return;
                }
                auto task = [this, from, to, incarnation, message]
                {
                    auto& receiver = *this->vms[to];
                    if (receiver.incarnation == incarnation)
                    {
                        receiver.process->node.on_message(this->vms[from]->name,
                                                          message);
                    }
                };
                if (vm.process->runtime.is_paused())
                {
                    vm.process->inbox.push_back(task);
                }
                else
                {
                    task();
                }
            });
    }

    /// Notifies one node that its link to another is down; a node that ended
    /// on a reachable VM is also reported as refusing connections.
    void link_down(std::size_t at, std::size_t lost)
    {
        if (at == lost || this->vms[at]->process == nullptr)
        {
            return;
        }
        this->vms[at]->process->runtime.call_after(
            this->shape.peer_delay,
            [this, at, lost]
            {
                auto& node = this->vms[at]->process->node;
                const bool is_refused = this->vms[lost]->process == nullptr &&
                                        !this->lost_vms.contains(lost) &&
                                        !this->cuts.contains({at, lost}) &&
                                        !this->cuts.contains({lost, at});
                if (is_refused)
                {
                    node.on_peer_refused(this->vms[lost]->name);
                }
                node.on_link_down(this->vms[lost]->name);
            });
    }

    void deliver_request(std::size_t from,
                         std::uint64_t incarnation,
                         std::uint64_t id,
                         const ports::target_request& request)
    {
        auto& model = this->targets[request.address];
        this->origins[id] = {from, incarnation, request.address};
        if (model.is_down(this->loop.now()))
        {
            ports::target_reply reply;
            reply.code = result_code::target_unreachable;
            this->send_answer({id, reply});
            return;
        }
        std::vector<target_model::start> started;
        const auto outcomes = model.arrive({id,
                                            request.version,
                                            request.deadline,
                                            !request.request_key.empty(),
                                            request.body},
                                           this->loop.now(),
                                           started);
        this->apply_outcomes(request.address, outcomes, started);
    }

    void cancel_work(const std::string& address, std::uint64_t id)
    {
        std::vector<target_model::start> started;
        const auto outcomes =
            this->targets[address].cancel(id, this->loop.now(), started);
        this->apply_outcomes(address, outcomes, started);
    }

    void apply_outcomes(const std::string& address,
                        const std::vector<target_model::outcome>& outcomes,
                        const std::vector<target_model::start>& started)
    {
        for (const auto& done : outcomes)
        {
            this->send_answer(done);
        }
        for (const auto& item : started)
        {
            this->loop.after(
                item.work_time,
                [this, address, item]
                {
                    std::vector<target_model::start> next;
                    const auto done = this->targets[address].finish(
                        item.id, item.incarnation, this->loop.now(), next);
                    this->apply_outcomes(address, done, next);
                });
        }
    }

    void send_answer(const target_model::outcome& done)
    {
        auto found = this->origins.extract(done.id);
        if (found.empty())
        {
            return;
        }
        const auto origin = found.mapped();
        this->open_requests[origin.address].erase(done.id);
        this->loop.after(this->shape.target_delay,
                         [this, origin, done]
                         {
                             auto& vm = *this->vms[origin.node];
                             if (vm.incarnation != origin.incarnation ||
                                 vm.process == nullptr)
                             {
                                 return;
                             }
                             auto task = [this, origin, done]
                             {
                                 auto& sender = *this->vms[origin.node];
                                 if (sender.incarnation == origin.incarnation)
                                 {
                                     sender.process->targets.receive_answer(
                                         done.id, done.reply);
                                 }
                             };
                             if (vm.process->runtime.is_paused())
                             {
                                 vm.process->inbox.push_back(task);
                             }
                             else
                             {
                                 task();
                             }
                         });
    }

    struct origin
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        std::string address;
    };

    std::vector<std::unique_ptr<vm_state>> vms;
    std::map<std::string, std::uint64_t> revisions;
    std::map<std::uint64_t, origin> origins;
    std::uint64_t last_request = 0;
};

} // namespace hawthornrelay::tests::support
