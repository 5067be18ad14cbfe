#include <core/base/log_event.hpp>

#include <algorithm>
#include <array>

namespace hawthornrelay::core::base
{

namespace
{

struct event_row
{
    log_event event;
    std::string_view name;
    log_level level;
};

constexpr std::array event_rows{
    event_row{log_event::node_started, "node_started", log_level::info},
    event_row{log_event::node_stopping, "node_stopping", log_level::info},
    event_row{log_event::node_stopped, "node_stopped", log_level::info},
    event_row{log_event::node_ready, "node_ready", log_level::info},
    event_row{log_event::node_fenced, "node_fenced", log_level::warning},
    event_row{log_event::member_leaving, "member_leaving", log_level::info},
    event_row{log_event::member_removed, "member_removed", log_level::warning},
    event_row{log_event::epoch_adopted, "epoch_adopted", log_level::info},
    event_row{log_event::epoch_settled, "epoch_settled", log_level::info},
    event_row{log_event::share_acquired, "share_acquired", log_level::info},
    event_row{log_event::share_released, "share_released", log_level::info},
    event_row{log_event::share_waiting, "share_waiting", log_level::info},
    event_row{log_event::config_applied, "config_applied", log_level::info},
    event_row{
        log_event::config_rejected, "config_rejected", log_level::warning},
    event_row{log_event::change_accepted, "change_accepted", log_level::info},
    event_row{log_event::change_refused, "change_refused", log_level::info},
    event_row{log_event::replica_chosen, "replica_chosen", log_level::debug},
    event_row{log_event::hedge_sent, "hedge_sent", log_level::debug},
    event_row{log_event::hedge_denied, "hedge_denied", log_level::debug},
    event_row{log_event::attempt_retried, "attempt_retried", log_level::debug},
    event_row{log_event::query_answered, "query_answered", log_level::debug},
    event_row{log_event::query_restarted, "query_restarted", log_level::debug},
    event_row{log_event::reply_dropped, "reply_dropped", log_level::debug},
    event_row{log_event::work_sent, "work_sent", log_level::debug},
    event_row{log_event::work_shed, "work_shed", log_level::debug},
    event_row{log_event::replica_cold, "replica_cold", log_level::info},
    event_row{log_event::work_moved, "work_moved", log_level::debug},
    event_row{log_event::work_refused, "work_refused", log_level::debug},
    event_row{
        log_event::admission_refused, "admission_refused", log_level::debug},
    event_row{log_event::keyed_started, "keyed_started", log_level::debug},
    event_row{log_event::keyed_resolved, "keyed_resolved", log_level::debug},
    event_row{log_event::request_crashed_target,
              "request_crashed_target",
              log_level::warning},
    event_row{log_event::request_quarantined,
              "request_quarantined",
              log_level::warning},
    event_row{log_event::platform_away, "platform_away", log_level::warning},
    event_row{log_event::platform_back, "platform_back", log_level::info},
    event_row{log_event::link_up, "link_up", log_level::info},
    event_row{log_event::link_down, "link_down", log_level::warning},
    event_row{log_event::link_rejected, "link_rejected", log_level::warning},
    event_row{log_event::bad_input, "bad_input", log_level::info},
    event_row{log_event::relay_started, "relay_started", log_level::info},
    event_row{log_event::relay_stopping, "relay_stopping", log_level::info},
    event_row{log_event::relay_stopped, "relay_stopped", log_level::info},
    event_row{
        log_event::settings_reloaded, "settings_reloaded", log_level::info},
    event_row{log_event::configuration_in_force,
              "configuration_in_force",
              log_level::info},
    event_row{log_event::configuration_unreadable,
              "configuration_unreadable",
              log_level::warning},
    event_row{log_event::change_deferred, "change_deferred", log_level::info},
    event_row{log_event::replica_listed, "replica_listed", log_level::info},
    event_row{log_event::replica_removed, "replica_removed", log_level::info},
    event_row{log_event::replica_lapsing, "replica_lapsing", log_level::info},
    event_row{log_event::replica_unreadable,
              "replica_unreadable",
              log_level::warning},
    event_row{
        log_event::replica_suspect, "replica_suspect", log_level::warning},
    event_row{
        log_event::replica_recovered, "replica_recovered", log_level::info},
    event_row{log_event::zone_out, "zone_out", log_level::info},
    event_row{log_event::zone_back, "zone_back", log_level::info},
    event_row{log_event::replica_limited, "replica_limited", log_level::info},
    event_row{
        log_event::replica_limit_ended, "replica_limit_ended", log_level::info},
    event_row{log_event::store_lost, "store_lost", log_level::warning},
    event_row{log_event::store_regained, "store_regained", log_level::info},
    event_row{log_event::source_chosen, "source_chosen", log_level::info},
    event_row{log_event::source_lost, "source_lost", log_level::warning},
    event_row{log_event::source_regained, "source_regained", log_level::info},
    event_row{log_event::replica_leaving, "replica_leaving", log_level::info},
    event_row{
        log_event::replica_backs_off, "replica_backs_off", log_level::info},
    event_row{log_event::store_listed, "store_listed", log_level::info},
    event_row{log_event::change_ignored, "change_ignored", log_level::warning},
    event_row{log_event::store_restored, "store_restored", log_level::warning},
    event_row{log_event::node_listed, "node_listed", log_level::info},
    event_row{log_event::node_unlisted, "node_unlisted", log_level::info},
    event_row{log_event::node_heard, "node_heard", log_level::info},
    event_row{log_event::node_silent, "node_silent", log_level::warning},
    event_row{log_event::entry_joined, "entry_joined", log_level::info},
    event_row{log_event::entry_left, "entry_left", log_level::info},
    event_row{log_event::cold_part_begun, "cold_part_begun", log_level::info},
    event_row{log_event::cold_part_ended, "cold_part_ended", log_level::info},
    event_row{log_event::cut_off, "cut_off", log_level::warning},
    event_row{log_event::cut_healed, "cut_healed", log_level::info},
    event_row{log_event::source_avoided, "source_avoided", log_level::warning},
    event_row{log_event::request_started, "request_started", log_level::info},
    event_row{log_event::request_answered, "request_answered", log_level::info},
    event_row{log_event::send_failed, "send_failed", log_level::info},
    event_row{log_event::caller_gone, "caller_gone", log_level::info},
    event_row{log_event::sent_again, "sent_again", log_level::info},
    event_row{log_event::send_withheld, "send_withheld", log_level::info},
    event_row{log_event::crash_found, "crash_found", log_level::warning},
    event_row{
        log_event::request_contained, "request_contained", log_level::warning},
    event_row{log_event::crash_ruled_out, "crash_ruled_out", log_level::info},
    event_row{log_event::crashes_cleared, "crashes_cleared", log_level::info},
    event_row{
        log_event::quarantine_written, "quarantine_written", log_level::info},
    event_row{log_event::quarantine_known, "quarantine_known", log_level::info},
    event_row{log_event::quarantine_ended, "quarantine_ended", log_level::info},
    event_row{log_event::send_unanswered, "send_unanswered", log_level::info},
    event_row{
        log_event::quarantine_ignored, "quarantine_ignored", log_level::info},
    event_row{log_event::handler_failed, "handler_failed", log_level::error},
    event_row{log_event::store_items_unreadable,
              "store_items_unreadable",
              log_level::warning},
    event_row{log_event::organisations_in_force,
              "organisations_in_force",
              log_level::info},
    event_row{log_event::rollout_ordered, "rollout_ordered", log_level::info},
    event_row{
        log_event::rollout_withdrawn, "rollout_withdrawn", log_level::info},
    event_row{log_event::rollout_status_known,
              "rollout_status_known",
              log_level::info},
    event_row{log_event::rollout_decider_began,
              "rollout_decider_began",
              log_level::info},
    event_row{log_event::rollout_decider_ended,
              "rollout_decider_ended",
              log_level::info},
    event_row{
        log_event::rollout_rejected, "rollout_rejected", log_level::warning},
    event_row{log_event::rollout_written, "rollout_written", log_level::info},
    event_row{log_event::rollout_unreadable,
              "rollout_unreadable",
              log_level::warning},
    event_row{log_event::overload_began, "overload_began", log_level::warning},
    event_row{log_event::overload_ended, "overload_ended", log_level::info},
    event_row{log_event::slow_start_begun, "slow_start_begun", log_level::info},
    event_row{
        log_event::slow_start_reduced, "slow_start_reduced", log_level::info},
    event_row{log_event::slow_start_ended, "slow_start_ended", log_level::info},
    event_row{log_event::client_memory_limited,
              "client_memory_limited",
              log_level::warning},
    event_row{log_event::client_descriptors_limited,
              "client_descriptors_limited",
              log_level::warning},
    event_row{log_event::client_stalled, "client_stalled", log_level::warning},
    event_row{log_event::client_fields_limited,
              "client_fields_limited",
              log_level::warning},
    event_row{log_event::client_pipelining_limited,
              "client_pipelining_limited",
              log_level::warning},
    event_row{log_event::quota_share_held, "quota_share_held", log_level::info},
    event_row{
        log_event::quota_share_lost, "quota_share_lost", log_level::warning},
    event_row{log_event::quota_exceeded, "quota_exceeded", log_level::info},
    event_row{log_event::quota_kept, "quota_kept", log_level::info},
};

const event_row* find_row(log_event event)
{
    return std::find_if(event_rows.begin(),
                        event_rows.end(),
                        [event](const event_row& row)
                        {
                            return row.event == event;
                        });
}

} // namespace

std::string_view name_of(log_event event)
{
    const auto* row = find_row(event);
    return row == event_rows.end() ? "unlisted" : row->name;
}

log_level level_of(log_event event)
{
    const auto* row = find_row(event);
    return row == event_rows.end() ? log_level::error : row->level;
}

} // namespace hawthornrelay::core::base
