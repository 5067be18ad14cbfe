/// @file
/// @brief Numbered result codes and a result type that carries them.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include <tl/expected.hpp>

namespace hawthornrelay::core::base
{

/// @brief Outcome of an operation, documented in docs/RESULT-CODES.md.
///
/// The hundreds digit is the category: 1 caller input, 2 identity and plan,
/// 3 routing, 4 targets, 5 requests that run at most once, 6 configuration,
/// 7 platform, 8 links between nodes, 9 settings and command line.
enum class result_code
{
    ok = 0,

    malformed_request = 101,
    body_too_large = 102,
    unknown_field = 103,
    deadline_expired = 104,
    no_such_path = 105,
    method_not_allowed = 106,
    header_too_large = 107,
    request_timeout = 108,

    unknown_credentials = 201,
    service_not_in_plan = 202,
    rate_exceeded = 203,
    concurrency_exceeded = 204,
    plan_unavailable = 205,

    unknown_service = 301,
    node_not_ready = 302,
    share_moved = 303,
    share_not_ready = 304,
    node_stopping = 305,
    holder_unreachable = 306,
    overloaded = 307,

    queue_full = 401,
    replica_out = 402,
    version_unavailable = 403,
    target_shed = 404,
    target_failed = 405,
    target_lost = 406,
    target_unreachable = 407,
    request_quarantined = 408,
    no_replica = 409,
    cancelled = 410,

    outcome_unknown = 501,
    key_expired = 502,
    key_malformed = 503,
    key_reused = 504,

    revision_conflict = 601,
    invalid_value = 602,
    no_such_item = 603,
    not_in_force = 604,
    history_gone = 605,

    platform_unreachable = 701,
    platform_answer_lost = 702,
    platform_bad_answer = 703,
    platform_connection_lost = 704,

    frame_too_large = 801,
    frame_malformed = 802,
    link_unauthenticated = 803,

    settings_unreadable = 901,
    settings_syntax = 902,
    settings_invalid = 903,
    usage = 904,
    connect_failed = 905,
};

/// @brief The stable name of a code, used in logs and answers.
/// @param code any result code
/// @return the enumerator's name, or "unlisted" for a number outside the table
std::string_view name_of(result_code code);

/// @brief Tells whether @p code proves that no target has started the work, so
///        that it may safely be sent again.
/// @param code the outcome of one attempt
/// @return true only when no target that received any byte of the work can
///         still run it
bool proves_not_run(result_code code);

/// @brief A failed operation: its code and a description for people.
struct error
{
    result_code code = result_code::ok;
    std::string detail;
};

/// @brief The value of an operation or the error that prevented it.
template <typename T>
using result = tl::expected<T, error>;

/// @brief Creates the error of a result.
/// @param code the error code
/// @param detail description for people
/// @return a value convertible to any result<T>
inline tl::unexpected<error> fail(result_code code, std::string detail = {})
{
    return tl::unexpected<error>(error{code, std::move(detail)});
}

} // namespace hawthornrelay::core::base
