#include <core/relay/request_engine.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include <core/relay/request_run.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// A replica in another availability zone counts as this much costlier, for
/// the bytes that cross the zones.
constexpr double remote_zone_factor = 1.5;

/// Cost of a replica whose oldest send waits longer than usual: it pauses.
constexpr double cost_of_stall = 6.0;

/// Cost of a replica that is taken to be down; used when there is no other.
constexpr double cost_of_suspect = 100.0;

/// Part of the bound on cold replicas that the entries use together, since
/// sends of one second may arrive within less.
constexpr double cold_safety = 0.6;

/// The process notes that it runs more often than this. A replica restarts and
/// is registered in about this time.
constexpr std::chrono::seconds least_pause{1};

/// A request asks a replica that may be cold for its health this often.
constexpr std::chrono::milliseconds recheck_interval{250};

/// A standby, which serves few requests, uses this part of an entry's part.
constexpr unsigned standby_cold_divisor = 16;

} // namespace

request_engine::request_engine(engine_settings settings,
                               ports::runtime& runtime,
                               ports::replica_transport& transport,
                               ports::event_log& log)
    : settings(std::move(settings)), runtime(runtime), transport(transport),
      log(log), extras(this->settings.extras,
                       runtime.now(),
                       this->settings.knows_extra_history)
{
}

request_engine::~request_engine() = default;

void request_engine::set_configuration(configuration_ptr config)
{
    this->config = std::move(config);
    std::set<std::string> names;
    for (const auto& way : this->config->routes)
    {
        names.insert(way.name);
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
    std::erase_if(this->splits,
                  [&](const auto& item)
                  {
                      return !names.contains(item.first);
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
    this->notice_pause();
    const auto number = this->next_run++;
    const auto run = std::make_shared<request_run>(
        *this, number, std::move(request), std::move(done));
    this->runs[number] = run;
    run->start();
    return number;
}

void request_engine::note_running()
{
    this->notice_pause();
    this->running_at = this->runtime.now();
}

void request_engine::notice_pause()
{
    const auto now = this->runtime.now();
    if (!this->running_at || now - *this->running_at < least_pause)
    {
        return;
    }
    this->running_at = now;
    for (const auto& [id, target] : this->registry.all())
    {
        target->may_be_cold =
            target->may_be_cold || this->cold_rate(*target) > 0;
    }
}

void request_engine::on_caller_gone(std::uint64_t request)
{
    const auto found = this->runs.find(request);
    if (found != this->runs.end())
    {
        const auto run = found->second;
        run->on_caller_gone();
    }
}

void request_engine::forget(std::uint64_t request)
{
    this->runs.erase(request);
}

replica_ptr request_engine::choose(const std::vector<replica_ptr>& candidates,
                                   duration usual)
{
    const auto now = this->runtime.now();
    // Equal candidates take turns.
    ++this->next_choice;
    std::vector<std::pair<double, replica_ptr>> ranked;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const auto& candidate =
            candidates[(i + this->next_choice) % candidates.size()];
        const bool is_near = candidate->record.zone == this->settings.zone;
        double cost =
            candidate->health.cost(is_near ? 1.0 : remote_zone_factor, now);
        if (candidate->health.oldest_wait(now) > usual)
        {
            cost += cost_of_stall;
        }
        if (candidate->health.is_suspect())
        {
            cost += cost_of_suspect;
        }
        ranked.emplace_back(cost, candidate);
    }
    std::stable_sort(ranked.begin(),
                     ranked.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.first < right.first;
                     });
    for (const auto& [cost, candidate] : ranked)
    {
        if (this->admit_cold(*candidate, now))
        {
            return candidate;
        }
        const bool may_ask = candidate->may_be_cold &&
                             now - candidate->checked_at >= recheck_interval;
        if (may_ask)
        {
            // Nodes that keep no connections check replicas for requests only.
            this->check(candidate);
        }
    }
    return nullptr;
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
    this->transport.check(
        target,
        [this, target, asked_at](const ports::health_report& found)
        {
            target->is_being_checked = false;
            this->note_check(target, found.has_answered, asked_at);
            const bool was_suspect = target->health.is_suspect();
            target->health.on_check(
                found.has_answered, found.is_healthy, this->runtime.now());
            if (!found.is_healthy)
            {
                return;
            }
            target->may_be_cold = false;
            if (found.cold_for)
            {
                target->cold_until = this->runtime.now() + *found.cold_for;
            }
            if (was_suspect)
            {
                this->log.write(base::log_event::replica_recovered,
                                {{"replica", target->record.id},
                                 {"cold", found.cold_for ? "1" : "0"}});
            }
        });
}

void request_engine::on_broken(const replica_ptr& target,
                               base::fingerprint request,
                               const std::string& attempt)
{
    this->crashes.on_broken(
        target->record.id, request, attempt, this->runtime.now());
    this->check(target);
}

void request_engine::note_check(const replica_ptr& target,
                                bool has_answered,
                                time_point asked_at)
{
    const auto& id = target->record.id;
    for (const auto request :
         this->crashes.on_check(id, has_answered, asked_at))
    {
        const auto count =
            this->crashes.crashes_of(request, this->runtime.now());
        this->log.write(base::log_event::crash_found,
                        {{"replica", id},
                         {"fingerprint", std::to_string(request)},
                         {"crashes", std::to_string(count)}});
    }
    if (this->crashes.has_suspicion(id))
    {
        // Broke while the check was under way.
        this->check(target);
    }
}

void request_engine::merge_crashes(const std::vector<crash_report>& reports)
{
    this->crashes.merge(reports, this->runtime.now());
}

std::vector<crash_report> request_engine::crashes_to_tell()
{
    const auto now = this->runtime.now();
    this->crashes.expire(now);
    return this->crashes.to_tell(now);
}

bool request_engine::admit_cold(replica& target, time_point now)
{
    const double rate = this->cold_rate(target);
    const bool is_cold = target.cold_until > now || target.may_be_cold;
    if (rate <= 0)
    {
        return true;
    }
    const double over_all_nodes =
        rate * this->settings.cold_overshoot + this->settings.cold_slack;
    const double own =
        over_all_nodes * cold_safety /
        static_cast<double>(this->entry_count *
                            (this->is_entry ? 1U : standby_cold_divisor));
    // Below one send a second, sends are spaced further apart.
    const auto span = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::max(1.0, 1.0 / own)));
    std::erase_if(target.recent_sends,
                  [&](time_point sent)
                  {
                      return sent + span <= now;
                  });
    // Sends from before the replica was known to be cold reached it all the
    // same.
    const double most = std::max(1.0, own);
    auto& sent = target.recent_sends;
    if (is_cold && static_cast<double>(sent.size()) >= most)
    {
        return false;
    }
    sent.push_back(now);
    if (static_cast<double>(sent.size()) > most + 1)
    {
        // Older ones make no difference.
        sent.erase(sent.begin());
    }
    return true;
}

} // namespace hawthornrelay::core::relay
