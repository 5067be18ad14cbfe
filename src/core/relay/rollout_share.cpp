#include <core/relay/rollout_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// A grant lapses after this time. Grants are repeated every 200 ms, so that
/// some may be lost; the time counts against the time to stop a bad version.
constexpr std::chrono::milliseconds grant_lifetime{1200};

/// Part of the share that the canary uses. The rest is for the shift, in which
/// the new version gets most requests for up to a twentieth of the duration.
constexpr double canary_fraction = 0.5;

/// One send in this many goes to the earlier versions during the shift, so that
/// a fault which begins then is seen in both.
constexpr std::uint64_t control_interval = 10;

/// Part of the slack that nodes use. A node that restarts may use its portion
/// again.
constexpr double slack_fraction = 0.5;

/// A response is slow if it takes this many times the usual latency of the
/// earlier versions. Bad versions are several times slower.
constexpr double slow_factor = 2.5;

/// Added to the usual latency, since timers and scheduling cause differences of
/// this size.
constexpr std::chrono::milliseconds latency_tolerance{2};

std::uint32_t short_hash(std::string_view text)
{
    // 0 stands for no replica.
    return static_cast<std::uint32_t>(base::hash_of(text)) | 1U;
}

} // namespace

rollout_share::rollout_share(std::string service)
    : service(std::move(service)), service_hash(base::hash_of(this->service))
{
}

void rollout_share::set_order(std::optional<rollout_order> order,
                              time_point now)
{
    const bool is_same = order && this->current_order &&
                         order->revision == this->current_order->revision;
    if (is_same)
    {
        return;
    }
    this->current_order = std::move(order);
    this->order_known_at = now;
    this->start_counts();
}

void rollout_share::start_counts()
{
    this->sends = 0;
    this->target_sends = 0;
    this->base_pending = 0;
    this->count_by_group.clear();
    this->base_latencies.clear();
    this->grant = {};
    this->granted_at = {};
    this->base.clear();
    this->find_base();
}

void rollout_share::find_base()
{
    if (!this->current_order || !this->current_status)
    {
        return;
    }
    const auto& status = *this->current_status;
    const bool is_earlier_completed = !this->has_status_of_order() &&
                                      status.state == rollout_state::completed;
    if (is_earlier_completed)
    {
        this->base = {status.target_version};
    }
    else if (!status.base_versions.empty())
    {
        this->base = status.base_versions;
    }
}

void rollout_share::set_status(std::optional<rollout_status> status,
                               time_point now)
{
    this->current_status = std::move(status);
    if (this->has_status_of_order())
    {
        this->order_known_at =
            std::min(this->order_known_at, now - this->current_status->elapsed);
    }
    this->find_base();
}

void rollout_share::set_bounds(const rollout_bounds& changed, unsigned entries)
{
    this->bounds = changed;
    this->entry_count = std::max(1U, entries);
}

void rollout_share::on_grant(const rollout_grant& offered, time_point now)
{
    const bool is_of_order = this->current_order &&
                             offered.order == this->current_order->revision &&
                             offered.service == this->service_hash;
    if (!is_of_order)
    {
        return;
    }
    this->order_known_at =
        std::min(this->order_known_at, now - offered.order_age);
    const auto issued_at = now - offered.age;
    const bool is_newer =
        offered.term > this->grant.term ||
        (offered.term == this->grant.term && issued_at > this->granted_at);
    if (offered.term != 0 && is_newer)
    {
        this->grant = offered;
        this->granted_at = issued_at;
    }
}

rollout_stage rollout_share::stage(time_point now) const
{
    const bool is_running =
        this->has_status_of_order() &&
        this->current_status->state == rollout_state::running;
    return is_running && now - this->granted_at < grant_lifetime
               ? this->grant.stage
               : rollout_stage::hold;
}

std::optional<rollout_grant> rollout_share::last_grant(time_point now) const
{
    if (this->grant.term == 0)
    {
        return std::nullopt;
    }
    auto result = this->grant;
    result.age = now - this->granted_at;
    return result;
}

duration rollout_share::order_age(time_point now) const
{
    if (!this->current_order)
    {
        return duration(0);
    }
    return now - this->order_known_at;
}

bool rollout_share::has_status_of_order() const
{
    return this->current_order && this->current_status &&
           this->current_status->order == this->current_order->revision &&
           this->current_status->target_version ==
               this->current_order->target_version;
}

bool rollout_share::is_open() const
{
    if (!this->current_order)
    {
        // A withdrawn order is rolled back.
        return this->current_status &&
               this->current_status->state == rollout_state::running;
    }
    return !this->has_status_of_order() ||
           this->current_status->state == rollout_state::running;
}

bool rollout_share::is_target(const replica_record& record) const
{
    const auto& target = this->current_order
                             ? this->current_order->target_version
                             : this->current_status->target_version;
    return record.version == target;
}

bool rollout_share::is_allowed(const std::string& version) const
{
    return this->base.empty() || this->base.contains(version);
}

bool rollout_share::has_share() const
{
    const double slack =
        this->bounds.slack * slack_fraction / this->entry_count;
    const double allowed = this->bounds.share * canary_fraction *
                               static_cast<double>(this->sends + 1) +
                           std::floor(slack);
    return static_cast<double>(this->target_sends + 1) <= allowed;
}

version_choice rollout_share::split(const std::vector<replica_ptr>& candidates,
                                    bool is_repeated,
                                    bool has_other_version,
                                    time_point now) const
{
    if (!this->current_order && !this->current_status)
    {
        return {candidates, {}};
    }
    const bool is_of_order =
        !this->current_order || this->has_status_of_order();
    const auto state = is_of_order && this->current_status
                           ? std::optional(this->current_status->state)
                           : std::nullopt;
    if (!this->current_order && state == rollout_state::completed)
    {
        return {candidates, {}};
    }
    version_choice result;
    std::vector<replica_ptr> target;
    std::vector<replica_ptr> target_suspects;
    for (const auto& candidate : candidates)
    {
        if (this->is_target(candidate->record))
        {
            (candidate->health.is_suspect() ? target_suspects : target)
                .push_back(candidate);
        }
        else if (this->is_allowed(candidate->record.version))
        {
            result.fallback.push_back(candidate);
        }
    }
    const bool is_only_target =
        state == rollout_state::completed || !has_other_version ||
        (this->current_order &&
         this->base.contains(this->current_order->target_version));
    if (is_only_target)
    {
        // A service that has no other version does not lose its only one,
        // unless that one was rolled back. An order may also name the version
        // that carries the traffic already.
        if (state == rollout_state::rolled_back)
        {
            return {};
        }
        target.insert(
            target.end(), target_suspects.begin(), target_suspects.end());
        return {std::move(target), {}};
    }
    const auto in_force = this->stage(now);
    const bool is_control =
        in_force == rollout_stage::shift && this->sends % control_interval == 0;
    const bool is_admitted =
        in_force == rollout_stage::drain ||
        (in_force == rollout_stage::shift && !is_control) ||
        (in_force == rollout_stage::canary && this->has_share());
    if (!is_admitted)
    {
        return {std::move(result.fallback), {}};
    }
    result.preferred = std::move(target);
    if (is_repeated && in_force == rollout_stage::canary)
    {
        std::swap(result.preferred, result.fallback);
    }
    return result;
}

std::uint64_t rollout_share::on_sent(const replica_record& to)
{
    if (!this->current_order)
    {
        return 0;
    }
    ++this->sends;
    if (this->is_target(to))
    {
        ++this->target_sends;
    }
    else
    {
        ++this->base_pending;
    }
    return this->current_order->revision;
}

void rollout_share::on_settled(std::uint64_t order,
                               const replica_record& from,
                               std::string_view route,
                               bool is_response,
                               bool is_failed,
                               duration elapsed)
{
    if (!this->current_order || order != this->current_order->revision)
    {
        return;
    }
    const bool is_new = this->is_target(from);
    this->base_pending -= is_new ? 0 : 1;
    if (!is_new && !this->is_allowed(from.version))
    {
        return;
    }
    const auto route_hash = short_hash(route);
    const auto zone = short_hash(from.zone);
    auto& latencies = this->base_latencies[{route_hash, zone}];
    const auto usual = latencies.quantile(0.5, duration(0));
    const auto slow_above =
        std::chrono::duration_cast<duration>(
            std::chrono::duration<double, duration::period>(usual) *
            slow_factor) +
        latency_tolerance;
    const bool is_slow = usual > duration(0) && elapsed > slow_above;
    if (!is_response && !is_slow)
    {
        return;
    }
    const auto replica = is_new ? short_hash(from.id) : 0U;
    auto& count = this->count_by_group[{route_hash, zone, replica}];
    count.service = this->service_hash;
    count.order = this->current_order->revision;
    count.route = route_hash;
    count.zone = zone;
    count.replica = replica;
    if (is_response)
    {
        ++count.responses;
        count.failed += is_failed ? 1 : 0;
    }
    // Failures are often fast, so only their number counts.
    if (usual > duration(0) && !is_failed)
    {
        ++count.timed;
        count.slow += is_slow ? 1 : 0;
    }
    if (!is_new && is_response && !is_failed)
    {
        latencies.add(elapsed);
    }
}

std::vector<rollout_count> rollout_share::counts() const
{
    std::vector<rollout_count> result;
    for (const auto& [key, count] : this->count_by_group)
    {
        result.push_back(count);
    }
    return result;
}

} // namespace hawthornrelay::core::relay
