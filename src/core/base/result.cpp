#include <core/base/result.hpp>

#include <algorithm>
#include <array>

namespace hawthornrelay::core::base
{

namespace
{

struct code_name
{
    result_code code;
    std::string_view name;
};

constexpr std::array code_names{
    code_name{result_code::ok, "ok"},
    code_name{result_code::malformed_request, "malformed_request"},
    code_name{result_code::body_too_large, "body_too_large"},
    code_name{result_code::unknown_field, "unknown_field"},
    code_name{result_code::deadline_expired, "deadline_expired"},
    code_name{result_code::no_such_path, "no_such_path"},
    code_name{result_code::method_not_allowed, "method_not_allowed"},
    code_name{result_code::header_too_large, "header_too_large"},
    code_name{result_code::request_timeout, "request_timeout"},
    code_name{result_code::unknown_credentials, "unknown_credentials"},
    code_name{result_code::service_not_in_plan, "service_not_in_plan"},
    code_name{result_code::rate_exceeded, "rate_exceeded"},
    code_name{result_code::concurrency_exceeded, "concurrency_exceeded"},
    code_name{result_code::plan_unavailable, "plan_unavailable"},
    code_name{result_code::unknown_service, "unknown_service"},
    code_name{result_code::node_not_ready, "node_not_ready"},
    code_name{result_code::share_moved, "share_moved"},
    code_name{result_code::share_not_ready, "share_not_ready"},
    code_name{result_code::node_stopping, "node_stopping"},
    code_name{result_code::holder_unreachable, "holder_unreachable"},
    code_name{result_code::overloaded, "overloaded"},
    code_name{result_code::queue_full, "queue_full"},
    code_name{result_code::replica_out, "replica_out"},
    code_name{result_code::version_unavailable, "version_unavailable"},
    code_name{result_code::target_shed, "target_shed"},
    code_name{result_code::target_failed, "target_failed"},
    code_name{result_code::target_lost, "target_lost"},
    code_name{result_code::target_unreachable, "target_unreachable"},
    code_name{result_code::request_quarantined, "request_quarantined"},
    code_name{result_code::no_replica, "no_replica"},
    code_name{result_code::cancelled, "cancelled"},
    code_name{result_code::outcome_unknown, "outcome_unknown"},
    code_name{result_code::key_expired, "key_expired"},
    code_name{result_code::key_malformed, "key_malformed"},
    code_name{result_code::key_reused, "key_reused"},
    code_name{result_code::revision_conflict, "revision_conflict"},
    code_name{result_code::invalid_value, "invalid_value"},
    code_name{result_code::no_such_item, "no_such_item"},
    code_name{result_code::not_in_force, "not_in_force"},
    code_name{result_code::history_gone, "history_gone"},
    code_name{result_code::platform_unreachable, "platform_unreachable"},
    code_name{result_code::platform_answer_lost, "platform_answer_lost"},
    code_name{result_code::platform_bad_answer, "platform_bad_answer"},
    code_name{result_code::platform_connection_lost,
              "platform_connection_lost"},
    code_name{result_code::frame_too_large, "frame_too_large"},
    code_name{result_code::frame_malformed, "frame_malformed"},
    code_name{result_code::link_unauthenticated, "link_unauthenticated"},
    code_name{result_code::settings_unreadable, "settings_unreadable"},
    code_name{result_code::settings_syntax, "settings_syntax"},
    code_name{result_code::settings_invalid, "settings_invalid"},
    code_name{result_code::usage, "usage"},
    code_name{result_code::connect_failed, "connect_failed"},
};

} // namespace

std::string_view name_of(result_code code)
{
    const auto* found = std::find_if(code_names.begin(),
                                     code_names.end(),
                                     [code](const code_name& row)
                                     {
                                         return row.code == code;
                                     });
    return found == code_names.end() ? "unlisted" : found->name;
}

bool proves_not_run(result_code code)
{
    switch (code)
    {
    case result_code::deadline_expired:
    case result_code::rate_exceeded:
    case result_code::concurrency_exceeded:
    case result_code::plan_unavailable:
    case result_code::service_not_in_plan:
    case result_code::unknown_credentials:
    case result_code::unknown_service:
    case result_code::node_not_ready:
    case result_code::share_moved:
    case result_code::share_not_ready:
    case result_code::node_stopping:
    case result_code::overloaded:
    case result_code::queue_full:
    case result_code::replica_out:
    case result_code::version_unavailable:
    case result_code::target_shed:
    case result_code::target_unreachable:
    case result_code::request_quarantined:
    case result_code::no_replica:
    case result_code::malformed_request:
    case result_code::key_malformed:
    case result_code::key_expired:
    case result_code::key_reused:
        return true;
    default:
        return false;
    }
}

} // namespace hawthornrelay::core::base
