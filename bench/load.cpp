// Loads real processes: prints the query rate and latency of queries through
// the nodes and, in the same run, of a caller that queries the targets itself.
//
// load ADDRESSES TARGETS KEY SECONDS RATE SERVICES
//   ADDRESSES  nodes, ip:port separated by commas
//   TARGETS    first port of the target stand-ins, two for each service
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <adapters/asio/asio_runtime.hpp>
#include <adapters/http/client.hpp>

using namespace hawthornrelay::adapters;
using namespace std::chrono_literals;
using hawthornrelay::core::base::time_point;

namespace
{

using response = hawthornrelay::core::base::result<http::response>;

/// A connection pool for one address; opens connections on demand.
class pool
{
  public:
    pool(boost::asio::io_context& io, std::string address)
        : io(io), address(std::move(address))
    {
    }

    void send(http::request message, http::connection::handler done)
    {
        std::shared_ptr<http::connection> link;
        if (this->idle.empty())
        {
            link = http::connection::create(this->io, this->address);
        }
        else
        {
            link = this->idle.back();
            this->idle.pop_back();
        }
        link->send(std::move(message),
                   2s,
                   [this, link, done = std::move(done)](response answer)
                   {
                       if (link->is_open())
                       {
                           this->idle.push_back(link);
                       }
                       done(std::move(answer));
                   });
    }

  private:
    boost::asio::io_context& io;
    std::string address;
    std::vector<std::shared_ptr<http::connection>> idle;
};

constexpr auto warm_up_time = 6s;

struct statistics
{
    std::vector<double> latencies_ms;
    std::size_t sent = 0;
    std::size_t complete = 0;
};

double quantile(std::vector<double>& sorted, double fraction)
{
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty()
               ? 0
               : sorted[static_cast<std::size_t>(
                     fraction * static_cast<double>(sorted.size() - 1))];
}

class load_generator
{
  public:
    load_generator(boost::asio::io_context& io,
                   asio::asio_runtime& runtime,
                   std::size_t services)
        : io(io), runtime(runtime), services(services)
    {
    }

    void add_node(const std::string& address)
    {
        this->nodes.push_back(std::make_unique<pool>(this->io, address));
    }

    void add_target(int port)
    {
        this->targets.push_back(std::make_unique<pool>(
            this->io, "127.0.0.1:" + std::to_string(port)));
    }

    /// Sends queries as a Poisson process until @p end, alternately through the
    /// nodes and directly to the targets.
    void run(const std::string& key, double rate, time_point end)
    {
        if (this->runtime.now() >= end)
        {
            return;
        }
        // Targets are cold at first; only the nodes limit the load on cold
        // targets, so direct queries begin after the warm-up.
        if (this->runtime.now() < this->warmed_up_at)
        {
            this->query_relay(key);
            this->relay = {};
        }
        else if (this->query_count++ % 2 == 0)
        {
            this->query_relay(key);
        }
        else
        {
            this->query_targets();
        }
        std::exponential_distribution<double> gap(rate);
        this->runtime.call_after(
            std::chrono::microseconds(
                static_cast<std::int64_t>(gap(this->random) * 1e6)),
            [this, key, rate, end]
            {
                this->run(key, rate, end);
            });
    }

    statistics relay;
    statistics direct;
    time_point warmed_up_at; ///< until then, queries go through the nodes only

  private:
    void query_relay(const std::string& key)
    {
        http::request message;
        message.method = "POST";
        message.target = "/v1/query";
        message.headers["authorization"] = "Bearer " + key;
        message.body = R"({"body":"q)" + std::to_string(++this->last_id) +
                       R"(","deadline_ms":1000})";
        const auto start = this->runtime.now();
        const auto expected =
            R"("answered":)" + std::to_string(this->services) + ",";
        ++this->relay.sent;
        this->nodes[this->random() % this->nodes.size()]->send(
            std::move(message),
            [this, start, expected](const response& answer)
            {
                const bool is_complete =
                    answer && answer->body.find(expected) != std::string::npos;
                this->record(this->relay, start, is_complete);
            });
    }

    void query_targets()
    {
        struct fan_out_state
        {
            std::size_t outstanding = 0;
            bool is_complete = true;
        };
        auto state = std::make_shared<fan_out_state>();
        state->outstanding = this->services;
        const auto start = this->runtime.now();
        ++this->direct.sent;
        for (std::size_t s = 0; s < this->services; ++s)
        {
            http::request message;
            message.method = "POST";
            message.target = "/work";
            message.headers["x-request-id"] =
                "direct-" + std::to_string(++this->last_id);
            message.headers["x-time-left-us"] = "1000000";
            message.headers["x-version"] = "0";
            message.body = "q";
            this->targets[s * 2 + this->random() % 2]->send(
                std::move(message),
                [this, state, start](const response& answer)
                {
                    state->is_complete =
                        state->is_complete && answer && answer->status == 200;
                    if (--state->outstanding == 0)
                    {
                        this->record(this->direct, start, state->is_complete);
                    }
                });
        }
    }

    void record(statistics& results, time_point start, bool is_complete)
    {
        const std::chrono::duration<double, std::milli> elapsed =
            this->runtime.now() - start;
        results.complete += is_complete ? 1 : 0;
        results.latencies_ms.push_back(elapsed.count());
    }

    boost::asio::io_context& io;
    asio::asio_runtime& runtime;
    std::size_t services;
    std::vector<std::unique_ptr<pool>> nodes;
    std::vector<std::unique_ptr<pool>> targets;
    std::mt19937 random{3};
    std::uint64_t last_id = 0;
    std::uint64_t query_count = 0;
};

void print(const char* name, statistics& results, double seconds)
{
    fmt::print("{}: sent {} whole {} rate {:.0f}/s p50 {:.2f} ms p99 {:.2f} "
               "ms\n",
               name,
               results.sent,
               results.complete,
               static_cast<double>(results.complete) / seconds,
               quantile(results.latencies_ms, 0.5),
               quantile(results.latencies_ms, 0.99));
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 7)
    {
        fmt::print(stderr,
                   "load ADDRESSES TARGETS KEY SECONDS RATE SERVICES\n");
        return 2;
    }
    boost::asio::io_context io{1};
    asio::asio_runtime runtime(io);
    const auto services = std::strtoul(argv[6], nullptr, 10);
    load_generator generator(io, runtime, services);
    std::istringstream addresses(argv[1]);
    for (std::string address; std::getline(addresses, address, ',');)
    {
        generator.add_node(address);
    }
    const int first = std::atoi(argv[2]);
    for (std::size_t i = 0; i < services * 2; ++i)
    {
        generator.add_target(first + static_cast<int>(i));
    }
    const double seconds = std::strtod(argv[4], nullptr);
    generator.warmed_up_at = runtime.now() + warm_up_time;
    const auto end =
        generator.warmed_up_at +
        std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    generator.run(argv[3], std::strtod(argv[5], nullptr), end);
    io.run_for(std::chrono::milliseconds(
        static_cast<std::int64_t>(seconds * 1000) + 8500));
    print("relay", generator.relay, seconds);
    print("direct", generator.direct, seconds);
    return 0;
}
