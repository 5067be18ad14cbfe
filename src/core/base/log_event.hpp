/// @file
/// @brief Numbered log events, documented in docs/LOG-EVENTS.md.
#pragma once

#include <string_view>

namespace hawthornrelay::core::base
{

/// @brief Number of a log event; the number divided by 100 is the subsystem.
enum class log_event
{
    node_started = 101,
    node_stopping = 102,
    node_stopped = 103,
    node_ready = 104,
    node_fenced = 105,

    member_leaving = 202,
    member_removed = 203,
    epoch_adopted = 204,
    epoch_settled = 205,
    share_acquired = 206,
    share_released = 207,
    share_waiting = 208,

    config_applied = 301,
    config_rejected = 302,
    change_accepted = 303,
    change_refused = 304,

    replica_chosen = 401,
    hedge_sent = 402,
    hedge_denied = 403,
    attempt_retried = 404,
    query_answered = 405,
    query_restarted = 406,
    reply_dropped = 407,

    work_sent = 501,
    work_shed = 502,
    replica_cold = 503,
    work_refused = 505,
    work_moved = 506,

    admission_refused = 601,

    keyed_started = 701,
    keyed_resolved = 702,

    request_crashed_target = 801,
    request_quarantined = 802,

    platform_away = 901,
    platform_back = 902,
    link_up = 903,
    link_down = 904,
    link_rejected = 905,
    bad_input = 906,

    relay_started = 1001,
    relay_stopping = 1002,
    relay_stopped = 1003,
    settings_reloaded = 1004,
    configuration_in_force = 1011,
    configuration_unreadable = 1012,
    change_deferred = 1013,
    replica_listed = 1021,
    replica_removed = 1022,
    replica_lapsing = 1023,
    replica_unreadable = 1024,
    replica_suspect = 1025,
    replica_recovered = 1026,
    zone_out = 1027,
    zone_back = 1028,
    replica_limited = 1029,
    replica_limit_ended = 1030,
    store_lost = 1031,
    store_regained = 1032,
    source_chosen = 1033,
    source_lost = 1034,
    source_regained = 1035,
    replica_leaving = 1036,
    replica_backs_off = 1037,
    store_listed = 1038,
    change_ignored = 1039,
    store_restored = 1040,
    node_listed = 1041,
    node_unlisted = 1042,
    node_heard = 1043,
    node_silent = 1044,
    entry_joined = 1045,
    entry_left = 1046,
    cut_off = 1047,
    cut_healed = 1048,
    source_avoided = 1049,
    request_started = 1050,
    request_answered = 1051,
    send_failed = 1052,
    caller_gone = 1053,
    sent_again = 1054,
    send_withheld = 1055,
    crash_found = 1056,
    request_contained = 1057,
    crash_ruled_out = 1058,
    crashes_cleared = 1059,
    quarantine_written = 1060,
    quarantine_known = 1061,
    quarantine_ended = 1062,
    send_unanswered = 1063,
    quarantine_ignored = 1064,
    handler_failed = 1065,
    store_items_unreadable = 1066,
    cold_part_begun = 1067,
    cold_part_ended = 1068,
    organisations_in_force = 1070,

    rollout_ordered = 1085,
    rollout_withdrawn = 1086,
    rollout_status_known = 1087,
    rollout_decider_began = 1088,
    rollout_decider_ended = 1089,
    rollout_rejected = 1090,
    rollout_written = 1091,
    rollout_unreadable = 1092,
    overload_began = 1098,
    overload_ended = 1099,
    slow_start_begun = 1080,
    slow_start_reduced = 1081,
    slow_start_ended = 1082,

    client_memory_limited = 1093,
    client_descriptors_limited = 1094,
    client_stalled = 1095,
    client_fields_limited = 1096,
    client_pipelining_limited = 1097,
    quota_share_held = 1075,
    quota_share_lost = 1076,
    quota_exceeded = 1077,
    quota_kept = 1078,
};

/// @brief Severity of a log line.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// @brief The stable name of an event.
/// @param event any log event
/// @return the enumerator's name
std::string_view name_of(log_event event);

/// @brief The severity at which an event is logged.
/// @param event any log event
/// @return its severity; error for a number outside the table
log_level level_of(log_event event);

} // namespace hawthornrelay::core::base
