#include <adapters/peer/tcp_peers.hpp>

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <adapters/asio/socket.hpp>
#include <adapters/crypto/digest.hpp>
#include <adapters/peer/codec.hpp>

namespace hawthornrelay::adapters::peer
{

using boost::asio::ip::tcp;
using core::base::fail;
using core::base::log_event;
using core::base::node_id;
using core::base::result_code;
using core::messages::peer_message;

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t nonce_bytes = 16;
constexpr std::chrono::milliseconds handshake_timeout{2000};
constexpr std::chrono::milliseconds redial_delay{200};

std::array<char, length_bytes> encode_length(std::size_t size)
{
    std::array<char, length_bytes> bytes{};
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        bytes[i] = static_cast<char>(size >> (8 * i));
    }
    return bytes;
}

std::uint32_t decode_length(const std::array<char, length_bytes>& bytes)
{
    std::uint32_t size = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        size |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i]))
                << (8 * i);
    }
    return size;
}

class links;

/// One TCP connection to another node.
class link : public std::enable_shared_from_this<link>
{
  public:
    link(tcp::socket socket, links* owner)
        : socket(std::move(socket)), timer(this->socket.get_executor()),
          owner(owner), nonce(crypto::random_bytes(nonce_bytes))
    {
    }

    void dial(const tcp::endpoint& endpoint);
    void begin();
    void send(const peer_message& message);
    void close(const char* reason);

    node_id peer;         ///< empty until the other side is authenticated
    std::string dial_key; ///< node id or `address/ip:port`; empty if accepted
    bool is_up = false;
    bool is_closed = false;

    void detach()
    {
        this->owner = nullptr;
    }

  private:
    void on_unreachable(const boost::system::error_code& error);
    void queue(const std::string& payload);
    void flush();
    void read_length();
    void read_payload(std::uint32_t size);
    void on_frame();
    void on_hello(const hello& message);
    [[nodiscard]] std::vector<std::uint8_t>
    proof_for(const node_id& node,
              core::base::incarnation incarnation,
              const std::vector<std::uint8_t>& challenge) const;

    tcp::socket socket;
    boost::asio::steady_timer timer;
    links* owner;
    std::vector<std::uint8_t> nonce;
    bool has_sent_proof = false;
    std::vector<std::string> deferred; ///< sent once authenticated
    std::string pending;
    std::string writing;
    bool is_writing = false;
    bool is_flush_posted = false;
    std::array<char, length_bytes> length{};
    std::string payload;
};

class links final : public tcp_peers
{
  public:
    links(boost::asio::io_context& io,
          link_settings settings,
          ports::event_log& log)
        : settings(std::move(settings)), log(log), io(io), acceptor(io)
    {
    }

    ~links() override
    {
        this->close();
    }

    links(const links&) = delete;
    links& operator=(const links&) = delete;

    core::base::result<void> open();
    void set_handlers(message_handler on_message,
                      peer_handler on_down,
                      peer_handler on_refused) override
    {
        this->on_message = std::move(on_message);
        this->on_down = std::move(on_down);
        this->on_refused = std::move(on_refused);
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return this->acceptor.local_endpoint().port();
    }

    void close() override;
    void send(const node_id& to,
              const std::string& address,
              const peer_message& message) override;
    void link_up(const std::shared_ptr<link>& item);
    void link_closed(const std::shared_ptr<link>& item, const char* reason);
    void reject(result_code code, const std::string& detail)
    {
        this->log.write(log_event::link_rejected,
                        {{"code", std::string(core::base::name_of(code))},
                         {"error", detail}});
    }

    link_settings settings;
    ports::event_log& log;
    message_handler on_message;
    peer_handler on_down;
    peer_handler on_refused;

  private:
    void accept();
    std::shared_ptr<link> dial(const std::string& key,
                               const std::string& address);

    boost::asio::io_context& io;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<link>> open_links;
    std::map<node_id, std::shared_ptr<link>> up_links;
    std::map<std::string, std::shared_ptr<link>> dialing;
    std::map<std::string, std::chrono::steady_clock::time_point> redial_after;
};

void link::dial(const tcp::endpoint& endpoint)
{
    this->timer.expires_after(handshake_timeout);
    this->timer.async_wait(
        [self =
             this->shared_from_this()](const boost::system::error_code& error)
        {
            if (!error && !self->is_up)
            {
                self->close("handshake timed out");
            }
        });
    this->socket.async_connect(endpoint,
                               [self = this->shared_from_this()](
                                   const boost::system::error_code& error)
                               {
                                   if (error)
                                   {
                                       self->on_unreachable(error);
                                       return;
                                   }
                                   self->begin();
                               });
}

void link::on_unreachable(const boost::system::error_code& error)
{
    const bool is_refused = error == boost::asio::error::connection_refused;
    if (is_refused && this->owner != nullptr && this->owner->on_refused)
    {
        this->owner->on_refused(this->dial_key);
    }
    this->close("connect failed");
}

void link::begin()
{
    if (this->owner == nullptr || this->is_closed)
    {
        return;
    }
    asio::disable_nagle(this->socket);
    this->queue(encode(hello{this->owner->settings.self,
                             this->owner->settings.incarnation,
                             this->nonce,
                             {}}));
    this->read_length();
}

std::vector<std::uint8_t>
link::proof_for(const node_id& node,
                core::base::incarnation incarnation,
                const std::vector<std::uint8_t>& challenge) const
{
    std::string message = node + "|" + std::to_string(incarnation) + "|";
    message.append(challenge.begin(), challenge.end());
    return crypto::hmac_sha256(this->owner->settings.secret, message);
}

void link::on_hello(const hello& message)
{
    const auto& settings = this->owner->settings;
    if (!this->has_sent_proof)
    {
        if (message.nonce.size() != nonce_bytes || message.node.empty())
        {
            this->owner->reject(result_code::link_unauthenticated,
                                "malformed hello message");
            this->close("malformed hello message");
            return;
        }
        this->has_sent_proof = true;
        this->queue(encode(hello{settings.self,
                                 settings.incarnation,
                                 this->nonce,
                                 this->proof_for(settings.self,
                                                 settings.incarnation,
                                                 message.nonce)}));
    }
    if (message.proof.empty())
    {
        return;
    }
    const auto expected =
        this->proof_for(message.node, message.incarnation, this->nonce);
    // Prevents reflection: a proof for this node's own id may be its own,
    // sent back.
    const bool is_valid =
        message.node != settings.self &&
        crypto::equal_in_constant_time(expected, message.proof);
    if (!is_valid)
    {
        this->owner->reject(result_code::link_unauthenticated,
                            message.node + ": invalid proof");
        this->close("invalid proof");
        return;
    }
    this->peer = message.node;
    this->is_up = true;
    this->timer.cancel();
    this->owner->link_up(this->shared_from_this());
    for (const auto& payload : std::exchange(this->deferred, {}))
    {
        this->queue(payload);
    }
}

void link::send(const peer_message& message)
{
    auto payload = encode(message);
    if (this->is_up)
    {
        this->queue(payload);
    }
    else
    {
        this->deferred.push_back(std::move(payload));
    }
}

void link::queue(const std::string& payload)
{
    if (this->is_closed)
    {
        return;
    }
    const auto size = encode_length(payload.size());
    this->pending.append(size.data(), size.size());
    this->pending += payload;
    if (this->pending.size() > max_queued_bytes)
    {
        this->close("send queue is full");
        return;
    }
    if (this->is_writing || this->is_flush_posted)
    {
        return;
    }
    // Posting the flush combines messages of one event-loop turn in one write.
    this->is_flush_posted = true;
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this()]
                      {
                          self->is_flush_posted = false;
                          self->flush();
                      });
}

void link::flush()
{
    if (this->is_closed || this->is_writing || this->pending.empty())
    {
        return;
    }
    this->is_writing = true;
    this->writing.clear();
    std::swap(this->writing, this->pending);
    boost::asio::async_write(
        this->socket,
        boost::asio::buffer(this->writing),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t)
        {
            self->is_writing = false;
            if (error)
            {
                self->close("write failed");
                return;
            }
            self->flush();
        });
}

void link::read_length()
{
    boost::asio::async_read(
        this->socket,
        boost::asio::buffer(this->length),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t)
        {
            if (error)
            {
                self->close("connection closed");
                return;
            }
            self->read_payload(decode_length(self->length));
        });
}

void link::read_payload(std::uint32_t size)
{
    if (this->is_closed || this->owner == nullptr)
    {
        return;
    }
    if (size > max_frame_bytes)
    {
        this->owner->reject(result_code::frame_too_large,
                            "frame of " + std::to_string(size) + " bytes");
        this->close("frame too large");
        return;
    }
    this->payload.resize(size);
    boost::asio::async_read(
        this->socket,
        boost::asio::buffer(this->payload),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t)
        {
            if (error)
            {
                self->close("connection closed within a frame");
                return;
            }
            self->on_frame();
        });
}

void link::on_frame()
{
    if (this->is_closed || this->owner == nullptr)
    {
        return;
    }
    auto content = decode(this->payload);
    if (!content)
    {
        this->owner->reject(content.error().code, content.error().detail);
        this->close("malformed frame");
        return;
    }
    if (const auto* handshake = std::get_if<hello>(&*content))
    {
        this->on_hello(*handshake);
    }
    else if (this->is_up)
    {
        this->owner->on_message(this->peer,
                                std::get<peer_message>(std::move(*content)));
    }
    else
    {
        this->owner->reject(result_code::link_unauthenticated,
                            "message before authentication");
        this->close("message before authentication");
    }
    if (!this->is_closed)
    {
        this->read_length();
    }
}

void link::close(const char* reason)
{
    if (this->is_closed)
    {
        return;
    }
    this->is_closed = true;
    const auto self = this->shared_from_this();
    this->timer.cancel();
    asio::close_quietly(this->socket);
    if (this->owner != nullptr)
    {
        this->owner->link_closed(self, reason);
    }
}

core::base::result<void> links::open()
{
    return asio::open_listener(this->acceptor,
                               this->settings.listen_address,
                               this->settings.listen_port)
        .map(
            [this]
            {
                this->accept();
            });
}

void links::accept()
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                auto item = std::make_shared<link>(std::move(socket), this);
                this->open_links.insert(item);
                item->begin();
            }
            this->accept();
        });
}

std::shared_ptr<link> links::dial(const std::string& key,
                                  const std::string& address)
{
    const auto now = std::chrono::steady_clock::now();
    const auto pause = this->redial_after.find(key);
    if (pause != this->redial_after.end() && now < pause->second)
    {
        return nullptr;
    }
    const auto endpoint = asio::parse_endpoint(address);
    if (!endpoint)
    {
        return nullptr;
    }
    auto item = std::make_shared<link>(tcp::socket(this->io), this);
    item->dial_key = key;
    this->open_links.insert(item);
    this->dialing[key] = item;
    item->dial(*endpoint);
    return item;
}

void links::send(const node_id& to,
                 const std::string& address,
                 const peer_message& message)
{
    const auto ready = this->up_links.find(to);
    if (ready != this->up_links.end())
    {
        ready->second->send(message);
        return;
    }
    const auto key = to.empty() ? "address/" + address : to;
    const auto started = this->dialing.find(key);
    const auto item = started != this->dialing.end() ? started->second
                                                     : this->dial(key, address);
    if (item != nullptr)
    {
        item->send(message);
        return;
    }
    // A link to the peer closed less than redial_delay ago, or its address is
    // invalid.
    if (!to.empty())
    {
        boost::asio::post(this->io,
                          [this, to]
                          {
                              if (this->on_down && !this->up_links.contains(to))
                              {
                                  this->on_down(to);
                              }
                          });
    }
}

void links::link_up(const std::shared_ptr<link>& item)
{
    this->dialing.erase(item->dial_key);
    const bool is_first = this->up_links.emplace(item->peer, item).second;
    if (is_first)
    {
        this->log.write(log_event::link_up, {{"peer", item->peer}});
    }
}

void links::link_closed(const std::shared_ptr<link>& item, const char* reason)
{
    this->open_links.erase(item);
    const auto dialled = this->dialing.find(item->dial_key);
    if (dialled != this->dialing.end() && dialled->second == item)
    {
        this->dialing.erase(dialled);
    }
    if (!item->dial_key.empty())
    {
        this->redial_after[item->dial_key] =
            std::chrono::steady_clock::now() + redial_delay;
    }
    const auto name = item->peer.empty() ? item->dial_key : item->peer;
    const auto current = this->up_links.find(name);
    if (current != this->up_links.end())
    {
        if (current->second != item)
        {
            return;
        }
        this->up_links.erase(current);
    }
    for (const auto& other : this->open_links)
    {
        if (other->is_up && other->peer == name)
        {
            this->up_links.emplace(name, other);
            return;
        }
    }
    if (name.empty())
    {
        return;
    }
    if (item->is_up)
    {
        this->log.write(log_event::link_down,
                        {{"peer", name}, {"reason", reason}});
    }
    if (this->on_down)
    {
        this->on_down(name);
    }
}

void links::close()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const auto open = std::exchange(this->open_links, {});
    this->up_links.clear();
    this->dialing.clear();
    for (const auto& item : open)
    {
        item->detach();
        item->close("node is stopping");
    }
}

} // namespace

core::base::result<std::unique_ptr<tcp_peers>> tcp_peers::listen(
    boost::asio::io_context& io, link_settings settings, ports::event_log& log)
{
    auto created = std::make_unique<links>(io, std::move(settings), log);
    const auto opened = created->open();
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    return created;
}

} // namespace hawthornrelay::adapters::peer
