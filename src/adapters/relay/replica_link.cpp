#include <adapters/relay/replica_link.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/post.hpp>

#include <adapters/asio/listener.hpp>
#include <platform/replica_wire.hpp>

namespace hawthornrelay::adapters::relay
{

namespace bhttp = boost::beast::http;
using boost::asio::ip::tcp;
using core::relay::send_result;

namespace
{

/// A replica that does not accept in this time is not reachable; the packet
/// that opens a connection is repeated by the kernel only after a second.
constexpr std::chrono::milliseconds connect_timeout{250};

/// Size of one read.
constexpr std::size_t read_bytes = 2U << 10U;

/// Largest answer of a replica.
constexpr std::uint64_t answer_bytes = 64U << 20U;

/// A connection is closed this long before its replica would close it.
constexpr std::chrono::milliseconds keep_alive_margin{700};

/// Reads `timeout=N` of a Keep-Alive header.
std::chrono::milliseconds keep_alive_time(std::string_view text)
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

replica_link::replica_link(boost::asio::io_context& io,
                           closed_handler on_closed)
    : socket(io), timer(io), on_closed(std::move(on_closed))
{
}

void replica_link::connect(const tcp::endpoint& to)
{
    this->timer.expires_after(connect_timeout);
    this->timer.async_wait(
        [weak = this->weak_from_this()](const boost::system::error_code& error)
        {
            const auto self = weak.lock();
            if (!error && self && self->phase == state::connecting)
            {
                self->fail(send_result::not_sent, "no connection in time");
            }
        });
    this->socket.async_connect(to,
                               [self = this->shared_from_this()](
                                   const boost::system::error_code& error)
                               {
                                   self->on_connected(error);
                               });
}

void replica_link::on_connected(const boost::system::error_code& error)
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
    this->last_use = std::chrono::steady_clock::now();
    this->read();
    if (this->current)
    {
        this->write();
    }
}

void replica_link::start(job work)
{
    this->current = std::move(work);
    this->last_request_id = this->current->request->id;
    if (this->phase == state::idle)
    {
        this->timer.cancel();
        this->write();
    }
}

void replica_link::write()
{
    this->phase = state::busy;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->current->stops_at - std::chrono::steady_clock::now());
    if (left.count() <= 0)
    {
        // Connecting took all the time. The connection is good for others.
        this->rest();
        boost::asio::post(this->socket.get_executor(),
                          [self = this->shared_from_this()]
                          {
                              ports::send_outcome outcome;
                              outcome.result = send_result::not_sent;
                              outcome.detail = "no time left";
                              self->finish(outcome);
                          });
        return;
    }
    this->begin_message();
    this->outgoing = platform::make_replica_request(
        *this->current->request, this->current->expected_replica, left);
    this->is_writing = true;
    this->is_sent = true;
    bhttp::async_write(this->socket,
                       this->outgoing,
                       [self = this->shared_from_this()](
                           const boost::system::error_code& error, std::size_t)
                       {
                           self->is_writing = false;
                           if (error && self->phase == state::busy)
                           {
                               // An answer that was sent before the reset may
                               // still be here.
                               self->fail(send_result::broken,
                                          "write: " + error.message());
                           }
                       });
}

void replica_link::begin_message()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->body_limit(answer_bytes);
    if (this->current && this->current->request->method == "HEAD")
    {
        this->parser->skip(true);
    }
}

void replica_link::read()
{
    this->socket.async_read_some(
        this->buffer.prepare(read_bytes),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t count)
        {
            self->on_read(error, count);
        });
}

void replica_link::on_read(const boost::system::error_code& error,
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
        const bool may_end = this->phase == state::busy &&
                             error == boost::asio::error::eof &&
                             this->parser->is_header_done();
        if (may_end)
        {
            this->parser->put_eof(incomplete);
        }
        if (may_end && !incomplete && this->parser->is_done())
        {
            this->keep_alive = false;
            this->on_message();
            return;
        }
        this->is_dropped = this->phase == state::idle;
        this->fail(send_result::broken, "read: " + error.message());
        return;
    }
    if (this->phase != state::busy)
    {
        // Bytes that no request asked for.
        this->reset();
        return;
    }
    this->parse();
}

void replica_link::parse()
{
    boost::system::error_code error;
    while (this->buffer.size() > 0 && !this->parser->is_done())
    {
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
    else if (this->parser->is_done())
    {
        this->on_message();
    }
    else
    {
        this->read();
    }
}

void replica_link::on_message()
{
    auto message = this->parser->release();
    if (platform::is_for_other_request(message, this->current->request->id))
    {
        // A late second answer to an earlier request.
        if (!this->keep_alive)
        {
            this->fail(send_result::broken, "answer to another request");
            return;
        }
        this->begin_message();
        if (this->buffer.size() > 0)
        {
            this->parse();
        }
        else
        {
            this->read();
        }
        return;
    }
    this->keep_alive = this->keep_alive && message.keep_alive();
    this->keep_for = keep_alive_time(message[bhttp::field::keep_alive]);
    auto outcome = platform::read_replica_answer(std::move(message));
    // More bytes than one answer, or a request that is still being written,
    // would confuse the next exchange.
    const bool is_clean = this->buffer.size() == 0 && !this->is_writing;
    if (this->keep_alive && is_clean &&
        outcome.result != send_result::other_here)
    {
        this->rest();
        this->read();
    }
    else
    {
        this->reset();
    }
    this->finish(outcome);
}

void replica_link::rest()
{
    this->phase = state::idle;
    this->is_sent = false;
    this->last_use = std::chrono::steady_clock::now();
    if (this->keep_for.count() > 0)
    {
        this->timer.expires_after(std::max(this->keep_for - keep_alive_margin,
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

void replica_link::finish(const ports::send_outcome& outcome)
{
    if (!this->current)
    {
        return;
    }
    auto work = std::move(*this->current);
    this->current.reset();
    work.done(outcome);
}

void replica_link::fail(send_result result, std::string detail)
{
    ports::send_outcome outcome;
    outcome.result = this->is_sent ? result : send_result::not_sent;
    outcome.detail = std::move(detail);
    this->reset();
    this->finish(outcome);
}

void replica_link::reset()
{
    if (this->phase == state::closed)
    {
        return;
    }
    this->phase = state::closed;
    this->timer.cancel();
    // A reset drops what is still on its way, so that a request which was
    // given up cannot arrive later.
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
    this->on_closed(this);
}

void replica_link::abort()
{
    const auto self = this->shared_from_this();
    this->current.reset();
    this->reset();
}

void replica_link::close()
{
    if (this->phase != state::closed)
    {
        this->phase = state::closed;
        this->timer.cancel();
        asio::close_quietly(this->socket);
        this->on_closed(this);
    }
}

bool replica_link::is_idle() const
{
    return this->phase == state::idle && !this->current;
}

bool replica_link::is_free() const
{
    return !this->current;
}

} // namespace hawthornrelay::adapters::relay
