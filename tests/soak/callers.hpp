/// @file
/// @brief Simulated callers that check every answer.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include <adapters/http/client.hpp>
#include <soak/back_ends.hpp>
#include <soak/relay_process.hpp>

namespace hawthornrelay::tests::soak
{

using adapters::http::header;
using answer = core::base::result<adapters::http::response>;

/// @brief One request and its outcome.
struct request_record
{
    std::string id;
    std::string target;
    std::string service; ///< target service; empty: a search over all shards
    steady_clock::time_point sent{};
    steady_clock::time_point ended{};
    std::size_t node = 0;
    unsigned incarnation = 0; ///< of the node
    unsigned status = 0;      ///< 0: no answer, or the connection was closed
    bool is_non_idempotent = false;
    bool was_refused_connection = false;
};

/// @brief State that all callers share.
struct caller_context
{
    boost::asio::io_context& io;
    std::vector<std::unique_ptr<relay_process>>& nodes;
    observations& observed;
    std::mt19937_64& random;
    std::vector<std::string> shards;
    std::size_t min_shards = 0;
    std::size_t result_limit = 0;
    std::vector<request_record> records;
    /// Path to request for a kind of caller.
    std::function<std::string(const std::string& kind)> route;
    std::uint64_t next_id = 1;
};

/// @brief A caller that sends one request at a time over a keep-alive
///        connection.
class caller
{
  public:
    caller(caller_context& context, std::string kind, std::string zone)
        : context(context), kind(std::move(kind)), zone(std::move(zone)),
          timer(context.io)
    {
    }

    void start()
    {
        this->is_running = true;
        this->resolve();
    }

    void stop()
    {
        this->is_running = false;
    }

  private:
    void resolve()
    {
        const auto& node =
            *this->context
                 .nodes[this->context.random() % this->context.nodes.size()];
        const auto link = adapters::http::connection::create(
            this->context.io, node.directory_address());
        adapters::http::request message;
        message.target =
            "/v1/resolve?name=h.example&region=r&zone=" + this->zone;
        link->send(std::move(message),
                   std::chrono::milliseconds(500),
                   [this, link](const answer& reply)
                   {
                       this->on_resolved(reply);
                   });
    }

    void on_resolved(const answer& reply)
    {
        if (reply && reply->status == 200)
        {
            this->addresses.clear();
            const auto parsed = boost::json::parse(reply->body);
            for (const auto& item : parsed.at("addrs").as_array())
            {
                this->addresses.emplace_back(item.as_string());
            }
            // A quarter of the resolvers caches for three times the TTL.
            const auto factor = this->context.random() % 4 == 0 ? 3 : 1;
            this->resolve_at =
                steady_clock::now() +
                std::chrono::seconds(parsed.at("ttl_s").to_number<int>() *
                                     factor);
        }
        this->schedule_next();
    }

    void schedule_next()
    {
        this->timer.expires_after(
            std::chrono::milliseconds(20 + this->context.random() % 60));
        this->timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error && this->is_running)
                {
                    this->send_next();
                }
            });
    }

    void send_next()
    {
        if (this->addresses.empty() || steady_clock::now() >= this->resolve_at)
        {
            this->resolve_at =
                steady_clock::now() + std::chrono::milliseconds(300);
            this->resolve();
            return;
        }
        if (this->link == nullptr || !this->link->is_open())
        {
            this->address = this->addresses[this->context.random() %
                                            this->addresses.size()];
            this->link = adapters::http::connection::create(this->context.io,
                                                            this->address);
        }
        this->send_request();
    }

    void send_request()
    {
        request_record record;
        record.id = this->kind + std::to_string(this->context.next_id++);
        record.target = this->context.route(this->kind);
        record.is_non_idempotent = this->kind == "b";
        record.service = this->kind == "s" ? std::string() : "desk";
        record.sent = steady_clock::now();
        for (std::size_t i = 0; i < this->context.nodes.size(); ++i)
        {
            if (this->context.nodes[i]->caller_address() == this->address)
            {
                record.node = i;
                record.incarnation = this->context.nodes[i]->incarnation;
            }
        }
        adapters::http::request message;
        message.method = record.is_non_idempotent ? "POST" : "GET";
        message.target = record.target;
        message.headers["host"] = "h.example";
        message.headers["x-request-id"] = record.id;
        message.headers["x-deadline-ms"] = "600";
        message.body = record.is_non_idempotent ? "body of " + record.id : "";
        this->link->send(std::move(message),
                         std::chrono::milliseconds(1500),
                         [this, record](const answer& reply)
                         {
                             this->on_answer(record, reply);
                         });
    }

    void on_answer(request_record record, const answer& reply)
    {
        record.ended = steady_clock::now();
        if (!reply)
        {
            record.was_refused_connection =
                reply.error().code == core::base::result_code::connect_failed;
            this->link = nullptr;
            std::erase(this->addresses, this->address);
        }
        else
        {
            record.status = reply->status;
            if (reply->status == 200)
            {
                this->check_answer(record, *reply);
            }
        }
        this->context.records.push_back(record);
        this->schedule_next();
    }

    void check_answer(const request_record& record,
                      const adapters::http::response& reply)
    {
        const auto& headers = reply.headers;
        if (!record.service.empty())
        {
            const auto stamp = header(headers, "x-server-stamp");
            const bool is_matching = stamp.starts_with(record.service + ":") &&
                                     stamp.ends_with(":" + record.id);
            if (!is_matching ||
                reply.body != records_of(record.service, record.id))
            {
                this->context.observed.report("MIXED: " + record.id + " got " +
                                              std::string(stamp));
            }
            return;
        }
        std::set<std::string> services;
        std::vector<std::string> merged;
        std::istringstream stamps(
            std::string(header(headers, "x-part-stamps")));
        for (std::string stamp; std::getline(stamps, stamp, ',');)
        {
            stamp.erase(0, stamp.find_first_not_of(' '));
            const auto service = stamp.substr(0, stamp.find(':'));
            if (!stamp.ends_with(":" + record.id) ||
                !services.insert(service).second)
            {
                this->context.observed.report("MIXED: part " + stamp + " of " +
                                              record.id);
            }
            const auto records = records_of(service, record.id);
            for (std::size_t offset = 0; offset < records.size(); offset += 16)
            {
                merged.push_back(records.substr(offset, 16));
            }
        }
        std::sort(merged.rbegin(), merged.rend());
        std::string expected;
        for (std::size_t i = 0;
             i < std::min(merged.size(), this->context.result_limit);
             ++i)
        {
            expected += merged[i];
        }
        const auto missing =
            std::atol(std::string(header(headers, "x-missing-parts")).c_str());
        const bool is_complete =
            services.size() + static_cast<std::size_t>(missing) ==
            this->context.shards.size();
        if (!is_complete || services.size() < this->context.min_shards ||
            reply.body != expected)
        {
            this->context.observed.report(
                "MIXED: search " + record.id + " has " +
                std::to_string(services.size()) + " parts, missing " +
                std::to_string(missing));
        }
    }

    caller_context& context;
    const std::string kind;
    const std::string zone;
    boost::asio::steady_timer timer;
    std::vector<std::string> addresses;
    std::string address;
    steady_clock::time_point resolve_at{};
    std::shared_ptr<adapters::http::connection> link;
    bool is_running = false;
};

} // namespace hawthornrelay::tests::soak
