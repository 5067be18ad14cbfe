// Commands that send requests to nodes, for callers and operators.
#include <commands/command.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <utility>

#include <absl/flags/flag.h>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <adapters/crypto/digest.hpp>
#include <adapters/http/client.hpp>
#include <core/base/result.hpp>

ABSL_FLAG(std::string,
          via,
          "127.0.0.1:7001",
          "the address of any node, as ip:port");
ABSL_FLAG(std::string,
          key,
          "",
          "the key to authenticate with; HAWTHORNRELAY_KEY when empty");
ABSL_FLAG(std::vector<std::string>,
          services,
          {},
          "the services to query; all services of the plan when empty");
ABSL_FLAG(std::string, body, "", "the body sent to each service");
ABSL_FLAG(int,
          deadline_ms,
          1000,
          "the longest time to wait for the answer, in ms");
ABSL_FLAG(std::string,
          request_key,
          "",
          "the key that makes a request run at most once; a new key is issued "
          "when empty");
ABSL_FLAG(uint64_t,
          revision,
          0,
          "the current revision of the item to change; 0 for a new item");
ABSL_FLAG(
    int,
    wait_ms,
    0,
    "the longest time to wait until all nodes have applied a change, in ms");

namespace hawthornrelay::commands
{

namespace json = boost::json;
using adapters::http::response;
using core::base::result;
using core::base::result_code;

namespace
{

/// Added to a request's own time limit for the node's processing.
constexpr std::chrono::milliseconds response_margin{6000};

std::string api_key()
{
    auto key = absl::GetFlag(FLAGS_key);
    const char* from_environment = std::getenv("HAWTHORNRELAY_KEY");
    if (key.empty() && from_environment != nullptr)
    {
        key = from_environment;
    }
    return key;
}

result<response> call(const std::string& address,
                      const std::string& method,
                      const std::string& target,
                      const std::string& body)
{
    adapters::http::request message;
    message.method = method;
    message.target = target;
    message.headers["authorization"] = "Bearer " + api_key();
    message.body = body;
    const std::chrono::milliseconds time(absl::GetFlag(FLAGS_deadline_ms) +
                                         absl::GetFlag(FLAGS_wait_ms));
    return adapters::http::fetch(
        address, std::move(message), time + response_margin);
}

int print(const result<response>& answer)
{
    if (!answer)
    {
        fmt::print(stderr,
                   "error {} {}: {}\n",
                   static_cast<int>(answer.error().code),
                   core::base::name_of(answer.error().code),
                   answer.error().detail);
        return 1;
    }
    fmt::print("{}\n", answer->body);
    return answer->status == 200 ? 0 : 1;
}

/// Asks a node which addresses to use; returns the node's own on an error.
std::vector<std::string> discover_addresses()
{
    const auto via = absl::GetFlag(FLAGS_via);
    const auto answer = call(via, "GET", "/v1/addresses", "");
    std::vector<std::string> list;
    if (answer && answer->status == 200)
    {
        json::error_code error;
        const auto parsed = json::parse(answer->body, error);
        if (const auto* object = parsed.if_object(); !error && object)
        {
            for (const auto& item : object->at("addresses").as_array())
            {
                list.emplace_back(item.as_string());
            }
        }
    }
    if (list.empty())
    {
        list.push_back(via);
    }
    return list;
}

/// Calls the first address that accepts a connection.
result<response> call_any(const std::vector<std::string>& list,
                          const std::string& target,
                          const std::string& body)
{
    result<response> answer =
        core::base::fail(result_code::connect_failed, "no address");
    for (const auto& address : list)
    {
        answer = call(address, "POST", target, body);
        const bool is_unreachable =
            !answer && answer.error().code == result_code::connect_failed;
        if (!is_unreachable)
        {
            break;
        }
    }
    return answer;
}

std::optional<std::string> new_request_key(const std::string& address)
{
    const auto answer = call(address, "POST", "/v1/keys", "");
    if (!answer || answer->status != 200)
    {
        print(answer);
        return std::nullopt;
    }
    return std::string(json::parse(answer->body).at("key").as_string());
}

/// Adds a random id, by which a write whose answer was lost can be identified
/// in the stored value.
std::string with_change_id(const std::string& value)
{
    json::error_code error;
    auto parsed = json::parse(value, error);
    if (error || !parsed.is_object())
    {
        return value;
    }
    parsed.get_object()["change_id"] =
        fmt::format("{:016x}", adapters::crypto::random_number());
    return json::serialize(parsed);
}

} // namespace

int hash_key(const arguments& args)
{
    if (args.size() != 1)
    {
        fmt::print(stderr, "hash-key requires exactly one key\n");
        return exit_usage;
    }
    fmt::print("{}\n", adapters::crypto::sha256_hex(args.front()));
    return 0;
}

int addresses(const arguments& /*args*/)
{
    return print(call(absl::GetFlag(FLAGS_via), "GET", "/v1/addresses", ""));
}

int query(const arguments& /*args*/)
{
    json::object body{{"body", absl::GetFlag(FLAGS_body)},
                      {"deadline_ms", absl::GetFlag(FLAGS_deadline_ms)}};
    const auto services = absl::GetFlag(FLAGS_services);
    if (!services.empty())
    {
        body["services"] = json::value_from(services);
    }
    return print(
        call_any(discover_addresses(), "/v1/query", json::serialize(body)));
}

int request(const arguments& /*args*/)
{
    const auto services = absl::GetFlag(FLAGS_services);
    if (services.size() != 1)
    {
        fmt::print(stderr, "request requires --services=ONE\n");
        return exit_usage;
    }
    const auto list = discover_addresses();
    auto key = absl::GetFlag(FLAGS_request_key);
    if (key.empty())
    {
        const auto issued = new_request_key(list.front());
        if (!issued)
        {
            return 1;
        }
        key = *issued;
        fmt::print(stderr, "request key: {}\n", key);
    }
    const json::object body{{"key", key},
                            {"service", services.front()},
                            {"body", absl::GetFlag(FLAGS_body)},
                            {"deadline_ms", absl::GetFlag(FLAGS_deadline_ms)}};
    return print(call_any(list, "/v1/requests", json::serialize(body)));
}

int admin(const arguments& args)
{
    const auto via = absl::GetFlag(FLAGS_via);
    const std::string root = "/admin/v1/config";
    if (args.size() == 1 && args[0] == "list")
    {
        return print(call(via, "GET", root, ""));
    }
    if (args.size() == 2 && args[0] == "get")
    {
        return print(call(via, "GET", root + "/" + args[1], ""));
    }
    const auto change = fmt::format("?revision={}&wait_ms={}",
                                    absl::GetFlag(FLAGS_revision),
                                    absl::GetFlag(FLAGS_wait_ms));
    if (args.size() == 3 && args[0] == "put")
    {
        return print(call(via,
                          "PUT",
                          root + "/" + args[1] + change,
                          with_change_id(args[2])));
    }
    if (args.size() == 2 && args[0] == "delete")
    {
        return print(call(via, "DELETE", root + "/" + args[1] + change, ""));
    }
    fmt::print(stderr,
               "admin requires list, get ITEM, put ITEM VALUE or delete "
               "ITEM\n");
    return exit_usage;
}

int status(const arguments& /*args*/)
{
    return print(call(absl::GetFlag(FLAGS_via), "GET", "/admin/v1/status", ""));
}

} // namespace hawthornrelay::commands
