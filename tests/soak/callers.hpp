/// @file
/// @brief Callers that check each answer they get.
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
#include <soak/program.hpp>

namespace hawthornrelay::tests::soak
{

using adapters::http::header;
using answer = core::base::result<adapters::http::response>;

/// @brief One request and what became of it.
struct request_record
{
    std::string id;
    std::string target;
    std::string service; ///< whose requests it counts for; empty: all shards
    steady_clock::time_point sent{};
    steady_clock::time_point ended{};
    std::size_t node = 0;
    unsigned run = 0;    ///< of the node
    unsigned status = 0; ///< 0: the connection ended or no answer came
    bool is_once = false;
    bool was_refused_connection = false;
};

/// @brief What all callers know and record.
struct caller_context
{
    boost::asio::io_context& io;
    std::vector<std::unique_ptr<program>>& nodes;
    witness& seen;
    std::mt19937_64& random;
    std::vector<std::string> shards;
    std::size_t min_shards = 0;
    std::size_t result_limit = 0;
    std::vector<request_record> records;
    /// Routes of the version that was written last.
    std::function<std::string(const std::string& kind)> route;
    std::uint64_t next_id = 1;
};

/// @brief A caller with one kept connection at a time.
class caller
{
  public:
    caller(caller_context& all, std::string kind, std::string zone)
        : all(all), kind(std::move(kind)), zone(std::move(zone)), timer(all.io)
    {
    }

    void start()
    {
        this->is_on = true;
        this->resolve();
    }

    void stop()
    {
        this->is_on = false;
    }

  private:
    void resolve()
    {
        const auto& asked =
            *this->all.nodes[this->all.random() % this->all.nodes.size()];
        const auto link =
            adapters::http::connection::create(this->all.io, asked.directory());
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
            // Some keep an answer for three times its time to live.
            const auto factor = this->all.random() % 4 == 0 ? 3 : 1;
            this->resolve_at =
                steady_clock::now() +
                std::chrono::seconds(parsed.at("ttl_s").to_number<int>() *
                                     factor);
        }
        this->pause();
    }

    void pause()
    {
        this->timer.expires_after(
            std::chrono::milliseconds(20 + this->all.random() % 60));
        this->timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error && this->is_on)
                {
                    this->next();
                }
            });
    }

    void next()
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
            this->address =
                this->addresses[this->all.random() % this->addresses.size()];
            this->link =
                adapters::http::connection::create(this->all.io, this->address);
        }
        this->ask();
    }

    void ask()
    {
        request_record record;
        record.id = this->kind + std::to_string(this->all.next_id++);
        record.target = this->all.route(this->kind);
        record.is_once = this->kind == "b";
        record.service = this->kind == "s" ? std::string() : "desk";
        record.sent = steady_clock::now();
        for (std::size_t i = 0; i < this->all.nodes.size(); ++i)
        {
            if (this->all.nodes[i]->callers() == this->address)
            {
                record.node = i;
                record.run = this->all.nodes[i]->run;
            }
        }
        adapters::http::request message;
        message.method = record.is_once ? "POST" : "GET";
        message.target = record.target;
        message.headers["host"] = "h.example";
        message.headers["x-request-id"] = record.id;
        message.headers["x-deadline-ms"] = "600";
        message.body = record.is_once ? "body of " + record.id : "";
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
                this->check(record, *reply);
            }
        }
        this->all.records.push_back(record);
        this->pause();
    }

    void check(const request_record& record,
               const adapters::http::response& reply)
    {
        const auto& headers = reply.headers;
        if (!record.service.empty())
        {
            const auto stamp = header(headers, "x-server-stamp");
            const bool is_own = stamp.starts_with(record.service + ":") &&
                                stamp.ends_with(":" + record.id);
            if (!is_own || reply.body != records_of(record.service, record.id))
            {
                this->all.seen.report("MIXED: " + record.id + " got " +
                                      std::string(stamp));
            }
            return;
        }
        std::set<std::string> services;
        std::vector<std::string> all;
        std::istringstream stamps(
            std::string(header(headers, "x-part-stamps")));
        for (std::string stamp; std::getline(stamps, stamp, ',');)
        {
            stamp.erase(0, stamp.find_first_not_of(' '));
            const auto service = stamp.substr(0, stamp.find(':'));
            if (!stamp.ends_with(":" + record.id) ||
                !services.insert(service).second)
            {
                this->all.seen.report("MIXED: part " + stamp + " of " +
                                      record.id);
            }
            const auto records = records_of(service, record.id);
            for (std::size_t at = 0; at < records.size(); at += 16)
            {
                all.push_back(records.substr(at, 16));
            }
        }
        std::sort(all.rbegin(), all.rend());
        std::string expected;
        for (std::size_t i = 0;
             i < std::min(all.size(), this->all.result_limit);
             ++i)
        {
            expected += all[i];
        }
        const auto missing =
            std::atol(std::string(header(headers, "x-missing-parts")).c_str());
        const bool is_whole =
            services.size() + static_cast<std::size_t>(missing) ==
            this->all.shards.size();
        if (!is_whole || services.size() < this->all.min_shards ||
            reply.body != expected)
        {
            this->all.seen.report("MIXED: search " + record.id + " has " +
                                  std::to_string(services.size()) +
                                  " parts, missing " + std::to_string(missing));
        }
    }

    caller_context& all;
    const std::string kind;
    const std::string zone;
    boost::asio::steady_timer timer;
    std::vector<std::string> addresses;
    std::string address;
    steady_clock::time_point resolve_at{};
    std::shared_ptr<adapters::http::connection> link;
    bool is_on = false;
};

} // namespace hawthornrelay::tests::soak
