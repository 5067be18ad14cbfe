/// @file
/// @brief A stand-in for the platform's store.
#pragma once

#include <condition_variable>
#include <cstdlib>

#include <boost/json.hpp>

#include "net.hpp"

namespace review
{

inline std::string to_base64(const std::string& text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
                                      "opqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U | (i + j < text.size()
                                       ? static_cast<unsigned char>(text[i + j])
                                       : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            result += i + j <= text.size() ? digits[group >> (18 - 6 * j) & 63U]
                                           : '=';
        }
    }
    return result;
}

inline std::string from_base64(const std::string& text)
{
    std::string result;
    unsigned group = 0;
    unsigned bits = 0;
    for (const char c : text)
    {
        const unsigned digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                               : c >= 'a' && c <= 'z' ? c - 'a' + 26
                               : c >= '0' && c <= '9' ? c - '0' + 52
                               : c == '+'             ? 62
                               : c == '/'             ? 63
                                                      : 64;
        if (digit > 63)
        {
            break;
        }
        group = group << 6U | digit;
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            result += static_cast<char>(group >> bits & 255U);
        }
    }
    return result;
}

/// Keys, revisions, watches and leases, as PROTOCOL.md describes them.
class store
{
  public:
    explicit store(const std::string& ip)
        : reaper(
              [this]
              {
                  this->expire_leases();
              }),
          server(ip,
                 0,
                 [this](stream& connection)
                 {
                     this->serve(connection);
                 })
    {
    }

    ~store()
    {
        this->stop();
    }

    void stop()
    {
        this->is_stopping = true;
        this->changed.notify_all();
        if (this->reaper.joinable())
        {
            this->reaper.join();
        }
    }

    [[nodiscard]] std::string address() const
    {
        return this->server.address();
    }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, value, 0);
        this->changed.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
        this->changed.notify_all();
    }

    /// Drops the history and cuts the watches that wait.
    void compact()
    {
        const std::lock_guard lock(this->mutex);
        this->history.clear();
        ++this->revision;
        this->history_begins = this->revision;
        ++this->watch_cuts;
        this->changed.notify_all();
    }

  private:
    using object = boost::json::object;

    static constexpr std::size_t max_page_items = 500;
    static constexpr std::size_t max_page_bytes = std::size_t{1} << 20U;

    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::size_t size = 0;
        object event;
    };

    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct lease_state
    {
        clock::time_point ends;
        milliseconds duration;
    };

    static object describe(const std::string& key, const item& from)
    {
        return {{"key", key},
                {"value", to_base64(from.value)},
                {"revision", from.revision},
                {"createdRevision", from.created},
                {"leaseId", from.lease}};
    }

    void
    write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& entry = this->items[key];
        entry.value = value;
        entry.revision = ++this->revision;
        entry.created = entry.created == 0 ? this->revision : entry.created;
        entry.lease = lease;
        this->history.push_back(
            {this->revision, key, value.size(), describe(key, entry)});
    }

    void erase(const std::string& key)
    {
        if (this->items.erase(key) > 0)
        {
            ++this->revision;
            this->history.push_back({this->revision,
                                     key,
                                     0,
                                     object{{"key", key},
                                            {"revision", this->revision},
                                            {"compacted", true}}});
        }
    }

    void end_lease(std::uint64_t id)
    {
        std::vector<std::string> bound;
        for (const auto& [key, entry] : this->items)
        {
            if (entry.lease == id)
            {
                bound.push_back(key);
            }
        }
        for (const auto& key : bound)
        {
            this->erase(key);
        }
        this->leases.erase(id);
    }

    void expire_leases()
    {
        while (!this->is_stopping)
        {
            std::this_thread::sleep_for(milliseconds(50));
            const std::lock_guard lock(this->mutex);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, state] : this->leases)
            {
                if (state.ends <= clock::now())
                {
                    ended.push_back(id);
                }
            }
            for (const auto id : ended)
            {
                this->end_lease(id);
            }
            if (!ended.empty())
            {
                this->changed.notify_all();
            }
        }
    }

    static std::string parameter(const std::string& target,
                                 const std::string& name)
    {
        auto at = target.find('?');
        while (at != std::string::npos)
        {
            const auto end = target.find('&', at + 1);
            const auto pair = target.substr(at + 1, end - at - 1);
            if (pair.substr(0, pair.find('=')) == name)
            {
                return pair.substr(name.size() + 1);
            }
            at = end;
        }
        return "";
    }

    static std::uint64_t number(const std::string& text)
    {
        return std::strtoull(text.c_str(), nullptr, 10);
    }

    void serve(stream& connection)
    {
        message request;
        while (read_message(
            connection, request, clock::now() + std::chrono::minutes(5)))
        {
            object body;
            const int status = this->handle(request, body);
            if (!connection.write(
                    make_answer(status,
                                {{"Content-Type", "application/json"}},
                                boost::json::serialize(body))))
            {
                return;
            }
        }
    }

    int handle(const message& request, object& body)
    {
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(this->mutex);
        if (path == "/v1/kv-key")
        {
            const auto found = this->items.find(parameter(target, "key"));
            if (found == this->items.end())
            {
                return 404;
            }
            body = describe(found->first, found->second);
            body["atRevision"] = this->revision;
            return 200;
        }
        if (path == "/v1/kv-range")
        {
            this->list(target, body);
            return 200;
        }
        if (path == "/v1/kv-watch")
        {
            return this->watch(lock, target, body);
        }
        if (path == "/v1/kv-txn")
        {
            return this->transact(request.body, body);
        }
        if (path == "/v1/kv-lease")
        {
            const milliseconds duration(boost::json::parse(request.body)
                                            .at("ttlMs")
                                            .to_number<std::int64_t>());
            this->leases[++this->last_lease] = {clock::now() + duration,
                                                duration};
            body = {{"leaseId", this->last_lease}, {"ttlMs", duration.count()}};
            return 200;
        }
        const auto id = number(path.substr(path.rfind('/') + 1));
        const auto found = this->leases.find(id);
        if (found == this->leases.end())
        {
            return 404;
        }
        if (path.rfind("/v1/kv-lease-end/", 0) == 0)
        {
            this->end_lease(id);
            this->changed.notify_all();
            return 200;
        }
        found->second.ends = clock::now() + found->second.duration;
        body = {{"ttlMs", found->second.duration.count()}};
        return 200;
    }

    void list(const std::string& target, object& body)
    {
        const auto prefix = parameter(target, "prefix");
        const auto after = parameter(target, "after");
        boost::json::array listed;
        std::size_t bytes = 0;
        bool has_more = false;
        for (const auto& [key, entry] : this->items)
        {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
            {
                continue;
            }
            const bool is_full = listed.size() == max_page_items ||
                                 (!listed.empty() &&
                                  bytes + entry.value.size() > max_page_bytes);
            if (is_full)
            {
                has_more = true;
                break;
            }
            bytes += entry.value.size();
            listed.emplace_back(describe(key, entry));
        }
        body = {{"items", std::move(listed)},
                {"hasMore", has_more},
                {"atRevision", this->revision}};
    }

    int watch(std::unique_lock<std::mutex>& lock,
              const std::string& target,
              object& body)
    {
        const auto prefix = parameter(target, "prefix");
        const auto after = number(parameter(target, "after"));
        const auto until =
            clock::now() + milliseconds(number(parameter(target, "waitMs")));
        boost::json::array events;
        const auto cuts = this->watch_cuts;
        auto at_revision = after;
        const auto collect = [&]
        {
            std::size_t bytes = 0;
            at_revision = this->revision;
            for (const auto& change : this->history)
            {
                if (change.revision <= after ||
                    change.key.rfind(prefix, 0) != 0)
                {
                    continue;
                }
                if (bytes > 0 && bytes + change.size > max_page_bytes)
                {
                    // Continues from the last event of this page.
                    break;
                }
                bytes += change.size + 1;
                events.emplace_back(change.event);
                at_revision = change.revision;
            }
            return !events.empty() || this->is_stopping ||
                   this->watch_cuts != cuts;
        };
        if (after < this->history_begins)
        {
            return 410;
        }
        this->changed.wait_until(lock, until, collect);
        if (events.empty() && after < this->history_begins)
        {
            return 410;
        }
        body = {{"events", std::move(events)}, {"atRevision", at_revision}};
        return 200;
    }

    int transact(const std::string& text, object& body)
    {
        const auto parsed = boost::json::parse(text);
        boost::json::array current;
        bool holds = true;
        for (const auto& row : parsed.at("expected").as_array())
        {
            const std::string key(row.at("key").as_string());
            const auto found = this->items.find(key);
            const auto revision =
                found == this->items.end() ? 0 : found->second.revision;
            holds = holds &&
                    revision == row.at("revision").to_number<std::uint64_t>();
            if (found != this->items.end())
            {
                current.emplace_back(describe(key, found->second));
            }
        }
        if (!holds)
        {
            body = {{"items", std::move(current)}};
            return 412;
        }
        for (const auto& row : parsed.at("puts").as_array())
        {
            const auto lease = row.at("leaseId").to_number<std::uint64_t>();
            if (lease != 0 && this->leases.count(lease) == 0)
            {
                return 404;
            }
        }
        for (const auto& row : parsed.at("puts").as_array())
        {
            this->write(std::string(row.at("key").as_string()),
                        from_base64(std::string(row.at("value").as_string())),
                        row.at("leaseId").to_number<std::uint64_t>());
        }
        for (const auto& key : parsed.at("remove").as_array())
        {
            this->erase(std::string(key.as_string()));
        }
        this->changed.notify_all();
        body = {{"revision", this->revision}};
        return 200;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::uint64_t history_begins = 0;
    std::uint64_t watch_cuts = 0;
    std::map<std::uint64_t, lease_state> leases;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    std::atomic<bool> is_stopping{false};
    std::thread reaper;
    listener server;
};

} // namespace review
