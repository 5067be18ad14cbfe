/// @file
/// @brief Simulated replicas that register in the store, answer requests and
///        inject faults.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include <adapters/http/server.hpp>
#include <soak/proxy.hpp>
#include <support/platform_store.hpp>

namespace hawthornrelay::tests::soak
{

using std::chrono::steady_clock;

/// @brief Returns the records that every replica of @p service answers for
///        request @p id.
inline std::string records_of(const std::string& service, const std::string& id)
{
    std::string result;
    for (int i = 0; i < 5; ++i)
    {
        const auto hash =
            std::hash<std::string>()(service + id) * (2U * i + 1U);
        auto text = std::to_string(hash);
        text.resize(16, '.');
        result += text;
    }
    return result;
}

/// @brief Requests that reached the back ends, and violations found so far.
struct observations
{
    struct arrival
    {
        steady_clock::time_point at;
        std::string service;
        std::string id;
        std::string replica;
    };

    std::vector<arrival> arrivals;
    std::map<std::string, int> runs; ///< executions, by "request@service"
    /// Services that executed a request, by request.
    std::map<std::string, std::set<std::string>> services;
    std::vector<std::string> violations;
    /// Called on each arrival, for checks that need the state of the system.
    std::function<void(const class back_end& target)> on_arrival;

    void report(const std::string& what)
    {
        constexpr std::size_t max_reports = 20;
        if (this->violations.size() < max_reports)
        {
            this->violations.push_back(what);
        }
    }
};

/// @brief A simulated replica behind its own fault-injecting proxy.
class back_end
{
  public:
    struct parameters
    {
        std::string service;
        std::string zone;
        std::string id;
        std::chrono::microseconds work;
    };

    /// Injected faults: a slowdown factor, and probabilities from 0 to 1.
    struct replica_faults
    {
        double slowdown = 1;
        double shed_probability = 0;
        double lost_answer_probability = 0;
        double failure_probability = 0;
    };

    static constexpr double slots = 2;
    static constexpr std::size_t max_queue = 12;
    static constexpr double cold_requests_per_second = 10;

    back_end(boost::asio::io_context& io,
             parameters settings,
             support::platform_store& store,
             observations& observed,
             std::mt19937_64& random)
        : settings(std::move(settings)), io(io), store(store),
          observed(observed), random(random)
    {
        adapters::http::server_handlers handlers;
        handlers.on_request = [this](const adapters::http::request& message,
                                     const adapters::http::responder& respond)
        {
            this->accept(message, respond);
        };
        handlers.on_caller_disconnected = [this](std::uint64_t exchange)
        {
            this->disconnected.insert(exchange);
        };
        this->server = std::move(*adapters::http::server::listen(
            io, "127.0.0.1", 0, std::move(handlers), {}));
        this->link = std::make_unique<proxy>(
            io,
            "127.0.0.1",
            tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                          this->server->port()));
        this->start();
    }

    /// Starts a new incarnation, which is cold for 2 s, and registers it.
    void start()
    {
        ++this->incarnation;
        this->is_up = true;
        this->is_draining = false;
        this->sequence = 0;
        this->link->reset_all();
        this->link->fault = {};
        this->cold_until = steady_clock::now() + std::chrono::seconds(2);
        this->send_heartbeat();
    }

    /// @brief Ends the process at once; its registration expires after three
    ///        heartbeat intervals (3.6 s).
    /// @param is_black_hole true: traffic is dropped silently; false:
    ///        connections are reset and refused
    void crash(bool is_black_hole)
    {
        this->is_up = false;
        ++this->incarnation;
        this->link->fault.refuses = !is_black_hole;
        this->link->fault.drops_requests = is_black_hole;
        this->link->fault.drops_answers = is_black_hole;
        if (!is_black_hole)
        {
            this->link->reset_all();
        }
        const auto current = this->incarnation;
        this->call_after(std::chrono::milliseconds(3600),
                         [this, current]
                         {
                             if (current == this->incarnation)
                             {
                                 this->store.remove("servers/" +
                                                    this->instance());
                             }
                         });
    }

    void drain()
    {
        this->is_draining = true;
        this->drained_at = steady_clock::now();
        this->send_heartbeat();
    }

    /// Writes the registration, unless the replica or the store is down.
    void send_heartbeat()
    {
        if (!this->is_up || this->store.is_silent ||
            this->store.refusal_status != 0)
        {
            return;
        }
        const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->cold_until - steady_clock::now());
        this->store.write(
            "servers/" + this->instance(),
            boost::json::serialize(boost::json::object{
                {"service", this->settings.service},
                {"address", this->link->address()},
                {"zone", this->settings.zone},
                {"version", "v1"},
                {"capacity", 2},
                {"state", this->is_draining ? "draining" : "ready"},
                {"warmupRemainingMs", std::max<long>(0, cold.count())},
                {"sequence", ++this->sequence},
                {"born", this->incarnation}}));
    }

    [[nodiscard]] std::string instance() const
    {
        return this->settings.id;
    }

    const parameters settings;
    replica_faults faults;
    std::unique_ptr<proxy> link;
    bool is_up = true;
    bool is_draining = false;
    steady_clock::time_point drained_at{};
    steady_clock::time_point cold_until{};

  private:
    struct job
    {
        adapters::http::request message;
        adapters::http::responder respond;
        std::string id;
        steady_clock::time_point deadline;
        std::uint64_t incarnation = 0;
    };

    void accept(const adapters::http::request& message,
                const adapters::http::responder& respond)
    {
        if (!this->is_up)
        {
            return;
        }
        if (message.target == "/healthz")
        {
            this->answer(respond, {}, this->is_draining ? 503 : 200);
            return;
        }
        const auto text = [&message](const char* name)
        {
            return std::string(adapters::http::header(message.headers, name));
        };
        job item{message, respond, text("x-request-id"), {}, this->incarnation};
        const auto time_left = text("x-deadline-ms");
        const auto expected = text("x-expect-replica");
        if (expected != this->instance())
        {
            this->answer(respond, item.id, 421);
            return;
        }
        if (time_left.empty())
        {
            this->observed.report("no x-deadline-ms header in request " +
                                  item.id);
        }
        item.deadline = steady_clock::now() +
                        std::chrono::milliseconds(std::atol(time_left.c_str()));
        this->observed.arrivals.push_back({steady_clock::now(),
                                           this->settings.service,
                                           item.id,
                                           this->instance()});
        this->check_cold_rate();
        this->observed.on_arrival(*this);
        if (this->draw(this->faults.shed_probability) ||
            this->waiting.size() >= max_queue)
        {
            this->shed(item);
            return;
        }
        this->waiting.push_back(std::move(item));
        this->work();
    }

    void check_cold_rate()
    {
        const auto now = steady_clock::now();
        if (now >= this->cold_until)
        {
            this->cold_arrivals.clear();
            return;
        }
        this->cold_arrivals.push_back(now);
        while (now - this->cold_arrivals.front() > std::chrono::seconds(1))
        {
            this->cold_arrivals.pop_front();
        }
        if (static_cast<double>(this->cold_arrivals.size()) >
            cold_requests_per_second * 1.5 + 5)
        {
            this->observed.report("FAILBACK: cold " + this->instance() +
                                  " got " +
                                  std::to_string(this->cold_arrivals.size()) +
                                  " requests in a second");
        }
    }

    void work()
    {
        while (this->running < slots && !this->waiting.empty())
        {
            auto item = std::move(this->waiting.front());
            this->waiting.pop_front();
            if (this->disconnected.erase(item.message.exchange) > 0)
            {
                continue;
            }
            if (item.deadline <= steady_clock::now())
            {
                this->shed(item);
                continue;
            }
            ++this->running;
            ++this->observed.runs[item.id + "@" + this->settings.service];
            this->observed.services[item.id].insert(this->settings.service);
            std::lognormal_distribution<double> spread(0.0, 0.35);
            const auto duration =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    this->settings.work * spread(this->random) *
                    this->faults.slowdown);
            this->call_after(duration,
                             [this, item = std::move(item)]
                             {
                                 this->finish(item);
                             });
        }
    }

    void finish(const job& item)
    {
        this->running = std::max(0.0, this->running - 1);
        if (item.incarnation == this->incarnation && this->is_up &&
            this->disconnected.erase(item.message.exchange) == 0)
        {
            this->complete(item);
        }
        this->work();
    }

    void complete(const job& item)
    {
        if (this->draw(this->faults.lost_answer_probability))
        {
            adapters::http::response none;
            none.status = 0;
            item.respond(std::move(none));
            return;
        }
        const bool is_late = item.deadline <= steady_clock::now();
        const unsigned status = is_late ? 504
                                : this->draw(this->faults.failure_probability)
                                    ? 500
                                    : 200;
        this->answer(item.respond, item.id, status);
    }

    void shed(const job& item)
    {
        adapters::http::response reply;
        reply.status = 503;
        reply.headers["X-Not-Executed"] = "1";
        reply.headers["X-Request-Id"] = item.id;
        item.respond(std::move(reply));
    }

    void answer(const adapters::http::responder& respond,
                const std::string& id,
                unsigned status)
    {
        adapters::http::response reply;
        reply.status = status;
        reply.headers["X-Replica-Id"] = this->instance();
        const auto cold = this->cold_until - steady_clock::now();
        if (cold.count() > 0)
        {
            reply.headers["X-Warmup-Ms"] = std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(cold)
                    .count());
        }
        if (!id.empty())
        {
            reply.headers["X-Request-Id"] = id;
            reply.headers["X-Replica-Load"] =
                std::to_string(static_cast<int>(this->running)) + "," +
                std::to_string(this->waiting.size()) + ",2";
            if (status != 421)
            {
                reply.headers["X-Server-Stamp"] =
                    this->settings.service + ":" + this->instance() + ":" + id;
            }
            reply.body = records_of(this->settings.service, id);
        }
        respond(std::move(reply));
    }

    bool draw(double probability)
    {
        return std::uniform_real_distribution<double>()(this->random) <
               probability;
    }

    template <typename Task>
    void call_after(std::chrono::microseconds delay, Task task)
    {
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(this->io, delay);
        timer->async_wait(
            [timer, task = std::move(task)](
                const boost::system::error_code& error) mutable
            {
                if (!error)
                {
                    task();
                }
            });
    }

    boost::asio::io_context& io;
    support::platform_store& store;
    observations& observed;
    std::mt19937_64& random;
    std::unique_ptr<adapters::http::server> server;
    std::deque<job> waiting;
    std::set<std::uint64_t> disconnected;
    std::deque<steady_clock::time_point> cold_arrivals;
    double running = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

} // namespace hawthornrelay::tests::soak
