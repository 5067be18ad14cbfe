#include <adapters/http/server.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <set>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <adapters/asio/socket.hpp>
#include <adapters/http/request_parser.hpp>
#include <adapters/http/response_text.hpp>

namespace hawthornrelay::adapters::http
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::asio::ip::tcp;
using core::base::result_code;

namespace
{

/// How long to wait for the caller to close after the last response.
constexpr std::chrono::milliseconds linger_timeout{1000};

/// Limit on pipelined bytes buffered while a request waits for its response.
constexpr std::size_t max_read_ahead_bytes = 64U << 10U;

constexpr std::size_t read_size_bytes = 4U << 10U;

/// Wait for the request on a connection that was accepted as the listener
/// closed: longer than a caller's round trip.
constexpr std::chrono::milliseconds first_request_wait{200};

/// Delay after a failed accept, such as when file descriptors run out.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Returns the kernel's smoothed round-trip time, or zero if it is unavailable.
std::chrono::microseconds kernel_round_trip(tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(
            socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    {
        return std::chrono::microseconds(0);
    }
    return std::chrono::microseconds(info.tcpi_rtt);
}

class session;

class beast_server final : public server
{
  public:
    beast_server(boost::asio::io_context& io,
                 server_handlers handlers,
                 server_limits limits)
        : handlers(std::move(handlers)), limits(limits), io(io), acceptor(io),
          accept_timer(io)
    {
    }

    ~beast_server() override
    {
        this->close();
    }

    beast_server(const beast_server&) = delete;
    beast_server& operator=(const beast_server&) = delete;

    core::base::result<void> open(const std::string& ip, std::uint16_t port)
    {
        return asio::open_listener(this->acceptor, ip, port)
            .map(
                [this]
                {
                    this->accept();
                });
    }

    void accept();
    void close() override;
    void close_idle() override;
    [[nodiscard]] std::size_t active_connections() const override;

    void set_limits(server_limits changed) override
    {
        this->limits = changed;
    }

    void drain() override
    {
        this->is_draining = true;
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return this->acceptor.local_endpoint().port();
    }

    [[nodiscard]] std::size_t connections() const override
    {
        return this->sessions.size();
    }

    server_handlers handlers;
    server_limits limits;
    std::set<session*> sessions;
    std::uint64_t next_exchange = 1;
    bool is_draining = false;
    bool is_closing_idle = false;

  private:
    void accept_pending();
    void start_session(tcp::socket socket);

    boost::asio::io_context& io;
    tcp::acceptor acceptor;
    boost::asio::steady_timer accept_timer;
};

/// One connection. A read stays pending while a request waits for its response,
/// so that a caller's disconnect is detected.
class session : public std::enable_shared_from_this<session>
{
  public:
    session(tcp::socket socket, beast_server* owner)
        : socket(std::move(socket)), timer(this->socket.get_executor()),
          owner(owner)
    {
        this->owner->sessions.insert(this);
    }

    ~session()
    {
        if (this->owner != nullptr)
        {
            this->owner->sessions.erase(this);
        }
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void start()
    {
        asio::disable_nagle(this->socket);
        beast::error_code unknown;
        const auto remote = this->socket.remote_endpoint(unknown);
        this->caller = unknown ? "" : remote.address().to_string();
        const auto delay = this->owner->handlers.accept_delay
                               ? this->owner->handlers.accept_delay()
                               : std::chrono::milliseconds(0);
        if (delay.count() == 0 || this->owner->is_closing_idle)
        {
            this->begin_request();
            return;
        }
        this->timer.expires_after(delay);
        this->timer.async_wait(
            [self = this->shared_from_this()](const beast::error_code& error)
            {
                if (!error)
                {
                    self->begin_request();
                }
            });
    }

    void detach()
    {
        this->owner = nullptr;
        this->close();
    }

    [[nodiscard]] bool is_busy() const
    {
        return this->current != state::idle && this->current != state::closed;
    }

    /// Closes the connection unless a request has arrived.
    void close_if_idle()
    {
        boost::system::error_code error;
        const bool has_unread_bytes =
            this->socket.available(error) > 0 && !error;
        if (!this->is_busy() && !has_unread_bytes)
        {
            // Ends a pending read with an error, which closes the connection.
            // A read that has completed still delivers its bytes.
            this->socket.cancel(error);
        }
    }

    /// Closes a connection that was accepted during the stop, unless a request
    /// arrives on it.
    void close_unless_request_follows()
    {
        this->expire_after(first_request_wait);
    }

    void close()
    {
        this->current = state::closed;
        this->timer.cancel();
        asio::close_quietly(this->socket);
    }

  private:
    enum class state
    {
        idle,      ///< no byte of the next request received
        receiving, ///< a request is partly received
        handling,  ///< a request waits for its response
        writing,
        lingering, ///< waits for the caller to close
        closed,
    };

    void begin_request()
    {
        if (this->owner == nullptr)
        {
            return;
        }
        this->current = state::idle;
        this->parser.emplace();
        this->parser->eager(true);
        this->parser->body_limit(this->owner->limits.body_bytes);
        this->parser->header_limit(this->owner->limits.header_bytes);
        this->expire_after(this->owner->limits.idle);
        if (this->buffer.size() > 0)
        {
            this->parse();
        }
        else
        {
            this->read();
        }
    }

    void expire_after(std::chrono::milliseconds time)
    {
        this->timer.expires_after(time);
        this->timer.async_wait(
            [weak = this->weak_from_this()](const beast::error_code& error)
            {
                const auto self = weak.lock();
                if (!error && self)
                {
                    self->on_expired();
                }
            });
    }

    void on_expired()
    {
        if (this->current == state::receiving)
        {
            this->refuse(result_code::request_timeout,
                         "the request was not received in time");
        }
        else if (this->current != state::handling)
        {
            this->close();
        }
    }

    void read()
    {
        if (this->is_reading || this->current == state::closed)
        {
            return;
        }
        this->is_reading = true;
        this->socket.async_read_some(
            boost::asio::buffer(this->input),
            [self = this->shared_from_this()](const beast::error_code& error,
                                              std::size_t count)
            {
                self->is_reading = false;
                self->guarded(
                    [&]
                    {
                        self->on_read(error, count);
                    });
            });
    }

    void on_read(const beast::error_code& error, std::size_t count)
    {
        if (this->current == state::closed)
        {
            return;
        }
        if (error)
        {
            this->on_read_error(error);
            return;
        }
        if (this->current == state::lingering)
        {
            this->read();
            return;
        }
        // Copied here, since the buffer may be consumed while a read is
        // pending.
        this->buffer.commit(boost::asio::buffer_copy(
            this->buffer.prepare(count), boost::asio::buffer(this->input)));
        if (this->current == state::idle || this->current == state::receiving)
        {
            this->parse();
        }
        else if (this->buffer.size() < max_read_ahead_bytes)
        {
            this->read();
        }
    }

    /// Calls a function; an exception closes this connection only.
    template <class Function>
    void guarded(Function&& function)
    {
        try
        {
            function();
        }
        catch (const std::exception& exception)
        {
            const auto was_handling = this->current == state::handling;
            this->close();
            if (this->owner == nullptr)
            {
                return;
            }
            if (this->owner->handlers.on_exception)
            {
                this->owner->handlers.on_exception(exception.what());
            }
            if (was_handling && this->owner->handlers.on_caller_disconnected)
            {
                this->owner->handlers.on_caller_disconnected(this->exchange);
            }
        }
    }

    void on_read_error(const beast::error_code& error)
    {
        const bool is_waiting = this->current == state::handling;
        // The caller half-closed during the response: finish it, then close.
        if (this->current == state::writing && error == boost::asio::error::eof)
        {
            this->keep_alive = false;
            return;
        }
        this->close();
        if (is_waiting && this->owner != nullptr &&
            this->owner->handlers.on_caller_disconnected)
        {
            this->owner->handlers.on_caller_disconnected(this->exchange);
        }
    }

    void parse()
    {
        if (this->current == state::idle)
        {
            this->current = state::receiving;
            this->expire_after(this->owner->limits.header);
        }
        beast::error_code error;
        while (!this->parser->is_done() && this->buffer.size() > 0)
        {
            const auto used = this->parser->put(this->buffer.data(), error);
            this->buffer.consume(used);
            if (error || used == 0)
            {
                break;
            }
        }
        if (error == bhttp::error::need_more)
        {
            error = {};
        }
        if (error)
        {
            this->on_parse_error(error);
        }
        else if (this->parser->is_done())
        {
            this->handle();
        }
        else
        {
            if (this->parser->is_header_done())
            {
                this->expire_after(this->owner->limits.idle);
                this->send_continue();
            }
            this->read();
        }
    }

    /// Answers `Expect: 100-continue`, once per request.
    void send_continue()
    {
        const bool expects_continue =
            !this->has_sent_continue &&
            header(this->parser->parsed().headers, "expect") == "100-continue";
        if (!expects_continue)
        {
            return;
        }
        this->has_sent_continue = true;
        static constexpr std::string_view text =
            "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(this->socket,
                                 boost::asio::buffer(text),
                                 [self = this->shared_from_this()](
                                     const beast::error_code&, std::size_t)
                                 {
                                     // The pending read reports a failure.
                                 });
    }

    void handle()
    {
        this->timer.cancel();
        this->current = state::handling;
        this->keep_alive = this->parser->keep_alive();
        this->version = this->parser->version();
        this->exchange = this->owner->next_exchange++;
        this->is_head = this->parser->parsed().method == "HEAD";
        auto incoming = this->parser->release();
        incoming.exchange = this->exchange;
        incoming.round_trip = kernel_round_trip(this->socket);
        incoming.caller = this->caller;
        this->has_sent_continue = false;
        this->read();
        this->owner->handlers.on_request(
            std::move(incoming),
            [self = this->shared_from_this(),
             exchange = this->exchange](response reply)
            {
                if (self->current == state::handling &&
                    self->exchange == exchange)
                {
                    self->write(std::move(reply));
                }
            });
    }

    void on_parse_error(const beast::error_code& error)
    {
        const auto code = error == bhttp::error::body_limit
                              ? result_code::body_too_large
                          : error == bhttp::error::header_limit
                              ? result_code::header_too_large
                              : result_code::malformed_request;
        this->refuse(code, error.message());
    }

    void refuse(result_code code, const std::string& detail)
    {
        this->keep_alive = false;
        this->version = this->parser->version();
        this->is_head = this->parser->parsed().method == "HEAD";
        if (!this->owner->handlers.on_bad_input)
        {
            this->close();
            return;
        }
        this->write(this->owner->handlers.on_bad_input(code, detail));
    }

    void write(response reply)
    {
        if (reply.status == 0)
        {
            this->close();
            return;
        }
        this->current = state::writing;
        if (this->owner == nullptr || this->owner->is_draining)
        {
            this->keep_alive = false;
        }
        this->outgoing_head = write_response_head(
            reply, {.version = this->version, .keep_alive = this->keep_alive});
        this->outgoing_body = this->is_head || !may_have_body(reply.status)
                                  ? std::string()
                                  : std::move(reply.body);
        if (this->owner != nullptr)
        {
            this->expire_after(this->owner->limits.idle);
        }
        const std::array<boost::asio::const_buffer, 2> parts{
            boost::asio::buffer(this->outgoing_head),
            boost::asio::buffer(this->outgoing_body)};
        boost::asio::async_write(
            this->socket,
            parts,
            [self = this->shared_from_this()](const beast::error_code& error,
                                              std::size_t)
            {
                self->guarded(
                    [&]
                    {
                        self->on_written(error);
                    });
            });
    }

    void on_written(const beast::error_code& error)
    {
        if (this->current == state::closed)
        {
            return;
        }
        this->outgoing_head.clear();
        this->outgoing_body.clear();
        if (error)
        {
            this->close();
            return;
        }
        if (this->keep_alive && this->owner != nullptr)
        {
            this->begin_request();
            return;
        }
        // Closing with unread bytes would reset the connection and lose the
        // response, so wait for the caller to close first.
        this->current = state::lingering;
        boost::system::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        this->expire_after(linger_timeout);
        this->buffer.consume(this->buffer.size());
        this->read();
    }

    tcp::socket socket;
    boost::asio::steady_timer timer;
    /// Receives what is read; only a pending read uses it.
    std::array<char, read_size_bytes> input;
    beast::flat_buffer buffer; ///< received bytes that are not parsed yet
    std::optional<request_parser> parser;
    std::string outgoing_head;
    std::string outgoing_body;
    beast_server* owner;
    std::string caller; ///< IP address; empty if it is unavailable
    state current = state::idle;
    std::uint64_t exchange = 0;
    bool is_reading = false;
    bool has_sent_continue = false;
    bool is_head = false; ///< the method of the last request is HEAD
    bool keep_alive = true;
    unsigned version = 11;
};

void beast_server::accept()
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket)
        {
            if (!error)
            {
                // Also after the listener was closed: the caller may have sent
                // a request.
                this->start_session(std::move(socket));
            }
            if (error == boost::asio::error::operation_aborted ||
                !this->acceptor.is_open())
            {
                return;
            }
            if (error)
            {
                this->accept_timer.expires_after(accept_retry_delay);
                this->accept_timer.async_wait(
                    [this](const boost::system::error_code& stopped)
                    {
                        if (!stopped)
                        {
                            this->accept();
                        }
                    });
                return;
            }
            this->accept();
        });
}

void beast_server::start_session(tcp::socket socket)
{
    if (this->sessions.size() >= this->limits.connections)
    {
        return;
    }
    const auto started = std::make_shared<session>(std::move(socket), this);
    started->start();
    if (this->is_closing_idle)
    {
        started->close_unless_request_follows();
    }
}

void beast_server::accept_pending()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error)
    {
        tcp::socket socket(this->io);
        this->acceptor.accept(socket, error);
        if (!error)
        {
            this->start_session(std::move(socket));
        }
    }
}

std::size_t beast_server::active_connections() const
{
    return static_cast<std::size_t>(std::count_if(this->sessions.begin(),
                                                  this->sessions.end(),
                                                  [](const session* item)
                                                  {
                                                      return item->is_busy();
                                                  }));
}

void beast_server::close_idle()
{
    // Closing the listener resets connections that were not accepted yet, and
    // their callers may have sent requests.
    const auto open = this->sessions;
    this->is_closing_idle = true;
    this->accept_pending();
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (auto* item : open)
    {
        item->close_if_idle();
    }
}

void beast_server::close()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->accept_timer.cancel();
    const auto open = std::exchange(this->sessions, {});
    for (auto* item : open)
    {
        item->detach();
    }
}

} // namespace

core::base::result<std::unique_ptr<server>>
server::listen(boost::asio::io_context& io,
               const std::string& address,
               std::uint16_t port,
               server_handlers handlers,
               server_limits limits)
{
    auto created =
        std::make_unique<beast_server>(io, std::move(handlers), limits);
    const auto opened = created->open(address, port);
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    return created;
}

} // namespace hawthornrelay::adapters::http
