// A node gets SIGTERM while clients wait for two requests on each connection.
#include <deployment.hpp>

#include <boost/asio/write.hpp>

namespace
{

using namespace rig;
using tcp = boost::asio::ip::tcp;

constexpr milliseconds loss_slack{200};
constexpr milliseconds work{600};
constexpr milliseconds term_after{100};
constexpr int clients = 10;

std::string configuration()
{
    return json::serialize(
        json::object{{"version", 7},
                     {"routes",
                      json::array{json::object{{"name", "lookup"},
                                               {"host", "desk.example"},
                                               {"prefix", "/lookup/"},
                                               {"type", "idempotent"},
                                               {"timeoutMs", 4000},
                                               {"targetLatencyMs", 2000},
                                               {"priority", 1},
                                               {"service", "desk"},
                                               {"maxAttempts", 1}}}},
                     {"services",
                      json::array{json::object{{"name", "desk"},
                                               {"healthCheckPath", "/healthz"},
                                               {"maxConnections", 110},
                                               {"warmupS", 3.0},
                                               {"warmupPerS", 0.0}}}},
                     {"limits",
                      json::object{{"maxHeaderBytes", 16384},
                                   {"maxBodyBytes", 262144},
                                   {"headerTimeoutMs", 5000},
                                   {"idleTimeoutMs", 20000}}}});
}

/// A client that keeps one connection.
class kept_client : public std::enable_shared_from_this<kept_client>
{
  public:
    kept_client(boost::asio::io_context& io, recorder& record, std::string name)
        : record(record), name(std::move(name)), socket(io)
    {
    }

    void connect(const std::string& ip)
    {
        this->socket.async_connect(
            {boost::asio::ip::make_address(ip), 8104},
            [self = this->shared_from_this()](const auto& error)
            {
                if (!error)
                {
                    self->read();
                }
            });
    }

    /// Sends requests in one piece.
    void send(const std::vector<std::string>& ids)
    {
        this->outgoing.clear();
        for (const auto& id : ids)
        {
            this->outgoing +=
                fmt::format("GET /lookup/{0} HTTP/1.1\r\nHost: desk.example\r\n"
                            "X-Request-Id: {0}\r\nX-Deadline-Ms: 4000\r\n\r\n",
                            id);
            this->waiting.push_back(id);
            this->record.line("{} sends {}", this->name, id);
        }
        boost::asio::async_write(
            this->socket,
            boost::asio::buffer(this->outgoing),
            [self = this->shared_from_this()](const auto&, std::size_t)
            {
                self->sent_at = clock::now();
            });
    }

    std::vector<std::string> waiting; ///< requests without an answer
    std::vector<std::string> answered;
    bool is_closed = false;
    clock::time_point sent_at{};
    clock::time_point closed_at{};

  private:
    void read()
    {
        this->socket.async_read_some(
            boost::asio::buffer(this->buffer),
            [self = this->shared_from_this()](const auto& error,
                                              std::size_t count)
            {
                self->received.append(self->buffer.data(), count);
                self->take_answers();
                if (error)
                {
                    self->is_closed = true;
                    self->closed_at = clock::now();
                    self->record.line("{}: the connection ends ({}), {} "
                                      "requests without an answer",
                                      self->name,
                                      error.message(),
                                      self->waiting.size());
                    boost::system::error_code ignored;
                    self->socket.close(ignored);
                    return;
                }
                self->read();
            });
    }

    void take_answers()
    {
        while (true)
        {
            const auto end = this->received.find("\r\n\r\n");
            const auto field = this->received.find("Content-Length: ");
            if (end == std::string::npos || field > end)
            {
                return;
            }
            const auto length = std::stoul(this->received.substr(field + 16));
            if (this->received.size() < end + 4 + length)
            {
                return;
            }
            const auto status = this->received.substr(9, 3);
            const bool is_last = this->received.substr(0, end).find(
                                     "Connection: close") != std::string::npos;
            this->received.erase(0, end + 4 + length);
            if (this->waiting.empty())
            {
                return;
            }
            this->record.line("{} gets {} to {}{}",
                              this->name,
                              status,
                              this->waiting.front(),
                              is_last ? ", Connection: close" : "");
            this->answered.push_back(this->waiting.front());
            this->waiting.erase(this->waiting.begin());
        }
    }

    recorder& record;
    std::string name;
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    std::string outgoing;
};

int run(recorder& record)
{
    deployment site(record);
    site.platform.put("op/config", configuration());
    for (int i = 0; i < 8; ++i)
    {
        auto& added = site.add_replica("desk", site.zones[i % 4], work);
        added.on_arrival =
            [&record](const replica& at, const replica::arrival& item)
        {
            record.line("replica {} runs {}", at.id, item.request);
        };
        added.start(milliseconds(150 * i));
    }
    if (!site.start_nodes())
    {
        return not_run;
    }
    site.run(milliseconds(10'000));
    if (site.has_ended_node() || site.platform.count("nodes/") != 8)
    {
        record.say("the nodes are not ready");
        return not_run;
    }
    auto& stopped = *site.nodes.back();
    std::vector<std::shared_ptr<kept_client>> all;
    for (int i = 0; i < clients; ++i)
    {
        all.push_back(std::make_shared<kept_client>(
            site.io, record, fmt::format("client {}", i)));
        all.back()->connect(stopped.ip);
    }
    site.run(milliseconds(500));
    for (int i = 0; i < clients; ++i)
    {
        all[i]->send({fmt::format("{:015x}0", i + 1)});
    }
    site.run(milliseconds(2'500));
    for (int i = 0; i < clients; ++i)
    {
        if (all[i]->answered.size() != 1 || all[i]->is_closed)
        {
            record.say("client {} has no kept connection", i);
            return not_run;
        }
        all[i]->send(
            {fmt::format("{:015x}1", i + 1), fmt::format("{:015x}2", i + 1)});
    }
    record.say(
        "{} clients send two requests each to {}", clients, stopped.name);
    site.run(term_after);
    if (has_trouble())
    {
        stopped.signal(SIGTERM);
        record.say("{} gets SIGTERM", stopped.name);
    }
    // The grace time (6 s) and one second.
    site.run(milliseconds(7'000));
    std::size_t lost = 0;
    std::size_t answered = 0;
    for (const auto& item : all)
    {
        answered += item->answered.size() - 1;
        if (item->is_closed && item->closed_at - item->sent_at > loss_slack)
        {
            lost += item->waiting.size();
        }
    }
    record.say("LOST: of {} requests {} were answered; {} were without an "
               "answer when their connection ended, over {} ms after their "
               "last byte was sent: {}",
               2 * clients,
               answered,
               lost,
               loss_slack.count(),
               lost > 0 ? "broken" : "held");
    return lost > 0 ? rule_broken
                    : (answered == 2 * clients ? rule_held : not_run);
}

} // namespace

int main(int argc, char** argv)
{
    rig::end_with_signals();
    rig::recorder record(argc > 1 ? argv[1] : "record.txt");
    return run(record);
}
