#include <core/relay/request_engine.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <fmt/format.h>

#include <core/relay/request_execution.hpp>
#include <core/relay/rollout_manager.hpp>
#include <core/relay/shared_bound.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Cost factor of a replica in another availability zone, for the traffic
/// between zones.
constexpr double remote_zone_factor = 1.5;

/// The same for replicas that report how long work takes: by the time that a
/// request arrives there, the report that made it look better has aged.
constexpr double reporting_remote_zone_factor = 2.0;

/// Added cost of a stalled replica: its oldest send waits longer than usual.
constexpr double stall_cost = 6.0;

/// Added cost of a suspect replica; high enough that it is a last resort.
constexpr double suspect_cost = 100.0;

/// Added cost of a replica whose slow start does not allow a request: above
/// that of a loaded replica, below that of a stalled or suspect one, so that a
/// request is not refused for it.
constexpr double deferral_cost = 3.0;

/// If reports are old, replicas of the cheapest one's zone are chosen among at
/// random up to this much above its cost. The more the cheapest one costs, the
/// more of the differences are queues that other nodes have changed since; slow
/// machines stay out while others are free. The upper bound is less than the
/// cost of a deferred or stalled replica.
constexpr double min_spread_cost = 0.4;
constexpr double spread_per_cost = 2.0;
constexpr double max_spread_cost = 2.5;

/// The store has executed a call at most this long before its answer.
constexpr std::chrono::milliseconds max_store_answer_time{900};

/// A node's part of the bound on cold replicas holds for this long. Requests
/// written within one second were chosen within this time.
constexpr duration cold_span = std::chrono::seconds(1) + ports::max_send_delay;

// The conditions of docs/design/cold-replicas.md under which each node that
// sends is counted by the others that do.
static_assert(part_window::join_wait >= part_window::max_copy_age + cold_span);
static_assert(part_window::join_wait >=
              part_window::max_unconfirmed + cold_span);
static_assert(part_window::retention >=
              part_window::max_unconfirmed + max_store_answer_time + cold_span);

/// A longer gap between calls of record_running() means that the process was
/// paused. A replica can restart and register in about this time.
constexpr std::chrono::seconds min_detected_pause{1};

/// Minimum interval of health checks that requests trigger for a replica that
/// may be cold or may have ended.
constexpr std::chrono::milliseconds recheck_interval{250};

/// With more entries than this, each asks a replica about its load less often,
/// so that it gets at most some 64 such checks a second.
constexpr unsigned entries_per_recheck = 16;

} // namespace

request_engine::request_engine(engine_settings settings,
                               ports::runtime& runtime,
                               ports::replica_transport& transport,
                               ports::event_log& log)
    : settings(std::move(settings)), runtime(runtime), transport(transport),
      log(log), extras(this->settings.extras,
                       runtime.now(),
                       this->settings.is_extra_history_known),
      random(static_cast<std::minstd_rand::result_type>(this->settings.seed))
{
    this->admitted.on_change = [&log](const std::string& service, bool is_short)
    {
        log.write(is_short ? base::log_event::overload_began
                           : base::log_event::overload_ended,
                  {{"service", service}});
    };
}

request_engine::~request_engine() = default;

void request_engine::set_configuration(configuration_ptr config)
{
    this->config = std::move(config);
    std::set<std::string> names;
    for (const auto& configured : this->config->routes)
    {
        names.insert(configured.name);
    }
    std::erase_if(this->latencies,
                  [&](const auto& item)
                  {
                      return !names.contains(item.first);
                  });
    std::erase_if(this->caller_deadlines,
                  [&](const auto& item)
                  {
                      return !names.contains(item.first);
                  });
    std::erase_if(this->traffic_splits,
                  [&](const auto& item)
                  {
                      return !names.contains(item.first);
                  });
}

bool request_engine::has_cold_bounds() const
{
    return this->config != nullptr &&
           std::any_of(this->config->services.begin(),
                       this->config->services.end(),
                       [](const auto& item)
                       {
                           return item.second.cold_requests_per_second > 0;
                       });
}

void request_engine::set_bounds(const engine_settings& changed)
{
    this->settings.cold_overshoot = changed.cold_overshoot;
    this->settings.cold_slack = changed.cold_slack;
    this->extras.set_bound(
        changed.extras.ratio, changed.extras.slack, changed.extras.window);
}

void request_engine::set_division(unsigned entry_count, bool is_entry)
{
    this->entry_count = std::max(1U, entry_count);
    this->is_entry = is_entry;
    this->extras.set_division(this->entry_count, is_entry, this->runtime.now());
}

std::uint64_t request_engine::start(caller_request request, answer_handler done)
{
    this->detect_process_pause();
    const auto number = this->next_request++;
    const auto execution = std::make_shared<request_execution>(
        *this, number, std::move(request), std::move(done));
    this->active_requests[number] = execution;
    execution->start();
    return number;
}

void request_engine::close_at(time_point end)
{
    this->closes_at = end;
    const auto active = this->active_requests;
    for (const auto& [number, execution] : active)
    {
        execution->limit_deadline(end);
    }
}

void request_engine::record_running()
{
    this->detect_process_pause();
    this->last_running_at = this->runtime.now();
}

void request_engine::detect_process_pause()
{
    const auto now = this->runtime.now();
    if (!this->last_running_at ||
        now - *this->last_running_at < min_detected_pause)
    {
        return;
    }
    this->last_running_at = now;
    for (const auto& [id, target] : this->registry.all())
    {
        target->may_be_cold =
            target->may_be_cold || this->cold_rate(*target) > 0;
    }
}

void request_engine::on_caller_disconnected(std::uint64_t request)
{
    const auto found = this->active_requests.find(request);
    if (found != this->active_requests.end())
    {
        const auto execution = found->second;
        execution->on_caller_disconnected();
    }
}

void request_engine::remove_request(std::uint64_t request)
{
    this->active_requests.erase(request);
}

replica_ptr request_engine::choose(const std::vector<replica_ptr>& candidates,
                                   duration stall_threshold)
{
    const auto now = this->runtime.now();
    // Rotates the order so that replicas of equal cost alternate.
    ++this->rotation;
    std::vector<std::pair<double, replica_ptr>> ranked;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& candidate =
            candidates[(i + this->rotation) % candidates.size()];
        const bool is_same_zone = candidate->record.zone == this->settings.zone;
        const double remote_factor = candidate->health.reports_work()
                                         ? reporting_remote_zone_factor
                                         : remote_zone_factor;
        double cost =
            candidate->health.cost(is_same_zone ? 1.0 : remote_factor, now);
        if (candidate->health.oldest_wait(now) > stall_threshold)
        {
            cost += stall_cost;
        }
        if (candidate->health.is_suspect())
        {
            cost += suspect_cost;
        }
        cost += this->pace_cost(*candidate);
        ranked.emplace_back(cost, candidate);
        this->refresh_load(candidate);
    }
    std::stable_sort(ranked.begin(),
                     ranked.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.first < right.first;
                     });
    this->spread_choice(ranked);
    for (const auto& [cost, candidate] : ranked)
    {
        if (this->try_admit(*candidate, now) &&
            this->try_admit_limited(*candidate, now))
        {
            return candidate;
        }
        const bool may_check = candidate->may_be_cold &&
                               now - candidate->checked_at >= recheck_interval;
        if (may_check)
        {
            // Nodes without connections to replicas have no periodic checks.
            this->check(candidate);
        }
    }
    return nullptr;
}

replica_ptr
request_engine::choose_version(const std::string& service,
                               const std::vector<replica_ptr>& candidates,
                               bool is_repeated,
                               duration stall_threshold)
{
    const bool has_rollout = this->rollouts != nullptr &&
                             this->rollouts->share_of(service) != nullptr;
    if (!has_rollout)
    {
        return this->choose(candidates, stall_threshold);
    }
    const auto versions =
        this->rollouts->split(service, candidates, is_repeated);
    const auto preferred = this->choose(versions.preferred, stall_threshold);
    return preferred != nullptr
               ? preferred
               : this->choose(versions.fallback, stall_threshold);
}

std::uint64_t request_engine::count_send(const replica& target)
{
    auto* share = this->rollouts == nullptr
                      ? nullptr
                      : this->rollouts->share_of(target.record.service);
    if (share == nullptr || !share->order())
    {
        return 0;
    }
    if (share->order()->target_version == target.record.version)
    {
        this->counters.add(relay_counter::target_version_sends);
    }
    return share->on_sent(target.record);
}

void request_engine::refresh_load(const replica_ptr& target)
{
    const auto now = this->runtime.now();
    const auto interval =
        recheck_interval * (1 + this->entry_count / entries_per_recheck);
    const bool is_due =
        target->health.is_report_outdated(recheck_interval, now) &&
        now - target->checked_at >= interval;
    if (is_due)
    {
        this->check(target);
    }
}

void request_engine::spread_choice(
    std::vector<std::pair<double, replica_ptr>>& ranked)
{
    const bool is_known =
        ranked.size() < 2 ||
        !ranked.front().second->health.is_report_old(this->runtime.now());
    if (is_known)
    {
        return;
    }
    const auto& [least, cheapest] = ranked.front();
    const double above_usual = std::max(0.0, least - 1);
    const double limit =
        least + std::min(max_spread_cost,
                         min_spread_cost + spread_per_cost * above_usual);
    std::vector<std::ptrdiff_t> eligible;
    for (const auto& item : ranked)
    {
        const bool is_eligible =
            item.first <= limit &&
            item.second->record.zone == cheapest->record.zone;
        if (is_eligible)
        {
            eligible.push_back(&item - ranked.data());
        }
    }
    std::uniform_int_distribution<std::size_t> draw(0, eligible.size() - 1);
    // The cheaper of two random replicas.
    const auto chosen =
        eligible[std::min(draw(this->random), draw(this->random))];
    std::rotate(
        ranked.begin(), ranked.begin() + chosen, ranked.begin() + chosen + 1);
}

double request_engine::pace_cost(replica& target)
{
    auto& pace = target.health.pace();
    const double share = pace.share(this->runtime.now());
    if (const auto step = pace.take_step())
    {
        static constexpr std::array<base::log_event, 3> events{
            base::log_event::slow_start_begun,
            base::log_event::slow_start_reduced,
            base::log_event::slow_start_ended};
        this->log.write(events.at(static_cast<std::size_t>(*step)),
                        {{"replica", target.record.id},
                         {"service", target.record.service},
                         {"share", fmt::format("{:.3f}", share)}});
    }
    if (share >= 1)
    {
        return 0;
    }
    std::uniform_real_distribution<double> draw;
    if (draw(this->random) < share)
    {
        return 0;
    }
    this->counters.add(relay_counter::slow_start_deferrals);
    return deferral_cost;
}

double request_engine::cold_rate(const replica& target) const
{
    if (this->config == nullptr)
    {
        return 0;
    }
    const auto service = this->config->services.find(target.record.service);
    return service == this->config->services.end()
               ? 0
               : service->second.cold_requests_per_second;
}

void request_engine::on_possible_restart(const replica_ptr& target)
{
    if (this->cold_rate(*target) > 0)
    {
        target->may_be_cold = true;
        this->check(target);
    }
}

void request_engine::check(const replica_ptr& target)
{
    if (target->is_being_checked)
    {
        return;
    }
    target->is_being_checked = true;
    target->checked_at = this->runtime.now();
    const auto asked_at = this->runtime.now();
    this->transport.check_health(
        target,
        [this, target, asked_at](const ports::health_report& report)
        {
            target->is_being_checked = false;
            this->on_check_finished(target, report, asked_at);
            if (report.rate_limit)
            {
                this->on_limit(target, report.rate_limit);
            }
            if (report.load && report.load->work_factor)
            {
                target->health.on_load(*report.load, this->runtime.now());
            }
            if (report.is_leaving)
            {
                this->on_leaving(target);
            }
            const bool was_suspect = target->health.is_suspect();
            target->health.on_check(
                report.has_answered, report.is_healthy, this->runtime.now());
            if (!report.is_healthy)
            {
                return;
            }
            target->may_be_cold = false;
            if (report.warm_up_left)
            {
                target->cold_until = this->runtime.now() + *report.warm_up_left;
            }
            if (was_suspect)
            {
                this->log.write(base::log_event::replica_recovered,
                                {{"replica", target->record.id},
                                 {"cold", report.warm_up_left ? "1" : "0"}});
            }
        });
}

void request_engine::on_unanswered(const replica_ptr& target,
                                   unanswered_send send)
{
    const auto& id = target->record.id;
    send.incarnation = target->record.started_at;
    send.replica_alive_at = target->health.alive_at();
    this->crashes.on_unanswered(id, std::move(send), this->runtime.now());
    if (this->crashes.has_suspicion(id))
    {
        this->check(target);
    }
}

void request_engine::on_check_finished(const replica_ptr& target,
                                       const ports::health_report& report,
                                       time_point asked_at)
{
    const auto outcome = report.has_answered ? check_outcome::running
                         : report.is_gone    ? check_outcome::gone
                                             : check_outcome::open;
    const auto& id = target->record.id;
    this->log_suspicions(
        id, this->crashes.on_check(id, outcome, asked_at, this->runtime.now()));
    if (!this->crashes.has_suspicion(id))
    {
        return;
    }
    if (outcome != check_outcome::open)
    {
        // Another send got no answer during the check.
        this->check(target);
        return;
    }
    this->runtime.call_after(
        recheck_interval,
        [this, target]
        {
            if (this->crashes.has_suspicion(target->record.id))
            {
                this->check(target);
            }
        });
}

void request_engine::confirm_restarts()
{
    for (const auto& id : this->crashes.suspected_replicas())
    {
        const auto found = this->registry.all().find(id);
        if (found != this->registry.all().end())
        {
            this->log_suspicions(
                id,
                this->crashes.on_incarnation(
                    id, found->second->record.started_at, this->runtime.now()));
        }
    }
}

void request_engine::log_suspicions(
    const std::string& replica, const std::vector<resolved_suspicion>& resolved)
{
    for (const auto& item : resolved)
    {
        const auto now = this->runtime.now();
        const auto count =
            std::max(this->crashes.crashes_of(item.subject.request, now),
                     this->crashes.crashes_of(item.subject.part, now));
        this->log.write(item.is_crash ? base::log_event::crash_found
                                      : base::log_event::crash_ruled_out,
                        {{"request", item.caller_attempt},
                         {"replica", replica},
                         {"fingerprint", std::to_string(item.subject.request)},
                         {"new", item.is_new ? "1" : "0"},
                         {"crashes", std::to_string(count)}});
        const auto& refused =
            this->crashes.must_refuse(item.subject.request, now)
                ? item.subject.request
                : item.subject.part;
        if (item.is_new && this->crashes.must_refuse(refused, now))
        {
            this->quarantine(refused);
        }
    }
}

void request_engine::quarantine(base::fingerprint refused)
{
    if (this->crashes.quarantine(refused, this->runtime.now()) &&
        this->on_quarantined)
    {
        this->on_quarantined(refused);
    }
}

void request_engine::set_quarantined(base::fingerprint refused, bool is_refused)
{
    const auto now = this->runtime.now();
    if (!is_refused)
    {
        this->crashes.release(refused);
    }
    else if (this->crashes.is_cleared(refused, now))
    {
        // The node that stored the refusal has not seen the answers.
        this->log.write(base::log_event::quarantine_ignored,
                        {{"fingerprint", std::to_string(refused)}});
    }
    else
    {
        this->crashes.quarantine(refused, now);
    }
}

bool request_engine::is_quarantined(base::fingerprint refused) const
{
    return this->crashes.must_refuse(refused, this->runtime.now());
}

void request_engine::merge_crashes(const std::vector<crash_report>& reports)
{
    this->crashes.merge(reports, this->runtime.now());
}

std::vector<crash_report> request_engine::crashes_to_report()
{
    const auto now = this->runtime.now();
    this->confirm_restarts();
    this->crashes.expire(now);
    return this->crashes.reports_to_send(now);
}

void request_engine::on_limit(const replica_ptr& target,
                              std::optional<double> per_second)
{
    if (!per_second)
    {
        this->end_limit(target);
        return;
    }
    const auto now = this->runtime.now();
    const bool is_changed =
        !target->limit || target->limit->per_second() != *per_second;
    if (!target->limit)
    {
        target->limit.emplace(*per_second, now);
    }
    target->limit->on_named(*per_second, now);
    if (is_changed)
    {
        this->log.write(base::log_event::replica_limited,
                        {{"replica", target->record.id},
                         {"service", target->record.service},
                         {"limit", fmt::format("{:.2f}", *per_second)}});
    }
}

void request_engine::end_limit(const replica_ptr& target)
{
    if (target->limit)
    {
        target->limit.reset();
        this->log.write(base::log_event::replica_limit_ended,
                        {{"replica", target->record.id},
                         {"service", target->record.service}});
    }
}

void request_engine::on_leaving(const replica_ptr& target)
{
    if (!target->is_leaving)
    {
        target->is_leaving = true;
        this->log.write(base::log_event::replica_leaving,
                        {{"replica", target->record.id},
                         {"service", target->record.service}});
    }
}

void request_engine::on_back_off(const replica_ptr& target, duration pause)
{
    target->back_off_until = this->runtime.now() + pause;
    this->log.write(base::log_event::replica_backs_off,
                    {{"replica", target->record.id},
                     {"service", target->record.service},
                     {"pause_ms", ms_text(pause)}});
}

void request_engine::refresh_limits()
{
    const auto now = this->runtime.now();
    for (const auto& [id, target] : this->registry.all())
    {
        if (!target->limit)
        {
            continue;
        }
        if (target->limit->has_expired(now))
        {
            this->end_limit(target);
        }
        else if (target->limit->is_stale(now))
        {
            this->check(target);
        }
    }
}

std::size_t request_engine::users_of_limit(const replica& target) const
{
    if (!this->is_entry)
    {
        return 0;
    }
    const auto users =
        std::min<std::size_t>(this->entry_count, target.limit->max_users());
    const bool is_excluded =
        users < this->entry_count && this->rank_among_entries &&
        this->rank_among_entries(target.record.id) >= users;
    return is_excluded ? 0 : users;
}

bool request_engine::try_admit_limited(replica& target, time_point now)
{
    if (!target.limit)
    {
        return true;
    }
    const auto users = this->users_of_limit(target);
    return users > 0 && target.limit->try_take(users, now);
}

std::optional<duration>
request_engine::until_available(const std::string& service) const
{
    const auto now = this->runtime.now();
    auto result = this->registry.shortest_back_off(service, now);
    for (const auto& target : this->registry.usable(service, now))
    {
        if (!target->limit)
        {
            continue;
        }
        const auto users = this->users_of_limit(*target);
        const auto wait = users == 0 ? duration::max()
                                     : target->limit->until_next(users, now);
        result = std::min(result.value_or(wait), wait);
    }
    return result;
}

std::size_t request_engine::rank_of_self(const replica& target) const
{
    // The last rank has the smallest part.
    return this->rank_among_entries ? this->rank_among_entries(target.record.id)
                                    : this->entry_count - 1;
}

std::size_t request_engine::cold_bound(const replica& target) const
{
    return static_cast<std::size_t>(
        std::max(0.0,
                 this->cold_rate(target) * this->settings.cold_overshoot +
                     this->settings.cold_slack));
}

std::size_t request_engine::cold_part(const replica& target,
                                      time_point now) const
{
    const bool has_part = this->is_entry && (this->window == nullptr ||
                                             this->window->is_open(now));
    return has_part ? part_of(this->cold_bound(target),
                              {this->entry_count, this->rank_of_self(target)})
                    : 0;
}

bool request_engine::try_admit(replica& target, time_point now)
{
    if (this->cold_rate(target) <= 0)
    {
        return true;
    }
    auto& sent = target.recent_sends;
    while (!sent.empty() && sent.front() + cold_span <= now)
    {
        sent.pop_front();
    }
    // Sends before the replica was known to be cold count as well.
    const bool is_cold = target.cold_until > now || target.may_be_cold;
    if (is_cold && sent.size() >= this->cold_part(target, now))
    {
        this->counters.add(relay_counter::cold_deferrals);
        return false;
    }
    sent.push_back(now);
    if (sent.size() > this->cold_bound(target))
    {
        // No part needs more than the newest sends.
        sent.pop_front();
    }
    return true;
}

} // namespace hawthornrelay::core::relay
