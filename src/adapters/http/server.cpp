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
using core::relay::client_closure;
using core::relay::client_phase;

namespace
{

/// How long to wait for the caller to close after the last response.
constexpr std::chrono::milliseconds linger_timeout{1000};

/// Limit on pipelined bytes buffered while a request waits for its response.
constexpr std::size_t max_read_ahead_bytes = 64U << 10U;

constexpr std::size_t read_size_bytes = 4U << 10U;

/// The receive buffer of charged connections in the kernel. It holds what a
/// client has sent and the server does not read.
constexpr int receive_buffer_bytes = 64 << 10;

/// What a request uses in the process while it waits for its response, besides
/// its own bytes.
constexpr std::size_t handling_bytes = 8U << 10U;

/// Progress is recorded after each write of at most this size.
constexpr std::size_t max_write_bytes = 64U << 10U;

/// A request that holds less is closed instead of refused, which uses memory.
constexpr std::size_t min_freed_bytes = 2U << 10U;

/// Unused buffers of connections without a request are kept up to this size.
constexpr std::size_t max_kept_buffer_bytes = 8U << 10U;

/// Detail of a refusal.
const std::string no_memory = "no memory for this request";

/// The end of a header.
constexpr std::string_view header_end = "\r\n\r\n";

/// Shortest field line, `a:` and a line break.
constexpr std::size_t min_field_bytes = 4;

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
                 server_limits limits,
                 server_accounting accounting)
        : handlers(std::move(handlers)), limits(limits),
          accounting(std::move(accounting)), io(io), acceptor(io),
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
                    if (this->accounting.budget != nullptr)
                    {
                        // Accepted connections inherit it.
                        boost::system::error_code ignored;
                        this->acceptor.set_option(
                            boost::asio::socket_base::receive_buffer_size(
                                receive_buffer_bytes),
                            ignored);
                    }
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
    const server_accounting accounting;
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
          charge(owner->accounting.budget), owner(owner)
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

    /// Charges the connection; false if it must be closed.
    bool open()
    {
        return this->charge.open(
            this->owner->accounting.is_protected,
            this->held(),
            [weak = this->weak_from_this()](client_closure need)
            {
                const auto self = weak.lock();
                return self != nullptr && self->make_room(need);
            });
    }

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
        this->charge.close();
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
        if (this->buffer.size() == 0 &&
            this->buffer.capacity() > max_kept_buffer_bytes)
        {
            this->buffer.shrink_to_fit();
        }
        this->charge.set_phase(this->has_served ? client_phase::kept
                                                : client_phase::unused);
        this->charge.hold(this->held());
        this->idle_since = std::chrono::steady_clock::now();
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

    /// Applies the limits to the next request. Called when its first byte has
    /// arrived, since they may have changed while the connection was idle.
    void set_parser_limits()
    {
        this->parser->eager(true);
        this->parser->body_limit(this->owner->limits.body_bytes);
        this->parser->header_limit(this->owner->limits.header_bytes);
        const auto* limits = this->charge.limits();
        if (limits != nullptr)
        {
            const auto fields =
                limits->fields > 0
                    ? limits->fields
                    : this->owner->limits.header_bytes / min_field_bytes;
            this->parser->limit_allocation(
                [this](std::size_t total)
                {
                    return this->charge.try_hold(
                        this->held() - this->parser->allocated() + total);
                },
                fields);
        }
    }

    /// The memory of this connection and of its request or response.
    [[nodiscard]] std::size_t held() const
    {
        auto bytes = sizeof(session) + this->buffer.capacity() +
                     this->outgoing_head.capacity() +
                     this->outgoing_body.capacity();
        if (this->parser && this->current != state::writing)
        {
            bytes += this->parser->allocated();
        }
        if (this->current == state::handling)
        {
            bytes += handling_bytes;
        }
        // What the client sends now stays in the kernel.
        const bool is_unread = !this->is_reading && this->buffer.size() > 0 &&
                               (this->current == state::handling ||
                                this->current == state::writing);
        return is_unread ? bytes + receive_buffer_bytes : bytes;
    }

    /// Ends this connection or its request, so that others can be served.
    bool make_room(client_closure need)
    {
        if (this->current == state::idle)
        {
            boost::system::error_code error;
            if (this->socket.available(error) > 0 && !error)
            {
                return false;
            }
        }
        else if (this->current == state::handling ||
                 this->current == state::closed)
        {
            return false;
        }
        if (this->current == state::receiving)
        {
            const auto freed = this->held() - sizeof(session);
            if (need == client_closure::memory && freed > min_freed_bytes)
            {
                this->refuse(result_code::overloaded, no_memory);
                return true;
            }
            this->send_refusal();
        }
        this->close();
        return true;
    }

    /// Sends as much of a refusal as the socket accepts at once.
    void send_refusal()
    {
        if (!this->owner->handlers.on_bad_input)
        {
            return;
        }
        auto reply = this->owner->handlers.on_bad_input(
            result_code::overloaded, "no connection for this request");
        auto text = write_response_head(
            reply, {.version = this->parser->version(), .keep_alive = false});
        if (this->parser->parsed().method != "HEAD")
        {
            text += reply.body;
        }
        boost::system::error_code ignored;
        this->socket.non_blocking(true, ignored);
        this->socket.write_some(boost::asio::buffer(text), ignored);
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
            this->charge.count(client_closure::stalled);
            this->refuse(result_code::request_timeout,
                         "the request was not received in time");
        }
        else if (this->current == state::idle && this->may_stay_idle())
        {
            this->expire_after(this->idle_time_left());
        }
        else if (this->current != state::handling)
        {
            if (this->current == state::writing)
            {
                this->charge.count(client_closure::stalled);
            }
            this->close();
        }
    }

    [[nodiscard]] std::chrono::milliseconds idle_time_left() const
    {
        return std::chrono::ceil<std::chrono::milliseconds>(
            this->idle_since + this->owner->limits.idle -
            std::chrono::steady_clock::now());
    }

    /// Tells whether the limit was raised since the connection became idle.
    [[nodiscard]] bool may_stay_idle() const
    {
        return !this->owner->is_closing_idle &&
               this->idle_time_left() > std::chrono::milliseconds(0);
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
        if (this->current == state::lingering ||
            (this->current == state::writing && !this->keep_alive))
        {
            this->read();
            return;
        }
        this->charge.on_progress(count);
        if (!this->reserve_buffer(count))
        {
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
        else
        {
            this->read_ahead();
        }
    }

    /// Charges the growth of the buffer before more bytes are added to it. If
    /// that is not possible the request is refused or the connection closed.
    bool reserve_buffer(std::size_t count)
    {
        const auto size = this->buffer.size() + count;
        if (size <= this->buffer.capacity())
        {
            return true;
        }
        // The old buffer is in use until its bytes are copied.
        const auto grown = std::max(size, 2 * this->buffer.size());
        if (this->charge.try_hold(this->held() + grown))
        {
            this->buffer.reserve(grown);
            this->charge.hold(this->held());
            return this->current != state::closed;
        }
        if (this->current == state::idle || this->current == state::receiving)
        {
            this->refuse(result_code::overloaded, no_memory);
        }
        else
        {
            const bool was_handling = this->current == state::handling;
            this->close();
            this->report_disconnect(was_handling);
        }
        return false;
    }

    /// Reads while a request waits for its response, so that a disconnect is
    /// detected, unless too much has been received.
    void read_ahead()
    {
        if (this->buffer.size() >= max_read_ahead_bytes)
        {
            this->charge.hold(this->held());
        }
        else if (this->has_too_many_pipelined())
        {
            // The response in progress is the last one. What follows has not
            // run and is discarded.
            if (!std::exchange(this->is_over_pipelined, true))
            {
                this->charge.count(client_closure::pipelined);
            }
            this->charge.hold(this->held());
        }
        else
        {
            this->read();
        }
    }

    [[nodiscard]] bool has_too_many_pipelined() const
    {
        const auto* limits = this->charge.limits();
        if (limits == nullptr ||
            this->buffer.size() < limits->pipelined * header_end.size())
        {
            return false;
        }
        const auto data = this->buffer.cdata();
        const std::string_view text(static_cast<const char*>(data.data()),
                                    data.size());
        std::size_t count = 0;
        for (auto at = text.find(header_end);
             at != std::string_view::npos && count < limits->pipelined;
             at = text.find(header_end, at + header_end.size()))
        {
            ++count;
        }
        return count >= limits->pipelined;
    }

    void report_disconnect(bool was_handling)
    {
        if (was_handling && this->owner != nullptr &&
            this->owner->handlers.on_caller_disconnected)
        {
            this->owner->handlers.on_caller_disconnected(this->exchange);
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
        this->report_disconnect(is_waiting);
    }

    void parse()
    {
        if (this->current == state::idle)
        {
            this->current = state::receiving;
            this->set_parser_limits();
            this->unproductive_bytes = 0;
            this->is_body_timed = false;
            this->charge.set_phase(client_phase::receiving);
            this->expire_after(this->owner->limits.header);
        }
        beast::error_code error;
        std::size_t parsed = 0;
        while (!this->parser->is_done() && this->buffer.size() > 0)
        {
            const auto used = this->parser->put(this->buffer.data(), error);
            this->buffer.consume(used);
            parsed += used;
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
            if (this->charge.try_hold(this->held() + handling_bytes))
            {
                this->handle();
            }
            else
            {
                this->refuse(result_code::overloaded, no_memory);
            }
        }
        else
        {
            if (this->parser->is_header_done())
            {
                this->time_body(parsed);
                this->send_continue();
            }
            this->read();
        }
    }

    /// Restarts the timeout of a body, for charged connections only when enough
    /// bytes have arrived.
    void time_body(std::size_t received)
    {
        const auto* limits = this->charge.limits();
        this->unproductive_bytes += received;
        if (limits != nullptr && this->is_body_timed &&
            this->unproductive_bytes < limits->progress_bytes)
        {
            return;
        }
        this->is_body_timed = true;
        this->unproductive_bytes = 0;
        this->expire_after(this->owner->limits.idle);
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
        this->has_served = true;
        this->charge.set_phase(client_phase::handling);
        this->read_ahead();
        this->charge.hold(this->held());
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
        if (error == bhttp::error::header_limit &&
            this->parser->has_too_many_fields())
        {
            this->charge.count(client_closure::fields);
        }
        const auto code =
            this->parser->is_out_of_memory()    ? result_code::overloaded
            : error == bhttp::error::body_limit ? result_code::body_too_large
            : error == bhttp::error::header_limit
                ? result_code::header_too_large
                : result_code::malformed_request;
        this->refuse(code,
                     this->parser->is_out_of_memory() ? no_memory
                                                      : error.message());
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
        // Frees what was received of the request.
        this->parser.reset();
        this->buffer.clear();
        this->buffer.shrink_to_fit();
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
        this->charge.set_phase(client_phase::sending);
        if (this->owner == nullptr || this->owner->is_draining ||
            this->is_over_pipelined)
        {
            this->keep_alive = false;
        }
        this->outgoing_head = write_response_head(
            reply, {.version = this->version, .keep_alive = this->keep_alive});
        this->outgoing_body = this->is_head || !may_have_body(reply.status)
                                  ? std::string()
                                  : std::move(reply.body);
        this->charge.hold(this->held());
        if (this->current == state::closed)
        {
            return;
        }
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
            [this, sent = std::size_t{0}](const beast::error_code& error,
                                          std::size_t total) mutable
            {
                this->charge.on_progress(total - std::exchange(sent, total));
                return error ? std::size_t{0} : max_write_bytes;
            },
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
        this->outgoing_body = std::string();
        if (error)
        {
            this->close();
            return;
        }
        if (this->keep_alive && this->owner != nullptr &&
            !this->is_over_pipelined)
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
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        this->charge.set_phase(client_phase::closing);
        this->charge.hold(this->held());
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
    client_charge charge;
    beast_server* owner;
    std::string caller; ///< IP address; empty if it is unavailable
    state current = state::idle;
    std::chrono::steady_clock::time_point idle_since{};
    std::uint64_t exchange = 0;
    bool is_reading = false;
    bool has_sent_continue = false;
    bool has_served = false;
    bool is_body_timed = false;         ///< the timeout of the body has started
    bool is_over_pipelined = false;     ///< must close after its response
    std::size_t unproductive_bytes = 0; ///< of the body, since its timeout
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
    if (!started->open())
    {
        return;
    }
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
               server_limits limits,
               server_accounting accounting)
{
    auto created = std::make_unique<beast_server>(
        io, std::move(handlers), limits, std::move(accounting));
    const auto opened = created->open(address, port);
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    return created;
}

} // namespace hawthornrelay::adapters::http
