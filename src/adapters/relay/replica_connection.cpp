#include <adapters/relay/replica_connection.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <adapters/asio/socket.hpp>
#include <adapters/http/message.hpp>

namespace hawthornrelay::adapters::relay
{

namespace bhttp = boost::beast::http;
using boost::asio::ip::tcp;
using core::relay::send_result;

namespace
{

/// A replica that does not accept in this time counts as unreachable. The
/// kernel retransmits a lost SYN only after a second.
constexpr std::chrono::milliseconds connect_timeout = ports::max_send_delay;

/// Bytes requested by one read.
constexpr std::size_t read_size = 2U << 10U;

/// Largest answer accepted from a replica, in bytes.
constexpr std::uint64_t max_answer_size = 4U << 20U;

/// Limit on received bytes that do not complete a header or a chunk's line.
constexpr std::size_t max_unparsed_size = 16U << 10U;

/// Limit on interim answers and answers to earlier requests that precede the
/// answer to a request.
constexpr std::size_t max_skipped_answers = 8;

/// An idle connection is closed this long before the replica would close it.
constexpr std::chrono::milliseconds keep_alive_margin{700};

/// Tells whether a field is continued on a next line. The parser joins such
/// lines; other recipients take the second one for a field of its own.
/// @param text what is left of a head, and what follows it
bool has_folded_field(std::string_view text)
{
    const bool is_over = text.starts_with("\r\n");
    const auto head = text.substr(0, is_over ? 0 : text.find("\r\n\r\n"));
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

/// Reads `timeout=N` (seconds) of a Keep-Alive header; 0 if there is none.
std::chrono::milliseconds parse_keep_alive_timeout(std::string_view text)
{
    const auto at = text.find("timeout=");
    unsigned seconds = 0;
    if (at != std::string_view::npos)
    {
        const auto* begin = text.data() + at + 8;
        std::from_chars(begin, text.data() + text.size(), seconds);
    }
    return std::chrono::seconds(seconds);
}

} // namespace

replica_connection::replica_connection(
    boost::asio::io_context& io,
    std::shared_ptr<core::relay::answer_memory> memory,
    closed_handler on_closed)
    : socket(io), timer(io), memory(std::move(memory)),
      on_closed(std::move(on_closed))
{
}

void replica_connection::connect(const tcp::endpoint& to)
{
    this->timer.expires_after(connect_timeout);
    this->timer.async_wait(
        [weak = this->weak_from_this()](const boost::system::error_code& error)
        {
            const auto self = weak.lock();
            if (!error && self && self->phase == state::connecting)
            {
                self->fail(send_result::not_sent, "connect timed out");
            }
        });
    this->socket.async_connect(to,
                               [self = this->shared_from_this()](
                                   const boost::system::error_code& error)
                               {
                                   self->on_connected(error);
                               });
}

void replica_connection::on_connected(const boost::system::error_code& error)
{
    if (this->phase != state::connecting)
    {
        return;
    }
    if (error)
    {
        this->fail(send_result::not_sent, error.message());
        return;
    }
    this->timer.cancel();
    asio::disable_nagle(this->socket);
    this->phase = state::idle;
    this->last_used = std::chrono::steady_clock::now();
    this->read();
    if (this->current)
    {
        this->write();
    }
}

void replica_connection::start(job work)
{
    this->current = std::move(work);
    this->started_at = std::chrono::steady_clock::now();
    this->last_request_id = this->current->request->id;
    if (this->phase == state::idle)
    {
        this->timer.cancel();
        this->write();
    }
}

void replica_connection::write()
{
    this->phase = state::busy;
    const auto now = std::chrono::steady_clock::now();
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->current->deadline - now);
    const bool is_late = now - this->started_at > ports::max_send_delay;
    if (time_left.count() <= 0 || is_late)
    {
        // Connecting took too long; other requests may use the connection.
        this->become_idle();
        boost::asio::post(this->socket.get_executor(),
                          [self = this->shared_from_this(), is_late]
                          {
                              ports::send_outcome outcome;
                              outcome.result = send_result::not_sent;
                              outcome.detail = is_late ? "connecting took long"
                                                       : "no time left";
                              self->finish(outcome);
                          });
        return;
    }
    this->skipped_answers = 0;
    this->prepare_parser();
    this->outgoing_head = platform::write_request_head(
        *this->current->request, this->current->expected_replica, time_left);
    this->is_writing = true;
    this->may_have_sent = true;
    const std::array<boost::asio::const_buffer, 2> parts{
        boost::asio::buffer(this->outgoing_head),
        boost::asio::buffer(this->current->request->body)};
    boost::asio::async_write(
        this->socket,
        parts,
        [self = this->shared_from_this(), request = this->current->request](
            const boost::system::error_code& error, std::size_t)
        {
            self->is_writing = false;
            if (error && self->phase == state::busy)
            {
                // An answer sent before the reset may still be
                // unread; the attempt counts as broken anyway.
                self->fail(send_result::broken, "write: " + error.message());
            }
        });
}

void replica_connection::prepare_parser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->body_limit(max_answer_size);
    this->reservation =
        std::make_shared<core::relay::answer_reservation>(this->memory);
    if (this->current && this->current->request->method == "HEAD")
    {
        this->parser->skip(true);
    }
}

void replica_connection::read()
{
    this->socket.async_read_some(
        this->buffer.prepare(read_size),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t count)
        {
            self->guarded(
                [&]
                {
                    self->on_read(error, count);
                });
        });
}

template <class Function>
void replica_connection::guarded(Function&& function)
{
    try
    {
        function();
    }
    catch (const std::exception& exception)
    {
        this->fail(send_result::broken,
                   std::string("exception: ") + exception.what());
    }
}

void replica_connection::on_read(const boost::system::error_code& error,
                                 std::size_t count)
{
    if (this->phase == state::closed)
    {
        return;
    }
    this->buffer.commit(count);
    if (error)
    {
        boost::system::error_code incomplete;
        const bool may_end_at_eof = this->phase == state::busy &&
                                    error == boost::asio::error::eof &&
                                    this->parser->is_header_done();
        if (may_end_at_eof)
        {
            this->parser->put_eof(incomplete);
        }
        if (may_end_at_eof && !incomplete && this->parser->is_done())
        {
            this->keep_alive = false;
            this->on_answer();
            return;
        }
        this->is_closed_by_peer = this->phase == state::idle;
        this->fail(send_result::broken, "read: " + error.message());
        return;
    }
    if (this->phase != state::busy)
    {
        // Unsolicited bytes.
        this->reset();
        return;
    }
    this->parse();
}

void replica_connection::parse()
{
    boost::system::error_code error;
    while (this->buffer.size() > 0 && !this->parser->is_done())
    {
        // The parser takes a field only together with the byte after its line,
        // so a line that continues the field is still in the buffer here.
        const auto unparsed = this->buffer.cdata();
        if (!this->parser->is_header_done() &&
            has_folded_field(
                {static_cast<const char*>(unparsed.data()), unparsed.size()}))
        {
            this->fail(send_result::broken, "answer: folded field");
            return;
        }
        const auto used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error || used == 0)
        {
            break;
        }
    }
    if (error && error != bhttp::error::need_more)
    {
        this->fail(send_result::broken, "answer: " + error.message());
    }
    else if (!this->reserve_memory())
    {
        this->fail(send_result::broken, "answer: too large");
    }
    else if (this->parser->is_done())
    {
        this->on_answer();
    }
    else
    {
        this->read();
    }
}

bool replica_connection::reserve_memory()
{
    return this->buffer.size() <= max_unparsed_size &&
           this->reservation->try_grow(this->parser->get().body().capacity());
}

void replica_connection::on_answer()
{
    auto message = this->parser->release();
    if (!http::is_status(message.result_int()))
    {
        this->fail(send_result::broken,
                   "answer: status " + std::to_string(message.result_int()));
        return;
    }
    if (const auto reason = this->reason_to_skip(message); !reason.empty())
    {
        this->skip_answer(reason);
        return;
    }
    const auto& request_id = this->current->request->id;
    const bool has_id = platform::has_request_id(message);
    const bool is_identified = has_id || request_id.empty();
    if (this->was_used && !is_identified)
    {
        // It may be a late second answer to an earlier request or health check.
        this->fail(send_result::broken, "answer without the request's id");
        return;
    }
    this->was_used = true;
    this->keep_alive =
        this->keep_alive && message.keep_alive() && is_identified;
    this->keep_alive_timeout =
        parse_keep_alive_timeout(message[bhttp::field::keep_alive]);
    auto outcome = platform::read_replica_answer(std::move(message));
    outcome.answer.memory = std::move(this->reservation);
    // Bytes after the answer, or a request that is still being written, would
    // corrupt the next exchange.
    const bool is_clean = this->buffer.size() == 0 && !this->is_writing;
    if (this->keep_alive && is_clean &&
        outcome.result != send_result::other_replica)
    {
        this->become_idle();
        this->read();
    }
    else
    {
        this->reset();
    }
    this->finish(outcome);
}

std::string
replica_connection::reason_to_skip(const platform::wire_answer& answer) const
{
    if (bhttp::to_status_class(answer.result_int()) ==
        bhttp::status_class::informational)
    {
        return "interim answer";
    }
    // A late duplicate answer to an earlier request.
    return platform::is_answer_to_other(answer, this->current->request->id)
               ? "answer to another request"
               : "";
}

void replica_connection::skip_answer(const std::string& reason)
{
    if (!this->keep_alive || ++this->skipped_answers > max_skipped_answers)
    {
        this->fail(send_result::broken, reason);
        return;
    }
    this->prepare_parser();
    this->parse_or_read();
}

void replica_connection::parse_or_read()
{
    if (this->buffer.size() > 0)
    {
        this->parse();
    }
    else
    {
        this->read();
    }
}

void replica_connection::become_idle()
{
    this->phase = state::idle;
    this->may_have_sent = false;
    this->last_used = std::chrono::steady_clock::now();
    if (this->keep_alive_timeout.count() > 0)
    {
        this->timer.expires_after(
            std::max(this->keep_alive_timeout - keep_alive_margin,
                     keep_alive_margin / 2));
        this->timer.async_wait(
            [weak =
                 this->weak_from_this()](const boost::system::error_code& error)
            {
                const auto self = weak.lock();
                if (!error && self && self->phase == state::idle &&
                    !self->current)
                {
                    self->close();
                }
            });
    }
}

void replica_connection::finish(const ports::send_outcome& outcome)
{
    if (!this->current)
    {
        return;
    }
    auto work = std::move(*this->current);
    this->current.reset();
    work.done(outcome);
}

void replica_connection::fail(send_result result, std::string detail)
{
    ports::send_outcome outcome;
    outcome.result = this->may_have_sent ? result : send_result::not_sent;
    outcome.detail = std::move(detail);
    outcome.is_unreachable = this->is_connecting();
    this->reset();
    this->finish(outcome);
}

void replica_connection::reset()
{
    if (this->phase == state::closed)
    {
        return;
    }
    this->phase = state::closed;
    this->timer.cancel();
    this->parser.reset();
    this->reservation.reset();
    // An RST discards unsent data, so that an abandoned request cannot arrive
    // later.
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
    this->on_closed(this);
}

void replica_connection::abort()
{
    const auto self = this->shared_from_this();
    this->current.reset();
    this->reset();
}

void replica_connection::close()
{
    if (this->phase != state::closed)
    {
        this->phase = state::closed;
        this->timer.cancel();
        asio::close_quietly(this->socket);
        this->on_closed(this);
    }
}

bool replica_connection::is_idle() const
{
    return this->phase == state::idle && !this->current;
}

bool replica_connection::is_free() const
{
    return !this->current;
}

} // namespace hawthornrelay::adapters::relay
