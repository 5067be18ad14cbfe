#include <adapters/http/client.hpp>

#include <algorithm>
#include <cctype>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <adapters/asio/socket.hpp>

namespace hawthornrelay::adapters::http
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::asio::ip::tcp;
using core::base::fail;
using core::base::result_code;

namespace
{

/// Largest response accepted, in bytes; a page of the store has an eighth of
/// it.
constexpr std::uint64_t max_response_size = 8U << 20U;

/// Limit on received bytes that do not complete a header or a chunk's line, and
/// on those read at once.
constexpr std::size_t max_unparsed_size = 64U << 10U;

/// Limit on interim responses and responses to earlier requests that precede
/// the response to a request.
constexpr std::size_t max_skipped_responses = 8;

constexpr std::string_view request_id_header = "x-request-id";

beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

response to_response(bhttp::response<bhttp::string_body>&& message)
{
    response result;
    result.status = message.result_int();
    for (const auto& field : message)
    {
        std::string name(field.name_string());
        std::transform(name.begin(),
                       name.end(),
                       name.begin(),
                       [](unsigned char c)
                       {
                           return std::tolower(c);
                       });
        result.headers[name] = std::string(field.value());
    }
    result.body = std::move(message.body());
    return result;
}

class beast_connection final
    : public connection,
      public std::enable_shared_from_this<beast_connection>
{
  public:
    beast_connection(boost::asio::io_context& io,
                     const std::string& address,
                     std::shared_ptr<core::relay::answer_memory> memory)
        : io(io), address(address), stream(io), memory(std::move(memory))
    {
    }

    void send(request message,
              std::chrono::microseconds timeout,
              handler done) override
    {
        this->done = std::move(done);
        this->skipped_responses = 0;
        const auto id = message.headers.find(std::string(request_id_header));
        this->request_id = id == message.headers.end() ? "" : id->second;
        this->requires_id = message.requires_id;
        this->outgoing = {};
        this->outgoing.method_string(message.method);
        this->outgoing.target(message.target);
        this->outgoing.version(11);
        this->outgoing.set(bhttp::field::host, this->address);
        for (const auto& [name, value] : message.headers)
        {
            this->outgoing.set(name, value);
        }
        this->outgoing.keep_alive(true);
        this->outgoing.body() = std::move(message.body);
        this->outgoing.prepare_payload();
        this->stream.expires_after(
            std::max(timeout, std::chrono::microseconds(1)));
        if (this->connected && this->has_unread_bytes())
        {
            // A duplicate of an earlier response: no longer usable.
            this->close();
        }
        if (this->connected)
        {
            this->write();
        }
        else
        {
            this->connect();
        }
    }

    [[nodiscard]] bool is_open() const override
    {
        return this->connected;
    }

    void close() override
    {
        this->connected = false;
        asio::close_quietly(this->stream.socket());
    }

  private:
    void connect()
    {
        this->buffer.clear();
        this->echoes_ids = false;
        const auto endpoint = asio::parse_endpoint(this->address);
        if (!endpoint)
        {
            boost::asio::post(
                this->io,
                [self = this->shared_from_this(), error = endpoint.error()]
                {
                    self->finish(tl::unexpected(error));
                });
            return;
        }
        this->stream.async_connect(
            *endpoint,
            [self = this->shared_from_this()](const beast::error_code& error)
            {
                if (error)
                {
                    self->close();
                    self->finish(fail(result_code::connect_failed,
                                      self->address + ": " + error.message()));
                    return;
                }
                asio::disable_nagle(self->stream.socket());
                self->connected = true;
                self->write();
            });
    }

    void write()
    {
        bhttp::async_write(this->stream,
                           this->outgoing,
                           [self = this->shared_from_this()](
                               const beast::error_code& error, std::size_t)
                           {
                               if (error)
                               {
                                   self->on_io_error(error);
                                   return;
                               }
                               self->read();
                           });
    }

    [[nodiscard]] bool has_unread_bytes()
    {
        beast::error_code error;
        const auto available = this->stream.socket().available(error);
        return error || available > 0 || this->buffer.size() > 0;
    }

    void read()
    {
        this->parser.emplace();
        this->parser->eager(true);
        this->parser->body_limit(max_response_size);
        this->reservation.emplace(this->memory);
        this->read_some();
    }

    void read_some()
    {
        bhttp::async_read_some(this->stream,
                               this->buffer,
                               *this->parser,
                               [self = this->shared_from_this()](
                                   const beast::error_code& error, std::size_t)
                               {
                                   self->on_read(error);
                               });
    }

    void on_read(const beast::error_code& error)
    {
        if (error)
        {
            this->on_io_error(error);
        }
        else if (!this->reservation->try_grow(
                     this->parser->get().body().capacity()))
        {
            this->fail_response("no memory for the response");
        }
        else if (this->parser->is_done())
        {
            this->on_response();
        }
        else
        {
            this->read_some();
        }
    }

    void on_response()
    {
        auto incoming = this->parser->release();
        if (!is_status(incoming.result_int()))
        {
            this->fail_response("status " +
                                std::to_string(incoming.result_int()));
            return;
        }
        if (this->is_to_skip(incoming))
        {
            if (++this->skipped_responses > max_skipped_responses)
            {
                this->fail_response("too many responses to other requests");
                return;
            }
            this->read();
            return;
        }
        const bool has_id = !incoming[to_beast(request_id_header)].empty();
        if (this->requires_id && this->echoes_ids && !has_id)
        {
            // It may be a late duplicate of an earlier response.
            this->fail_response("response without the request's id");
            return;
        }
        this->echoes_ids = this->echoes_ids || has_id;
        this->stream.expires_never();
        if (!incoming.keep_alive() || this->buffer.size() > 0)
        {
            this->close();
        }
        this->finish(to_response(std::move(incoming)));
    }

    /// Tells whether a response is an interim one or, by its id, one to an
    /// earlier request.
    [[nodiscard]] bool
    is_to_skip(const bhttp::response<bhttp::string_body>& incoming) const
    {
        if (bhttp::to_status_class(incoming.result()) ==
            bhttp::status_class::informational)
        {
            return true;
        }
        const auto id = incoming[to_beast(request_id_header)];
        return !this->request_id.empty() && !id.empty() &&
               id != this->request_id;
    }

    void fail_response(const std::string& reason)
    {
        this->close();
        this->finish(
            fail(result_code::target_lost, this->address + ": " + reason));
    }

    void on_io_error(const beast::error_code& error)
    {
        this->close();
        const auto code = error == beast::error::timeout
                              ? result_code::outcome_unknown
                              : result_code::target_lost;
        this->finish(fail(code, this->address + ": " + error.message()));
    }

    void finish(core::base::result<response> outcome)
    {
        this->reservation.reset();
        if (const auto handler = std::exchange(this->done, nullptr))
        {
            handler(std::move(outcome));
        }
    }

    boost::asio::io_context& io;
    std::string address;
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_size};
    std::shared_ptr<core::relay::answer_memory> memory;
    /// For the response that is being received.
    std::optional<core::relay::answer_reservation> reservation;
    bhttp::request<bhttp::string_body> outgoing;
    std::optional<bhttp::response_parser<bhttp::string_body>> parser;
    handler done;
    std::string request_id; ///< of the request in progress; may be empty
    std::size_t skipped_responses = 0; ///< during the request in progress
    bool requires_id = false;          ///< as in the request in progress
    bool echoes_ids = false; ///< a response contained its request's id
    bool connected = false;
};

} // namespace

std::shared_ptr<connection>
connection::create(boost::asio::io_context& io,
                   const std::string& address,
                   std::shared_ptr<core::relay::answer_memory> memory)
{
    if (memory == nullptr)
    {
        // A string may allocate twice of what it holds.
        memory =
            std::make_shared<core::relay::answer_memory>(2 * max_response_size);
    }
    return std::make_shared<beast_connection>(io, address, std::move(memory));
}

core::base::result<response> fetch(const std::string& address,
                                   request message,
                                   std::chrono::microseconds timeout)
{
    boost::asio::io_context io;
    core::base::result<response> outcome =
        fail(result_code::connect_failed, address);
    const auto client = connection::create(io, address);
    client->send(std::move(message),
                 timeout,
                 [&](core::base::result<response> answer)
                 {
                     outcome = std::move(answer);
                     client->close();
                 });
    io.run();
    return outcome;
}

} // namespace hawthornrelay::adapters::http
