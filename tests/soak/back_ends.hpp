/// @file
/// @brief Replicas that register in the store, work, and misbehave.
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

/// @brief The records of one shard for one request: all replicas agree.
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

/// @brief What the back ends have seen of requests.
struct witness
{
    struct arrival
    {
        steady_clock::time_point at;
        std::string service;
        std::string id;
        std::string replica;
    };

    std::vector<arrival> arrivals;
    std::map<std::string, int> runs; ///< by request and service
    std::map<std::string, std::set<std::string>> services; ///< that ran it
    std::vector<std::string> broken;
    /// Told of each arrival, for checks that need the state of the site.
    std::function<void(const class back_end& at)> on_arrival;

    void report(const std::string& what)
    {
        constexpr std::size_t enough = 20;
        if (this->broken.size() < enough)
        {
            this->broken.push_back(what);
        }
    }
};

/// @brief One replica behind a proxy of its own.
class back_end
{
  public:
    struct shape
    {
        std::string service;
        std::string zone;
        std::string id;
        std::chrono::microseconds work;
    };

    /// What goes wrong, each a chance from 0 to 1 but for the first.
    struct trouble
    {
        double slow = 1;
        double sheds = 0;
        double loses_answers = 0;
        double fails = 0;
    };

    static constexpr double slots = 2;
    static constexpr std::size_t queue = 12;
    static constexpr double cold_per_second = 10;

    back_end(boost::asio::io_context& io,
             shape form,
             support::platform_store& store,
             witness& seen,
             std::mt19937_64& random)
        : form(std::move(form)), io(io), store(store), seen(seen),
          random(random)
    {
        adapters::http::server_handlers handlers;
        handlers.on_request = [this](const adapters::http::request& message,
                                     const adapters::http::responder& respond)
        {
            this->accept(message, respond);
        };
        handlers.on_caller_gone = [this](std::uint64_t exchange)
        {
            this->gone.insert(exchange);
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

    /// Starts as a new incarnation and registers.
    void start()
    {
        ++this->incarnation;
        this->is_up = true;
        this->is_draining = false;
        this->sequence = 0;
        this->link->reset_all();
        this->link->fault = {};
        this->cold_until = steady_clock::now() + std::chrono::seconds(2);
        this->beat();
    }

    /// Ends at once; its entry stays for three heartbeats.
    void crash(bool is_dark)
    {
        this->is_up = false;
        ++this->incarnation;
        this->link->fault.refuses = !is_dark;
        this->link->fault.drops_requests = is_dark;
        this->link->fault.drops_answers = is_dark;
        if (!is_dark)
        {
            this->link->reset_all();
        }
        const auto run = this->incarnation;
        this->later(std::chrono::milliseconds(3600),
                    [this, run]
                    {
                        if (run == this->incarnation)
                        {
                            this->store.remove("servers/" + this->instance());
                        }
                    });
    }

    void drain()
    {
        this->is_draining = true;
        this->drained_at = steady_clock::now();
        this->beat();
    }

    /// Writes the entry; called at each heartbeat.
    void beat()
    {
        if (!this->is_up || this->store.is_silent ||
            this->store.refuses_with != 0)
        {
            return;
        }
        const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->cold_until - steady_clock::now());
        this->store.write(
            "servers/" + this->instance(),
            boost::json::serialize(boost::json::object{
                {"service", this->form.service},
                {"address", this->link->address()},
                {"zone", this->form.zone},
                {"version", "v1"},
                {"capacity", 2},
                {"state", this->is_draining ? "draining" : "ready"},
                {"warmupRemainingMs", std::max<long>(0, cold.count())},
                {"sequence", ++this->sequence},
                {"born", this->incarnation}}));
    }

    [[nodiscard]] std::string instance() const
    {
        return this->form.id;
    }

    const shape form;
    trouble faults;
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
        std::uint64_t run = 0;
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
        const auto left = text("x-deadline-ms");
        const auto expected = text("x-expect-replica");
        if (expected != this->instance())
        {
            this->answer(respond, item.id, 421);
            return;
        }
        if (left.empty())
        {
            this->seen.report("no time left was stated for " + item.id);
        }
        item.deadline = steady_clock::now() +
                        std::chrono::milliseconds(std::atol(left.c_str()));
        this->seen.arrivals.push_back({steady_clock::now(),
                                       this->form.service,
                                       item.id,
                                       this->instance()});
        this->note_cold();
        this->seen.on_arrival(*this);
        if (this->chance(this->faults.sheds) || this->waiting.size() >= queue)
        {
            this->shed(item);
            return;
        }
        this->waiting.push_back(std::move(item));
        this->work();
    }

    void note_cold()
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
            cold_per_second * 1.5 + 5)
        {
            this->seen.report("FAILBACK: cold " + this->instance() + " got " +
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
            if (this->gone.erase(item.message.exchange) > 0)
            {
                continue;
            }
            if (item.deadline <= steady_clock::now())
            {
                this->shed(item);
                continue;
            }
            ++this->running;
            ++this->seen.runs[item.id + "@" + this->form.service];
            this->seen.services[item.id].insert(this->form.service);
            std::lognormal_distribution<double> spread(0.0, 0.35);
            const auto takes =
                std::chrono::duration_cast<std::chrono::microseconds>(
                    this->form.work * spread(this->random) * this->faults.slow);
            this->later(takes,
                        [this, item = std::move(item)]
                        {
                            this->finish(item);
                        });
        }
    }

    void finish(const job& item)
    {
        this->running = std::max(0.0, this->running - 1);
        if (item.run == this->incarnation && this->is_up &&
            this->gone.erase(item.message.exchange) == 0)
        {
            this->complete(item);
        }
        this->work();
    }

    void complete(const job& item)
    {
        if (this->chance(this->faults.loses_answers))
        {
            adapters::http::response none;
            none.status = 0;
            item.respond(std::move(none));
            return;
        }
        const bool is_late = item.deadline <= steady_clock::now();
        const unsigned status = is_late                            ? 504
                                : this->chance(this->faults.fails) ? 500
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
                    this->form.service + ":" + this->instance() + ":" + id;
            }
            reply.body = records_of(this->form.service, id);
        }
        respond(std::move(reply));
    }

    bool chance(double part)
    {
        return std::uniform_real_distribution<double>()(this->random) < part;
    }

    template <typename Task>
    void later(std::chrono::microseconds delay, Task task)
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
    witness& seen;
    std::mt19937_64& random;
    std::unique_ptr<adapters::http::server> server;
    std::deque<job> waiting;
    std::set<std::uint64_t> gone;
    std::deque<steady_clock::time_point> cold_arrivals;
    double running = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

} // namespace hawthornrelay::tests::soak
