#include <adapters/api/body.hpp>

#include <algorithm>
#include <chrono>
#include <initializer_list>
#include <set>

#include <boost/json.hpp>

namespace hawthornrelay::adapters::api
{

namespace json = boost::json;
using core::base::fail;
using core::base::result;
using core::base::result_code;

namespace
{

constexpr std::int64_t default_deadline_ms = 1000;
constexpr std::int64_t max_deadline_ms = 2000;
constexpr std::size_t max_services = 1000;

json::string_view to_json_view(std::string_view text)
{
    return {text.data(), text.size()};
}

result<json::object> parse_object(std::string_view text)
{
    json::error_code error;
    auto parsed = json::parse(to_json_view(text), error);
    if (error)
    {
        return fail(result_code::malformed_request,
                    "the body is not JSON: " + error.message());
    }
    if (!parsed.is_object())
    {
        return fail(result_code::malformed_request,
                    "the body is not a JSON object");
    }
    return std::move(parsed.get_object());
}

result<void> check_fields(const json::object& object,
                          std::initializer_list<std::string_view> names)
{
    for (const auto& member : object)
    {
        const std::string_view name(member.key().data(), member.key().size());
        if (std::find(names.begin(), names.end(), name) == names.end())
        {
            return fail(result_code::unknown_field, std::string(name));
        }
    }
    return {};
}

result<std::string> read_text(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(to_json_view(name));
    if (value == nullptr || !value->is_string())
    {
        return fail(result_code::malformed_request,
                    std::string(name) + " must be a string");
    }
    return std::string(value->get_string());
}

result<core::base::duration> read_deadline(const json::object& object)
{
    std::int64_t milliseconds = default_deadline_ms;
    if (const auto* value = object.if_contains("deadline_ms"))
    {
        json::error_code error;
        milliseconds =
            value->is_number() ? value->to_number<std::int64_t>(error) : -1;
        if (error || milliseconds < 0 || milliseconds > max_deadline_ms)
        {
            return fail(result_code::malformed_request,
                        "deadline_ms must be a number from 0 to " +
                            std::to_string(max_deadline_ms));
        }
    }
    if (milliseconds == 0)
    {
        return fail(result_code::deadline_expired, "deadline_ms is 0");
    }
    return std::chrono::milliseconds(milliseconds);
}

result<std::vector<std::string>> read_services(const json::object& object)
{
    std::vector<std::string> services;
    const auto* value = object.if_contains("services");
    if (value == nullptr)
    {
        return services;
    }
    if (!value->is_array() || value->get_array().size() > max_services)
    {
        return fail(result_code::malformed_request,
                    "services must be a list with a length of at most " +
                        std::to_string(max_services));
    }
    std::set<std::string> seen;
    for (const auto& item : value->get_array())
    {
        if (!item.is_string() ||
            !seen.insert(std::string(item.get_string())).second)
        {
            return fail(result_code::malformed_request,
                        "services must contain distinct strings");
        }
        services.emplace_back(item.get_string());
    }
    return services;
}

void add_code(json::object& object, result_code code)
{
    object["code"] = static_cast<int>(code);
    object["name"] = to_json_view(name_of(code));
}

const char* outcome_name(result_code code)
{
    if (code == result_code::ok)
    {
        return "done";
    }
    return proves_not_run(code) ? "not_run" : "unknown";
}

const char* phase_name(core::placement::share_table::state phase)
{
    using state = core::placement::share_table::state;
    switch (phase)
    {
    case state::waiting:
        return "waiting";
    case state::held:
        return "held";
    case state::draining:
        return "draining";
    case state::given:
        return "given";
    }
    return "";
}

json::array write_members(const core::node::node& node)
{
    json::array members;
    for (const auto& [id, row] : node.control_state().members().rows())
    {
        static constexpr std::array state_names{"active", "leaving", "removed"};
        members.push_back(json::object{
            {"node", id},
            {"zone", row.record.zone},
            {"state",
             state_names.at(static_cast<std::size_t>(row.record.state))},
            {"heard", node.control_state().is_reachable(id)}});
    }
    return members;
}

json::array write_shares(const core::node::node& node)
{
    json::array shares;
    for (const auto& [id, share] : node.share_state().all())
    {
        if (share.phase == core::placement::share_table::state::given)
        {
            continue;
        }
        const auto target = node.dispatch_state().status(id);
        shares.push_back(json::object{{"share", core::base::to_string(id)},
                                      {"phase", phase_name(share.phase)},
                                      {"in_flight", target.in_flight},
                                      {"limit", target.limit},
                                      {"queued", target.queued},
                                      {"warm", target.warm}});
    }
    return shares;
}

} // namespace

result<core::node::query_call> read_query(std::string_view text)
{
    const auto object = parse_object(text);
    if (!object)
    {
        return tl::unexpected(object.error());
    }
    const auto known =
        check_fields(*object, {"services", "body", "deadline_ms"});
    const auto services = read_services(*object);
    const auto body = read_text(*object, "body");
    const auto deadline = read_deadline(*object);
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    if (!services)
    {
        return tl::unexpected(services.error());
    }
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    if (!deadline)
    {
        return tl::unexpected(deadline.error());
    }
    return core::node::query_call{*services, *body, *deadline};
}

result<core::node::keyed_call> read_keyed_call(std::string_view text)
{
    const auto object = parse_object(text);
    if (!object)
    {
        return tl::unexpected(object.error());
    }
    const auto known =
        check_fields(*object, {"key", "service", "body", "deadline_ms"});
    const auto key = read_text(*object, "key");
    const auto service = read_text(*object, "service");
    const auto body = read_text(*object, "body");
    const auto deadline = read_deadline(*object);
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    for (const auto* field : {&key, &service, &body})
    {
        if (!*field)
        {
            return tl::unexpected(field->error());
        }
    }
    if (!deadline)
    {
        return tl::unexpected(deadline.error());
    }
    return core::node::keyed_call{*key, *service, *body, *deadline};
}

std::string write_answer(const core::query::query_answer& answer)
{
    json::object body;
    add_code(body, answer.code);
    body["version"] = answer.version;
    json::array results;
    json::array missing;
    for (const auto& shard : answer.shards)
    {
        json::object item{{"service", shard.service}};
        if (shard.code == result_code::ok)
        {
            item["body"] = shard.body;
            results.push_back(std::move(item));
        }
        else
        {
            add_code(item, shard.code);
            missing.push_back(std::move(item));
        }
    }
    body["coverage"] = json::object{{"asked", answer.shards.size()},
                                    {"answered", answer.answered},
                                    {"missing", std::move(missing)}};
    body["results"] = std::move(results);
    return json::serialize(body);
}

std::string write_outcome(const core::idempotency::keyed_outcome& outcome)
{
    json::object body{{"outcome", outcome_name(outcome.code)}};
    add_code(body, outcome.code);
    body["body"] = outcome.body;
    return json::serialize(body);
}

std::string write_error(result_code code, const std::string& detail)
{
    json::object body;
    add_code(body, code);
    body["detail"] = detail;
    return json::serialize(body);
}

std::string write_status(const core::node::node& node)
{
    const auto& control = node.control_state();
    return json::serialize(json::object{{"node", control.self().id},
                                        {"run", control.self().incarnation},
                                        {"zone", control.self().zone},
                                        {"ready", node.is_ready()},
                                        {"stopping", node.is_stopping()},
                                        {"revision", control.store().current()},
                                        {"epoch", control.members().epoch()},
                                        {"open_queries", node.open_queries()},
                                        {"members", write_members(node)},
                                        {"shares", write_shares(node)}});
}

} // namespace hawthornrelay::adapters::api
