#include <adapters/api/api.hpp>

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <adapters/api/body.hpp>
#include <adapters/crypto/digest.hpp>

namespace hawthornrelay::adapters::api
{

namespace json = boost::json;
using core::base::fail;
using core::base::result_code;

namespace
{

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view config_path = "/admin/v1/config";
constexpr std::chrono::milliseconds max_wait{10'000};

std::string key_digest(const http::request& message)
{
    auto value = http::header(message.headers, "authorization");
    if (value.starts_with(bearer))
    {
        value.remove_prefix(bearer.size());
    }
    return crypto::sha256_hex(value);
}

/// Parses the value of the first `name=number` in a query string. Returns
/// nullopt if it is absent or not a number.
std::optional<std::uint64_t> query_parameter(std::string_view query,
                                             std::string_view name)
{
    while (!query.empty())
    {
        const auto end = query.find('&');
        const auto item = query.substr(0, end);
        query.remove_prefix(end == std::string_view::npos ? query.size()
                                                          : end + 1);
        if (!item.starts_with(name) || item.size() <= name.size() ||
            item[name.size()] != '=')
        {
            continue;
        }
        const auto digits = item.substr(name.size() + 1);
        std::uint64_t value = 0;
        const auto* last = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), last, value);
        if (parsed.ec == std::errc() && parsed.ptr == last)
        {
            return value;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

http::response success(std::string body)
{
    http::response reply;
    reply.body = std::move(body);
    return reply;
}

} // namespace

unsigned http_status(result_code code)
{
    switch (code)
    {
    case result_code::ok:
        return 200;
    case result_code::body_too_large:
        return 413;
    case result_code::header_too_large:
        return 431;
    case result_code::request_timeout:
        return 408;
    case result_code::no_such_path:
    case result_code::no_such_item:
        return 404;
    case result_code::method_not_allowed:
        return 405;
    case result_code::unknown_credentials:
        return 401;
    case result_code::service_not_in_plan:
        return 403;
    case result_code::rate_exceeded:
    case result_code::concurrency_exceeded:
        return 429;
    case result_code::revision_conflict:
    case result_code::key_reused:
        return 409;
    case result_code::malformed_request:
    case result_code::unknown_field:
    case result_code::deadline_expired:
    case result_code::key_malformed:
    case result_code::key_expired:
    case result_code::invalid_value:
    case result_code::unknown_service:
        return 400;
    default:
        return 503;
    }
}

api::api(core::node::node& node) : node(node)
{
}

http::response api::error_response(result_code code, const std::string& detail)
{
    http::response reply;
    reply.status = http_status(code);
    reply.body = write_error(code, detail);
    return reply;
}

void api::handle(const http::request& message, const http::responder& respond)
{
    const auto query_start = message.target.find('?');
    const auto path = message.target.substr(0, query_start);
    const auto query = query_start == std::string::npos
                           ? std::string()
                           : message.target.substr(query_start + 1);
    if (path == "/metrics")
    {
        this->metrics(respond);
    }
    else if (path == "/ready")
    {
        this->ready(respond);
    }
    else if (path.starts_with("/admin/"))
    {
        this->handle_operator(message, path, query, respond);
    }
    else
    {
        this->handle_caller(message, path, respond);
    }
}

void api::handle_caller(const http::request& message,
                        const std::string& path,
                        const http::responder& respond)
{
    struct route
    {
        std::string_view method;
        std::string_view path;
        void (api::*handler)(const http::request&, const http::responder&);
    };
    static constexpr std::array routes{
        route{"GET", "/v1/addresses", &api::addresses},
        route{"POST", "/v1/query", &api::query},
        route{"POST", "/v1/keys", &api::issue_key},
        route{"POST", "/v1/requests", &api::keyed_request},
    };
    for (const auto& candidate : routes)
    {
        if (candidate.path != path)
        {
            continue;
        }
        if (candidate.method != message.method)
        {
            respond(error_response(result_code::method_not_allowed,
                                   message.method));
            return;
        }
        (this->*candidate.handler)(message, respond);
        return;
    }
    respond(error_response(result_code::no_such_path, path));
}

void api::addresses(const http::request& message,
                    const http::responder& respond)
{
    const auto answer = this->node.addresses(key_digest(message));
    if (!answer)
    {
        respond(error_response(answer.error().code, answer.error().detail));
        return;
    }
    json::array list;
    for (const auto& address : answer->addresses)
    {
        list.emplace_back(address);
    }
    const auto time_to_live =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            answer->time_to_live);
    respond(success(json::serialize(
        json::object{{"addresses", std::move(list)},
                     {"time_to_live_ms", time_to_live.count()}})));
}

void api::query(const http::request& message, const http::responder& respond)
{
    auto call = read_query(message.body);
    if (!call)
    {
        respond(error_response(call.error().code, call.error().detail));
        return;
    }
    this->node.query(
        key_digest(message),
        std::move(*call),
        [respond](const core::query::query_answer& answer)
        {
            if (answer.code != result_code::ok)
            {
                respond(error_response(answer.code, "the query was not run"));
                return;
            }
            respond(success(write_answer(answer)));
        });
}

void api::issue_key(const http::request& message,
                    const http::responder& respond)
{
    const auto key = this->node.issue_key(key_digest(message));
    if (!key)
    {
        respond(error_response(key.error().code, key.error().detail));
        return;
    }
    respond(success(json::serialize(json::object{{"key", *key}})));
}

void api::keyed_request(const http::request& message,
                        const http::responder& respond)
{
    const auto call = read_keyed_call(message.body);
    if (!call)
    {
        respond(error_response(call.error().code, call.error().detail));
        return;
    }
    this->node.submit_keyed(
        key_digest(message),
        *call,
        [respond](const core::idempotency::keyed_outcome& outcome)
        {
            http::response reply = success(write_outcome(outcome));
            reply.status = http_status(outcome.code);
            respond(std::move(reply));
        });
}

void api::handle_operator(const http::request& message,
                          const std::string& path,
                          const std::string& query,
                          const http::responder& respond)
{
    const auto operator_name =
        this->node.authenticate_operator(key_digest(message));
    if (!operator_name)
    {
        respond(error_response(operator_name.error().code,
                               operator_name.error().detail));
        return;
    }
    if (path == "/admin/v1/status" && message.method == "GET")
    {
        this->status(respond);
        return;
    }
    if (path == config_path && message.method == "GET")
    {
        this->list_items(respond);
        return;
    }
    const auto prefix = std::string(config_path) + "/";
    if (!path.starts_with(prefix))
    {
        respond(error_response(result_code::no_such_path, path));
        return;
    }
    const auto item = path.substr(prefix.size());
    if (message.method == "GET")
    {
        this->read_item(item, respond);
    }
    else if (message.method == "PUT" || message.method == "DELETE")
    {
        this->change_item(message, item, query, respond);
    }
    else
    {
        respond(
            error_response(result_code::method_not_allowed, message.method));
    }
}

void api::read_item(const std::string& item, const http::responder& respond)
{
    const auto key = "config/" + item;
    const auto* stored = this->node.control_state().store().find(key);
    if (stored == nullptr || stored->value.empty() ||
        !core::config::parse_key(key))
    {
        respond(error_response(result_code::no_such_item, item));
        return;
    }
    json::error_code error;
    auto value = json::parse(stored->value, error);
    respond(success(json::serialize(
        json::object{{"item", item},
                     {"revision", stored->modified},
                     {"value", error ? json::value(nullptr) : value}})));
}

void api::list_items(const http::responder& respond)
{
    json::array items;
    const auto changes = this->node.control_state().store().changes_since(0);
    for (const auto& stored : changes.items)
    {
        if (!stored.value.empty() && core::config::parse_key(stored.key))
        {
            items.push_back(json::object{
                {"item", stored.key.substr(stored.key.find('/') + 1)},
                {"revision", stored.modified}});
        }
    }
    respond(success(json::serialize(
        json::object{{"revision", this->node.control_state().store().current()},
                     {"items", std::move(items)}})));
}

void api::change_item(const http::request& message,
                      const std::string& item,
                      const std::string& query,
                      const http::responder& respond)
{
    const auto key = core::config::parse_key("config/" + item);
    if (!key)
    {
        respond(error_response(result_code::no_such_item, item));
        return;
    }
    const auto revision = query_parameter(query, "revision");
    if (!revision)
    {
        respond(
            error_response(result_code::malformed_request,
                           "the parameter revision=N is missing: the item's "
                           "current revision, or 0 for a new item"));
        return;
    }
    const bool is_removal = message.method == "DELETE";
    if (!is_removal && message.body.empty())
    {
        respond(
            error_response(result_code::invalid_value, "the body is empty"));
        return;
    }
    const std::chrono::milliseconds wait(
        query_parameter(query, "wait_ms").value_or(0));
    this->node.change(
        {*key,
         *revision,
         is_removal ? std::string() : message.body,
         std::min(wait, max_wait)},
        [respond](const core::base::result<core::node::change_outcome>& outcome)
        {
            if (!outcome)
            {
                respond(error_response(outcome.error().code,
                                       outcome.error().detail));
                return;
            }
            respond(success(json::serialize(json::object{
                {"revision", outcome->revision},
                {"in_force", json::value_from(outcome->in_force)},
                {"missing", json::value_from(outcome->missing)}})));
        });
}

void api::status(const http::responder& respond)
{
    respond(success(write_status(this->node)));
}

void api::metrics(const http::responder& respond)
{
    http::response reply;
    reply.content_type = "text/plain; version=0.0.4";
    const auto& counters = this->node.counter_state();
    for (std::size_t i = 0;
         i < static_cast<std::size_t>(core::base::counter::end);
         ++i)
    {
        const auto which = static_cast<core::base::counter>(i);
        const auto name = core::base::name_of(which);
        reply.body += fmt::format("# TYPE hawthornrelay_{0}_total counter\n"
                                  "hawthornrelay_{0}_total {1}\n",
                                  name,
                                  counters.get(which));
    }
    reply.body += fmt::format("# TYPE hawthornrelay_open_queries gauge\n"
                              "hawthornrelay_open_queries {}\n"
                              "# TYPE hawthornrelay_revision gauge\n"
                              "hawthornrelay_revision {}\n",
                              this->node.open_queries(),
                              this->node.control_state().store().current());
    respond(std::move(reply));
}

void api::ready(const http::responder& respond)
{
    if (this->node.is_ready())
    {
        respond(success("{\"ready\":true}"));
    }
    else
    {
        respond(error_response(result_code::node_not_ready,
                               "the node is not ready"));
    }
}

} // namespace hawthornrelay::adapters::api
