#include <adapters/platform/http_platform.hpp>

#include <chrono>
#include <utility>

#include <boost/json.hpp>

namespace hawthornrelay::adapters::platform
{

namespace json = boost::json;
using core::base::fail;
using core::base::result;
using core::base::result_code;
using core::base::revision;

namespace
{

constexpr std::chrono::milliseconds call_timeout{1000};
constexpr std::chrono::milliseconds write_timeout{1500};

result<json::value> parse_object(const http::response& answer)
{
    json::parse_options options;
    // Keys of other writers are not always text.
    options.allow_invalid_utf8 = true;
    json::error_code error;
    auto parsed = json::parse(answer.body, error, {}, options);
    if (error || !parsed.is_object())
    {
        return fail(result_code::platform_bad_answer, "not a JSON object");
    }
    return parsed;
}

/// Parses the body of a successful answer with `reader`, which may throw.
template <typename Reader>
auto read_body(const result<http::response>& answer, Reader reader)
    -> result<decltype(reader(std::declval<const json::object&>()))>
{
    if (!answer)
    {
        return fail(result_code::platform_unreachable, answer.error().detail);
    }
    if (answer->status != 200)
    {
        return fail(result_code::platform_unreachable,
                    "status " + std::to_string(answer->status));
    }
    const auto parsed = parse_object(*answer);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    try
    {
        return reader(parsed->as_object());
    }
    catch (const std::exception& error)
    {
        return fail(result_code::platform_bad_answer, error.what());
    }
}

/// Reads a text; empty if there is none.
std::string read_text(const json::value* from)
{
    return from != nullptr && from->is_string()
               ? std::string(from->get_string())
               : std::string();
}

/// Adds an entry to a delta, or its key to those that could not be read.
void add_entry(const json::value& entry, core::config::delta& to)
{
    const auto* fields = entry.if_object();
    const auto find = [fields](std::string_view name)
    {
        return fields == nullptr ? nullptr : fields->if_contains(name);
    };
    const auto* value = find("value");
    const auto* modified = find("revision");
    core::config::item item{read_text(find("key")), read_text(value)};
    json::error_code error;
    if (modified != nullptr)
    {
        item.modified = modified->to_number<revision>(error);
    }
    const bool is_readable = !item.key.empty() && value != nullptr &&
                             value->is_string() && modified != nullptr &&
                             !error;
    if (is_readable)
    {
        to.items.push_back(std::move(item));
    }
    else
    {
        to.unreadable.push_back(std::move(item.key));
    }
}

core::config::delta read_delta(const json::object& body, revision since)
{
    core::config::delta delta{
        since, body.at("revision").to_number<revision>(), {}};
    for (const auto& entry : body.at("entries").as_array())
    {
        add_entry(entry, delta);
    }
    return delta;
}

result<revision> read_revision(const result<http::response>& answer)
{
    if (!answer)
    {
        const bool was_sent =
            answer.error().code != result_code::connect_failed;
        return fail(was_sent ? result_code::platform_answer_lost
                             : result_code::platform_unreachable,
                    answer.error().detail);
    }
    if (answer->status == 409)
    {
        return fail(result_code::revision_conflict,
                    "the revision of the item has changed");
    }
    if (answer->status == 503)
    {
        return fail(result_code::platform_unreachable, "status 503");
    }
    return read_body(answer,
                     [](const json::object& body)
                     {
                         return body.at("revision").to_number<revision>();
                     });
}

} // namespace

http_platform::http_platform(boost::asio::io_context& io, std::string address)
    : io(io), address(std::move(address))
{
}

void http_platform::call(http::request message,
                         core::base::duration timeout,
                         http::connection::handler done)
{
    std::shared_ptr<http::connection> connection;
    if (!this->idle.empty())
    {
        connection = std::move(this->idle.back());
        this->idle.pop_back();
    }
    else
    {
        connection = http::connection::create(this->io, this->address);
    }
    connection->send(std::move(message),
                     timeout,
                     [this, connection, done = std::move(done)](
                         result<http::response> answer)
                     {
                         if (connection->is_open())
                         {
                             this->idle.push_back(connection);
                         }
                         done(std::move(answer));
                     });
}

void http_platform::watch(revision since,
                          core::base::duration wait,
                          watch_handler handler)
{
    http::request message;
    const auto wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    message.target = "/watch?since=" + std::to_string(since) +
                     "&wait_ms=" + std::to_string(wait_ms);
    this->call(std::move(message),
               wait + call_timeout,
               [since, handler = std::move(handler)](
                   const result<http::response>& answer)
               {
                   handler(read_body(answer,
                                     [since](const json::object& body)
                                     {
                                         return read_delta(body, since);
                                     }));
               });
}

void http_platform::compare_and_swap(const std::string& key,
                                     revision expected,
                                     const std::string& value,
                                     write_handler handler)
{
    http::request message;
    message.method = "POST";
    message.target = "/compare-and-swap";
    message.body = json::serialize(
        json::object{{"key", key}, {"expected", expected}, {"value", value}});
    this->call(
        std::move(message),
        write_timeout,
        [handler = std::move(handler)](const result<http::response>& answer)
        {
            handler(read_revision(answer));
        });
}

void http_platform::gone_vms(vm_handler handler)
{
    http::request message;
    message.target = "/vms/gone";
    this->call(
        std::move(message),
        call_timeout,
        [handler = std::move(handler)](const result<http::response>& answer)
        {
            handler(read_body(answer,
                              [](const json::object& body)
                              {
                                  std::set<std::string> gone;
                                  for (const auto& name :
                                       body.at("gone").as_array())
                                  {
                                      if (name.is_string())
                                      {
                                          gone.emplace(name.get_string());
                                      }
                                  }
                                  return gone;
                              }));
        });
}

} // namespace hawthornrelay::adapters::platform
