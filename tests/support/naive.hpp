/// @file
/// @brief Naive versions of the query tier, as baselines for the benches.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <support/event_loop.hpp>
#include <support/target_model.hpp>

namespace hawthornrelay::tests::support
{

/// @brief Result of one query.
struct query_record
{
    duration latency{};
    std::size_t asked = 0;    ///< services queried
    std::size_t answered = 0; ///< services that answered in time
};

/// @brief Routing rules of a naive version.
struct naive_rules
{
    /// All entry nodes share one exact view of all replicas, at no cost.
    bool has_exact_view = false;
    bool hedges = false;
    /// Whether the hedge delay starts at the send, not when the query arrives.
    bool hedge_from_send = false;
    duration hedge_after = std::chrono::milliseconds(40);
    double hedge_ratio = 0.05; ///< hedges per sub-query, on average
    /// Maximum of requests in flight per replica; 0: no limit.
    std::uint32_t limit = 0;
};

/// @brief Entry nodes that route by their own counts of requests in flight,
///        or by one exact view that all share; uses no code of the relay.
class naive_tier
{
  public:
    naive_tier(event_loop& loop,
               naive_rules rules,
               std::size_t entries,
               std::size_t services,
               std::size_t replicas,
               const target_model::parameters& target_parameters,
               duration target_delay,
               const std::function<duration()>& draw_work_time)
        : loop(loop), rules(rules), target_delay(target_delay),
          replicas(replicas)
    {
        this->views.resize(rules.has_exact_view ? 1 : entries);
        for (auto& view : this->views)
        {
            view.in_flight.assign(services * replicas, 0);
            view.queues.resize(services);
        }
        this->targets.resize(services * replicas);
        for (auto& target : this->targets)
        {
            target.settings = target_parameters;
            target.draw_work_time = draw_work_time;
            target.answered = target_parameters.answers_to_warm;
        }
    }

    std::uint64_t first_sends = 0;
    std::uint64_t extra_sends = 0;

    void query(std::size_t entry,
               std::size_t services,
               duration time_left,
               std::function<void(query_record)> done)
    {
        auto query = std::make_shared<open_query>();
        query->started = this->loop.now();
        query->deadline = this->loop.now() + time_left;
        query->record.asked = services;
        query->done = std::move(done);
        auto& view = this->views[entry % this->views.size()];
        this->tokens =
            std::min(40.0,
                     this->tokens + this->rules.hedge_ratio *
                                        static_cast<double>(services));
        for (std::size_t s = 0; s < services; ++s)
        {
            ++this->first_sends;
            auto part = std::make_shared<sub_query>();
            part->query = query;
            part->service = s;
            this->enqueue(view, part, false);
            if (this->rules.hedges && !this->rules.hedge_from_send)
            {
                this->loop.after(this->rules.hedge_after,
                                 [this, &view, part]
                                 {
                                     this->hedge(view, part);
                                 });
            }
        }
        this->loop.at(query->deadline,
                      [this, query]
                      {
                          this->finish(*query);
                      });
    }

  private:
    struct open_query
    {
        time_point started;
        time_point deadline;
        query_record record;
        std::function<void(query_record)> done;
        bool is_finished = false;
    };

    struct sub_query
    {
        std::shared_ptr<open_query> query;
        std::size_t service = 0;
        bool is_done = false;
        bool is_hedged = false;
        std::vector<std::pair<std::size_t, std::uint64_t>> sent;
    };

    using part_ptr = std::shared_ptr<sub_query>;

    struct entry_view
    {
        std::vector<std::uint32_t> in_flight;
        std::vector<std::deque<part_ptr>> queues;
    };

    struct attempt
    {
        entry_view* view = nullptr;
        part_ptr part;
        std::size_t replica = 0;
    };

    void enqueue(entry_view& view, const part_ptr& part, bool front)
    {
        auto& queue = view.queues[part->service];
        if (front)
        {
            queue.push_front(part);
        }
        else
        {
            queue.push_back(part);
        }
        this->dispatch_queue(view, part->service);
    }

    void dispatch_queue(entry_view& view, std::size_t service)
    {
        auto& queue = view.queues[service];
        while (!queue.empty())
        {
            const auto part = queue.front();
            if (part->is_done || part->query->is_finished)
            {
                queue.pop_front();
                continue;
            }
            const auto replica = this->least_loaded(view, *part);
            const bool is_full = this->rules.limit != 0 &&
                                 view.in_flight[replica] >= this->rules.limit;
            if (is_full)
            {
                return;
            }
            queue.pop_front();
            this->send(view, part, replica);
        }
    }

    std::size_t least_loaded(const entry_view& view, const sub_query& part)
    {
        std::size_t best = part.service * this->replicas;
        bool has_best = false;
        const auto start = this->rotation++;
        for (std::size_t i = 0; i < this->replicas; ++i)
        {
            const auto replica =
                part.service * this->replicas + (start + i) % this->replicas;
            const bool was_used = std::any_of(part.sent.begin(),
                                              part.sent.end(),
                                              [&](const auto& sent)
                                              {
                                                  return sent.first == replica;
                                              });
            if (was_used)
            {
                continue;
            }
            if (!has_best || view.in_flight[replica] < view.in_flight[best])
            {
                best = replica;
                has_best = true;
            }
        }
        return best;
    }

    void send(entry_view& view, const part_ptr& part, std::size_t replica)
    {
        const auto id = ++this->last_id;
        ++view.in_flight[replica];
        this->attempts[id] = {&view, part, replica};
        part->sent.emplace_back(replica, id);
        if (this->rules.hedges && this->rules.hedge_from_send &&
            !part->is_hedged)
        {
            this->loop.after(this->rules.hedge_after,
                             [this, &view, part]
                             {
                                 this->hedge(view, part);
                             });
        }
        this->loop.after(this->target_delay,
                         [this, id, part, replica]
                         {
                             std::vector<target_model::start> started;
                             const auto outcomes =
                                 this->targets[replica].arrive(
                                     {id, 0, part->query->deadline, false, "x"},
                                     this->loop.now(),
                                     started);
                             this->apply_outcomes(replica, outcomes, started);
                         });
    }

    void hedge(entry_view& view, const part_ptr& part)
    {
        if (part->is_done || part->is_hedged || part->query->is_finished ||
            this->tokens < 1 || part->sent.size() >= this->replicas)
        {
            return;
        }
        this->tokens -= 1;
        part->is_hedged = true;
        ++this->extra_sends;
        this->enqueue(view, part, true);
    }

    void apply_outcomes(std::size_t replica,
                        const std::vector<target_model::outcome>& outcomes,
                        const std::vector<target_model::start>& started)
    {
        for (const auto& done : outcomes)
        {
            this->loop.after(this->target_delay,
                             [this, done]
                             {
                                 this->on_answer(done);
                             });
        }
        for (const auto& item : started)
        {
            this->loop.after(
                item.work_time,
                [this, replica, item]
                {
                    std::vector<target_model::start> next;
                    const auto done = this->targets[replica].finish(
                        item.id, item.incarnation, this->loop.now(), next);
                    this->apply_outcomes(replica, done, next);
                });
        }
    }

    void on_answer(const target_model::outcome& done)
    {
        auto found = this->attempts.extract(done.id);
        if (found.empty())
        {
            return;
        }
        auto& item = found.mapped();
        --item.view->in_flight[item.replica];
        auto& part = *item.part;
        const bool is_answer = done.reply.code == result_code::ok;
        if (is_answer && !part.is_done && !part.query->is_finished)
        {
            part.is_done = true;
            this->cancel_others(part, done.id);
            if (++part.query->record.answered == part.query->record.asked)
            {
                this->finish(*part.query);
            }
        }
        this->dispatch_queue(*item.view, part.service);
    }

    void cancel_others(const sub_query& part, std::uint64_t answered_id)
    {
        for (const auto& [replica, id] : part.sent)
        {
            if (id == answered_id)
            {
                continue;
            }
            this->loop.after(
                this->target_delay,
                [this, replica = replica, id = id]
                {
                    std::vector<target_model::start> started;
                    const auto outcomes = this->targets[replica].cancel(
                        id, this->loop.now(), started);
                    this->apply_outcomes(replica, outcomes, started);
                });
        }
    }

    void finish(open_query& query)
    {
        if (query.is_finished)
        {
            return;
        }
        query.is_finished = true;
        query.record.latency = this->loop.now() - query.started;
        query.done(query.record);
    }

    event_loop& loop;
    naive_rules rules;
    duration target_delay;
    std::size_t replicas;
    std::vector<entry_view> views;
    std::vector<target_model> targets;
    std::map<std::uint64_t, attempt> attempts;
    double tokens = 40;
    std::uint64_t last_id = 0;
    std::size_t rotation = 0;
};

} // namespace hawthornrelay::tests::support
