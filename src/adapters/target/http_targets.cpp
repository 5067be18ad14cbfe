#include <adapters/target/http_targets.hpp>

#include <charconv>
#include <utility>

#include <adapters/crypto/digest.hpp>

namespace hawthornrelay::adapters::target
{

using core::base::result_code;

namespace
{

constexpr std::chrono::milliseconds cancel_timeout{500};

/// Limit in bytes on all replies that are being received. A target in trouble
/// may send bytes without end, to many requests at the same time.
constexpr std::size_t reply_memory = 64U << 20U;

std::uint64_t parse_header_number(const http::header_map& headers,
                                  std::string_view name)
{
    const auto value = http::header(headers, name);
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

result_code to_result_code(const http::response& answer)
{
    const auto code = http::header(answer.headers, "x-code");
    if (code == "ok" && answer.status == 200)
    {
        return result_code::ok;
    }
    if (code == "shed")
    {
        return result_code::target_shed;
    }
    if (code == "version_unavailable")
    {
        return result_code::version_unavailable;
    }
    if (code == "draining")
    {
        return result_code::replica_out;
    }
    if (code == "deadline_expired")
    {
        return result_code::deadline_expired;
    }
    if (code == "cancelled")
    {
        return result_code::cancelled;
    }
    return result_code::target_failed;
}

ports::target_reply to_reply(core::base::result<http::response> answer)
{
    ports::target_reply reply;
    if (!answer)
    {
        reply.code = answer.error().code == result_code::connect_failed
                         ? result_code::target_unreachable
                         : answer.error().code;
        return reply;
    }
    reply.code = to_result_code(*answer);
    reply.version = parse_header_number(answer->headers, "x-version");
    reply.oldest = parse_header_number(answer->headers, "x-oldest");
    reply.newest = parse_header_number(answer->headers, "x-newest");
    reply.incarnation = parse_header_number(answer->headers, "x-run");
    reply.is_cold = http::header(answer->headers, "x-cold") == "1";
    reply.body = std::move(answer->body);
    return reply;
}

} // namespace

http_targets::http_targets(boost::asio::io_context& io, ports::runtime& runtime)
    : io(io), runtime(runtime),
      memory(std::make_shared<core::relay::answer_memory>(reply_memory)),
      request_id_prefix(std::to_string(crypto::random_number()))
{
}

void http_targets::send(const ports::target_request& request,
                        reply_handler handler)
{
    auto& pool = this->pools[request.address];
    std::shared_ptr<http::connection> connection;
    while (connection == nullptr && !pool.idle.empty())
    {
        connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (!connection->is_open())
        {
            connection = nullptr;
        }
    }
    if (connection == nullptr)
    {
        connection =
            http::connection::create(this->io, request.address, this->memory);
    }
    const auto time_left =
        core::base::remaining(request.deadline, this->runtime.now());
    http::request message;
    message.method = "POST";
    message.target = "/work";
    message.requires_id = true;
    message.headers["x-request-id"] =
        this->request_id_prefix + "-" + std::to_string(request.id);
    message.headers["x-time-left-us"] = std::to_string(time_left.count());
    message.headers["x-version"] = std::to_string(request.version);
    if (!request.request_key.empty())
    {
        message.headers["x-request-key"] = request.request_key;
    }
    message.body = request.body;
    this->in_flight[request.id] = request.address;
    connection->send(
        std::move(message),
        time_left + answer_grace,
        [this,
         id = request.id,
         address = request.address,
         connection,
         handler =
             std::move(handler)](core::base::result<http::response> answer)
        {
            this->on_response(
                id, address, connection, std::move(answer), handler);
        });
}

void http_targets::on_response(
    std::uint64_t id,
    const std::string& address,
    const std::shared_ptr<http::connection>& connection,
    core::base::result<http::response> answer,
    const reply_handler& handler)
{
    this->in_flight.erase(id);
    if (connection->is_open())
    {
        this->pools[address].idle.push_back(connection);
    }
    handler(to_reply(std::move(answer)));
}

void http_targets::cancel(std::uint64_t id)
{
    const auto request = this->in_flight.find(id);
    if (request == this->in_flight.end())
    {
        return;
    }
    const auto address = request->second;
    this->pools[address].pending_cancels.push_back(id);
    this->send_next_cancel(address);
}

void http_targets::send_next_cancel(const std::string& address)
{
    auto& pool = this->pools[address];
    if (pool.is_cancelling || pool.pending_cancels.empty())
    {
        return;
    }
    if (pool.cancel_connection == nullptr || !pool.cancel_connection->is_open())
    {
        pool.cancel_connection = http::connection::create(this->io, address);
    }
    const auto id = pool.pending_cancels.front();
    pool.pending_cancels.pop_front();
    pool.is_cancelling = true;
    http::request message;
    message.method = "POST";
    message.target = "/cancel";
    message.headers["x-request-id"] =
        this->request_id_prefix + "-" + std::to_string(id);
    pool.cancel_connection->send(
        std::move(message),
        cancel_timeout,
        [this, address](const core::base::result<http::response>&)
        {
            this->pools[address].is_cancelling = false;
            this->send_next_cancel(address);
        });
}

} // namespace hawthornrelay::adapters::target
