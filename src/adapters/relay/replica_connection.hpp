/// @file
/// @brief A persistent HTTP connection to a replica.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <core/relay/answer_memory.hpp>
#include <platform/replica_wire.hpp>
#include <ports/replica_transport.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Carries one request at a time. A read is always pending, so that
///        unsolicited bytes are noticed and end the connection.
class replica_connection
    : public std::enable_shared_from_this<replica_connection>
{
  public:
    /// @brief A request to send and the handler of its outcome.
    struct job
    {
        std::uint64_t send = 0;
        std::shared_ptr<const ports::forwarded_request> request;
        std::chrono::steady_clock::time_point deadline; ///< caller's deadline
        std::string expected_replica;
        ports::replica_transport::handler done;
    };

    /// @brief Called when the connection is closed, for whatever reason.
    using closed_handler = std::function<void(const replica_connection*)>;

    /// @brief Creates a connection that is not connected yet.
    /// @param io the context to run on; must outlive this object
    /// @param memory limits the answers
    /// @param on_closed called once, when the connection is closed
    replica_connection(boost::asio::io_context& io,
                       std::shared_ptr<core::relay::answer_memory> memory,
                       closed_handler on_closed);

    /// @brief Connects, then sends the request that was started meanwhile.
    void connect(const boost::asio::ip::tcp::endpoint& to);

    /// @brief Sends a request, now or once connected. Requires is_free().
    void start(job work);

    /// @brief Resets the connection without calling the request's handler.
    void abort();

    /// @brief Closes an idle connection.
    void close();

    /// @brief True if connected and without a request.
    [[nodiscard]] bool is_idle() const;

    /// @brief True if there is no request, connected or not.
    [[nodiscard]] bool is_free() const;

    /// @brief True until the connection is established.
    [[nodiscard]] bool is_connecting() const
    {
        return this->phase == state::connecting;
    }

    /// @brief True if the replica closed the connection while it was idle.
    [[nodiscard]] bool was_closed_by_peer() const
    {
        return this->is_closed_by_peer;
    }

    /// @brief When the connection was opened or last carried a request.
    [[nodiscard]] std::chrono::steady_clock::time_point used_at() const
    {
        return this->last_used;
    }

    /// @brief The id of the last request that was started, empty for a health
    ///        check; nothing if there was none.
    [[nodiscard]] const std::optional<std::string>& last_request() const
    {
        return this->last_request_id;
    }

  private:
    enum class state
    {
        connecting,
        idle,
        busy,
        closed,
    };

    using parser_type =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void on_connected(const boost::system::error_code& error);
    void write();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t count);
    void parse();
    void on_answer();
    void prepare_parser();
    [[nodiscard]] bool reserve_memory();
    [[nodiscard]] std::string
    reason_to_skip(const platform::wire_answer& answer) const;
    void skip_answer(const std::string& reason);
    void parse_or_read();
    template <class Function>
    void guarded(Function&& function);
    void finish(const ports::send_outcome& outcome);
    void fail(core::relay::send_result result, std::string detail);
    void reset();
    void become_idle();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::shared_ptr<core::relay::answer_memory> memory;
    closed_handler on_closed;
    boost::beast::flat_buffer buffer;
    std::optional<parser_type> parser;
    std::shared_ptr<core::relay::answer_reservation> reservation;
    std::optional<job> current;
    std::optional<std::string> last_request_id;
    std::chrono::steady_clock::time_point last_used{};
    /// When the current request was handed over.
    std::chrono::steady_clock::time_point started_at{};
    std::string outgoing_head;
    std::chrono::milliseconds keep_alive_timeout{0};
    state phase = state::connecting;
    bool is_writing = false;
    bool may_have_sent = false; ///< a byte of the request may have been written
    std::size_t skipped_answers = 0; ///< during the current request
    bool was_used = false; ///< an earlier exchange may cause late bytes
    bool keep_alive = true;
    bool is_closed_by_peer = false;
};

} // namespace hawthornrelay::adapters::relay
