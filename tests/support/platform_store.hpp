/// @file
/// @brief An in-process stand-in for the users' key-value store, over HTTP.
#pragma once

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/escaping.h>
#include <boost/algorithm/hex.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <adapters/http/server.hpp>

namespace hawthornrelay::tests::support
{

/// @brief Keys, revisions, watches and leases, with faults: silence, refusals,
///        lost history, lost answers to writes, and restores from a copy.
class platform_store
{
  public:
    explicit platform_store(boost::asio::io_context& io) : io(io)
    {
        adapters::http::server_handlers handlers;
        handlers.on_request = [this](const adapters::http::request& message,
                                     const adapters::http::responder& respond)
        {
            this->handle(message, respond);
        };
        this->server = std::move(*adapters::http::server::listen(
            io, "127.0.0.1", 0, std::move(handlers), {}));
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return this->server->port();
    }

    /// Writes a key, as an operator or a replica does.
    void write(const std::string& key,
               const std::string& value,
               std::uint64_t lease = 0)
    {
        this->items[key] = {value, ++this->revision, lease};
        this->append_change(key, false);
    }

    /// Writes a key that listings and watches return as the given value.
    void write_as(const std::string& key, const boost::json::value& returned)
    {
        this->returned_as[key] = returned;
        this->write(key, "{}");
    }

    void remove(const std::string& key)
    {
        if (this->items.erase(key) > 0)
        {
            ++this->revision;
            this->append_change(key, true);
        }
    }

    /// Leaves the pending watches unanswered for good, as on connections that
    /// have fallen silent; other connections work.
    void silence_watches()
    {
        for (const auto& item : std::exchange(this->watchers, {}))
        {
            item->timer->cancel();
            this->silenced.push_back(item);
        }
    }

    /// Drops past changes: watches from before the current revision get 410.
    void compact_history()
    {
        this->history.clear();
        this->history_start = this->revision;
    }

    /// Keeps a copy of the present state for restore_copy().
    void take_copy()
    {
        this->copy = {this->items, this->leases, this->revision};
    }

    /// Goes back to the copy, revisions and leases included.
    void restore_copy()
    {
        this->items = this->copy.items;
        this->leases = this->copy.leases;
        this->revision = this->copy.revision;
        this->compact_history();
        ++this->era;
        for (const auto& item : std::exchange(this->watchers, {}))
        {
            item->timer->cancel();
            this->answer(item->respond, 0); // closes the connection
        }
    }

    [[nodiscard]] bool has(const std::string& key) const
    {
        return this->items.contains(key);
    }

    /// The value of a key, empty if there is none.
    [[nodiscard]] std::string value_of(const std::string& key) const
    {
        const auto found = this->items.find(key);
        return found == this->items.end() ? std::string() : found->second.value;
    }

    [[nodiscard]] std::vector<std::string>
    keys_with(const std::string& prefix) const
    {
        std::vector<std::string> result;
        for (const auto& [key, item] : this->items)
        {
            if (key.starts_with(prefix))
            {
                result.push_back(key);
            }
        }
        return result;
    }

    bool is_silent = false;       ///< leaves all calls unanswered
    unsigned refusal_status = 0;  ///< HTTP status for every call; 0: none
    unsigned answers_to_lose = 0; ///< number of writes done without an answer
    std::size_t page_size = 500;  ///< items in a page of a listing
    std::size_t calls = 0;
    std::size_t listings = 0; ///< range reads

  private:
    struct stored_item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    struct change
    {
        std::string key;
        std::uint64_t revision = 0;
        bool is_removed = false;
        std::string value;
        std::uint64_t lease = 0;
    };

    struct watcher
    {
        std::uint64_t after = 0;
        adapters::http::responder respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    using object = boost::json::object;

    /// Decodes `+` and `%` as in form data, as most servers do.
    static std::string decode_parameter(std::string text)
    {
        std::replace(text.begin(), text.end(), '+', ' ');
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at)
        {
            if (text[at] == '%')
            {
                result += boost::algorithm::unhex(text.substr(at + 1, 2));
                at += 2;
            }
            else
            {
                result += text[at];
            }
        }
        return result;
    }

    static std::string query_parameter(const std::string& target,
                                       const std::string& name)
    {
        const auto query =
            "&" +
            target.substr(0, target.find('#')).substr(target.find('?') + 1);
        const auto at = query.find("&" + name + "=");
        if (at == std::string::npos)
        {
            return {};
        }
        const auto begin = at + name.size() + 2;
        return decode_parameter(
            query.substr(begin, query.find('&', begin) - begin));
    }

    static std::uint64_t parse_number(const std::string& text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    void answer(const adapters::http::responder& respond,
                unsigned status,
                const object& body = {}) const
    {
        adapters::http::response reply;
        reply.status = status;
        reply.headers["Store-Era"] = std::to_string(this->era);
        reply.body = boost::json::serialize(body);
        respond(std::move(reply));
    }

    [[nodiscard]] boost::json::value to_event(const change& item) const
    {
        const auto found = this->returned_as.find(item.key);
        if (!item.is_removed && found != this->returned_as.end())
        {
            return found->second;
        }
        object result{{"key", item.key}, {"revision", item.revision}};
        if (item.is_removed)
        {
            result["compacted"] = true;
        }
        else
        {
            result["value"] = absl::Base64Escape(item.value);
            result["createdRevision"] = item.revision;
            result["leaseId"] = item.lease;
        }
        return result;
    }

    void append_change(const std::string& key, bool is_removed)
    {
        this->history.push_back({key,
                                 this->revision,
                                 is_removed,
                                 is_removed ? "" : this->items[key].value,
                                 is_removed ? 0 : this->items[key].lease});
        if (this->is_silent)
        {
            return;
        }
        const auto due = std::exchange(this->watchers, {});
        for (const auto& item : due)
        {
            item->timer->cancel();
            this->answer_watch(*item);
        }
    }

    void answer_watch(const watcher& item)
    {
        if (item.after < this->history_start || item.after > this->revision)
        {
            answer(item.respond, 410);
            return;
        }
        boost::json::array events;
        for (const auto& changed : this->history)
        {
            if (changed.revision > item.after)
            {
                events.push_back(to_event(changed));
            }
        }
        answer(item.respond,
               200,
               {{"events", std::move(events)}, {"atRevision", this->revision}});
    }

    void handle(const adapters::http::request& message,
                const adapters::http::responder& respond)
    {
        ++this->calls;
        if (this->is_silent)
        {
            return;
        }
        if (this->refusal_status != 0)
        {
            answer(respond, this->refusal_status);
            return;
        }
        const auto path = message.target.substr(0, message.target.find('?'));
        if (path == "/v1/kv-range")
        {
            try
            {
                this->list(message.target, respond);
            }
            catch (const std::exception&)
            {
                answer(respond, 400);
            }
        }
        else if (path == "/v1/kv-watch")
        {
            this->watch(message.target, respond);
        }
        else if (path == "/v1/kv-lease")
        {
            this->leases.push_back(++this->last_lease);
            answer(
                respond, 200, {{"leaseId", this->last_lease}, {"ttlMs", 4000}});
        }
        else if (path == "/v1/kv-txn")
        {
            this->transact(message.body, respond);
        }
        else
        {
            this->renew_or_end_lease(path, respond);
        }
    }

    void list(const std::string& target,
              const adapters::http::responder& respond)
    {
        ++this->listings;
        boost::json::array page;
        const auto prefix = query_parameter(target, "prefix");
        auto next = this->items.upper_bound(query_parameter(target, "after"));
        for (; next != this->items.end() && page.size() < this->page_size;
             ++next)
        {
            const auto& [key, item] = *next;
            if (key.starts_with(prefix))
            {
                page.push_back(to_event(
                    {key, item.revision, false, item.value, item.lease}));
            }
        }
        answer(respond,
               200,
               {{"items", std::move(page)},
                {"hasMore", next != this->items.end()},
                {"atRevision", this->revision}});
    }

    void watch(const std::string& target,
               const adapters::http::responder& respond)
    {
        auto item = std::make_shared<watcher>();
        item->after = parse_number(query_parameter(target, "after"));
        item->respond = respond;
        item->timer = std::make_shared<boost::asio::steady_timer>(this->io);
        if (item->after != this->revision)
        {
            this->answer_watch(*item);
            return;
        }
        this->watchers.push_back(item);
        item->timer->expires_after(std::chrono::milliseconds(
            parse_number(query_parameter(target, "waitMs"))));
        item->timer->async_wait(
            [this, item](const boost::system::error_code& error)
            {
                if (!error)
                {
                    std::erase(this->watchers, item);
                    this->answer_watch(*item);
                }
            });
    }

    void transact(const std::string& body,
                  const adapters::http::responder& respond)
    {
        const auto parsed = boost::json::parse(body);
        for (const auto& row : parsed.at("expected").as_array())
        {
            const auto found =
                this->items.find(std::string(row.at("key").as_string()));
            const auto known =
                found == this->items.end() ? 0 : found->second.revision;
            if (known != row.at("revision").to_number<std::uint64_t>())
            {
                answer(respond, 412);
                return;
            }
        }
        for (const auto& row : parsed.at("puts").as_array())
        {
            const auto lease = row.at("leaseId").to_number<std::uint64_t>();
            const bool is_known =
                std::find(this->leases.begin(), this->leases.end(), lease) !=
                this->leases.end();
            if (lease != 0 && !is_known)
            {
                answer(respond, 404);
                return;
            }
            std::string value;
            absl::Base64Unescape(std::string(row.at("value").as_string()),
                                 &value);
            const std::string key(row.at("key").as_string());
            this->write(key, value, lease);
        }
        if (this->answers_to_lose > 0)
        {
            --this->answers_to_lose;
            adapters::http::response lost_answer;
            lost_answer.status = 0; // closes the connection
            respond(std::move(lost_answer));
            return;
        }
        answer(respond, 200, {{"revision", this->revision}});
    }

    void renew_or_end_lease(const std::string& path,
                            const adapters::http::responder& respond)
    {
        const auto lease = parse_number(path.substr(path.rfind('/') + 1));
        const bool is_known =
            std::find(this->leases.begin(), this->leases.end(), lease) !=
            this->leases.end();
        if (is_known && path.starts_with("/v1/kv-lease-end/"))
        {
            this->end_lease(lease);
        }
        answer(respond, is_known ? 200 : 404, {{"ttlMs", 4000}});
    }

  public:
    /// Ends a lease and removes its keys, as on expiry.
    void end_lease(std::uint64_t lease)
    {
        std::erase(this->leases, lease);
        std::vector<std::string> bound;
        for (const auto& [key, item] : this->items)
        {
            if (item.lease == lease)
            {
                bound.push_back(key);
            }
        }
        for (const auto& key : bound)
        {
            this->remove(key);
        }
    }

    std::vector<std::uint64_t> leases;

  private:
    struct saved_state
    {
        std::map<std::string, stored_item> items;
        std::vector<std::uint64_t> leases;
        std::uint64_t revision = 0;
    };

    boost::asio::io_context& io;
    std::unique_ptr<adapters::http::server> server;
    std::map<std::string, stored_item> items;
    std::map<std::string, boost::json::value> returned_as; ///< by key
    std::vector<change> history;
    std::vector<std::shared_ptr<watcher>> watchers;
    std::vector<std::shared_ptr<watcher>> silenced;
    std::uint64_t revision = 1;
    std::uint64_t history_start = 0;
    std::uint64_t last_lease = 0;
    std::uint64_t era = 1;
    saved_state copy;
};

} // namespace hawthornrelay::tests::support
