// The platform's store, as PROTOCOL.md describes it, and a proxy before it
// whose open connections can fall silent.
#pragma once

#include <condition_variable>
#include <deque>
#include <list>
#include <memory>
#include <set>

#include <boost/json.hpp>

#include "net.hpp"

namespace review
{

namespace json = boost::json;

inline std::string to_base64(const std::string& text)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
        {
            group = group << 8 |
                    (k < count ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            result += k <= count ? digits[group >> (18 - 6 * k) & 63] : '=';
        }
    }
    return result;
}

inline std::string from_base64(const std::string& text)
{
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text)
    {
        const int value = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (value < 0)
        {
            break;
        }
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        if ((count += 6) >= 8)
        {
            count -= 8;
            result += static_cast<char>(bits >> count & 0xff);
        }
    }
    return result;
}

class store
{
  public:
    explicit store(const std::string& ip)
        : server(ip, 0, [this](connection accepted) { serve(std::move(accepted)); })
    {
        std::thread([this] { expire_leases(); }).detach();
    }

    [[nodiscard]] int port() const { return server.port(); }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex);
        write(key, value, 0);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(mutex);
        erase(key);
    }

    [[nodiscard]] bool has(const std::string& key)
    {
        const std::lock_guard lock(mutex);
        return items.contains(key);
    }

  private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct lease_state
    {
        milliseconds time_to_live;
        clock_type::time_point ends;
    };

    struct event
    {
        std::string key;
        std::optional<item> written;
        std::uint64_t revision;
    };

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& entry = items[key];
        ++revision;
        entry = {value, revision, entry.created == 0 ? revision : entry.created, lease};
        history.push_back({key, entry, revision});
        changed.notify_all();
    }

    void erase(const std::string& key)
    {
        if (items.erase(key) > 0)
        {
            history.push_back({key, std::nullopt, ++revision});
            changed.notify_all();
        }
    }

    void end_lease(std::uint64_t id)
    {
        leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, entry] : items)
        {
            if (entry.lease == id)
            {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys)
        {
            erase(key);
        }
    }

    void expire_leases()
    {
        while (true)
        {
            std::this_thread::sleep_for(milliseconds(50));
            const std::lock_guard lock(mutex);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, state] : leases)
            {
                if (state.ends <= clock_type::now())
                {
                    ended.push_back(id);
                }
            }
            for (const auto id : ended)
            {
                end_lease(id);
            }
        }
    }

    static json::object to_json(const std::string& key, const item& entry)
    {
        return {{"key", key},
                {"value", to_base64(entry.value)},
                {"revision", entry.revision},
                {"createdRevision", entry.created},
                {"leaseId", entry.lease}};
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos)
        {
            return {};
        }
        const auto begin = at + name.size() + 2;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    void serve(connection from)
    {
        while (const auto request = read_message(from, std::chrono::hours(1)))
        {
            std::this_thread::sleep_for(milliseconds(4));
            int status = 200;
            const auto body = answer(*request, status);
            if (!from.write(write_answer(status,
                                         {{"Content-Type", "application/json"}},
                                         json::serialize(body))))
            {
                return;
            }
        }
    }

    json::object answer(const message& request, int& status)
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(mutex);
        if (path == "/v1/kv-range")
        {
            return range(parameter(target, "prefix"), parameter(target, "after"));
        }
        if (path == "/v1/kv-watch")
        {
            return watch(lock,
                         std::stoull(parameter(target, "after")),
                         milliseconds(std::stol(parameter(target, "waitMs"))));
        }
        if (path == "/v1/kv-lease")
        {
            const milliseconds time(
                json::parse(request.body).at("ttlMs").to_number<long>());
            leases[++last_lease] = {time, clock_type::now() + time};
            return {{"leaseId", last_lease}, {"ttlMs", time.count()}};
        }
        if (path == "/v1/kv-txn")
        {
            return transact(json::parse(request.body).as_object(), status);
        }
        const auto id = std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
        const auto found = leases.find(id);
        if (found == leases.end())
        {
            status = 404;
            return {};
        }
        const auto time = found->second.time_to_live;
        if (path.starts_with("/v1/kv-lease-end/"))
        {
            end_lease(id);
        }
        else
        {
            found->second.ends = clock_type::now() + time;
        }
        return {{"ttlMs", time.count()}};
    }

    json::object range(const std::string& prefix, const std::string& after)
    {
        static constexpr std::size_t page_size = 500;
        json::array list;
        bool has_more = false;
        for (auto next = items.upper_bound(after); next != items.end(); ++next)
        {
            if (!next->first.starts_with(prefix))
            {
                continue;
            }
            if (list.size() == page_size)
            {
                has_more = true;
                break;
            }
            list.push_back(to_json(next->first, next->second));
        }
        return {{"items", list}, {"hasMore", has_more}, {"atRevision", revision}};
    }

    json::object watch(std::unique_lock<std::mutex>& lock,
                       std::uint64_t after,
                       milliseconds wait)
    {
        changed.wait_for(lock, wait, [&] { return revision > after; });
        json::array events;
        for (const auto& change : history)
        {
            if (change.revision <= after)
            {
                continue;
            }
            events.push_back(change.written
                                 ? to_json(change.key, *change.written)
                                 : json::object{{"key", change.key},
                                                {"revision", change.revision},
                                                {"compacted", true}});
        }
        return {{"events", events}, {"atRevision", revision}};
    }

    json::object transact(const json::object& body, int& status)
    {
        for (const auto& row : body.at("expected").as_array())
        {
            const auto found = items.find(std::string(row.at("key").as_string()));
            const auto known = found == items.end() ? 0 : found->second.revision;
            if (known != row.at("revision").to_number<std::uint64_t>())
            {
                status = 412;
                return {{"items", json::array()}};
            }
        }
        for (const auto& row : body.at("puts").as_array())
        {
            const auto lease = row.at("leaseId").to_number<std::uint64_t>();
            if (lease != 0 && !leases.contains(lease))
            {
                status = 404;
                return {};
            }
        }
        for (const auto& row : body.at("puts").as_array())
        {
            write(std::string(row.at("key").as_string()),
                  from_base64(std::string(row.at("value").as_string())),
                  row.at("leaseId").to_number<std::uint64_t>());
        }
        for (const auto& key : body.at("remove").as_array())
        {
            erase(std::string(key.as_string()));
        }
        return {{"revision", revision}};
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::vector<event> history;
    std::map<std::uint64_t, lease_state> leases;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    listener server;
};

/// Forwards connections. Those that wait for the answer to a watch can be made
/// silent: their bytes are held up for good and neither side is told, while all
/// others and new ones work.
class proxy
{
  public:
    proxy(const std::string& ip, std::string to_ip, int to_port)
        : to_ip(std::move(to_ip)), to_port(to_port),
          server(ip, 0, [this](connection accepted) { forward(std::move(accepted)); })
    {
    }

    [[nodiscard]] int port() const { return server.port(); }

    void silence_watches() { silenced_before = next_number.load(); }

    /// The time at which the latest watch passed.
    [[nodiscard]] clock_type::time_point last_watch() const
    {
        return clock_type::time_point(clock_type::duration(watch_seen.load()));
    }

  private:
    void forward(connection client)
    {
        const auto number = next_number++;
        auto server_side = connection::open(to_ip, to_port);
        if (!server_side.is_open())
        {
            return;
        }
        bool is_watching = false;
        bool is_silent = false;
        char bytes[16384];
        while (true)
        {
            is_silent = is_silent || (is_watching && number < silenced_before);
            if (is_silent)
            {
                // Held open until the client closes its end.
                std::this_thread::sleep_for(milliseconds(20));
                pollfd closed{client.get(), POLLRDHUP, 0};
                ::poll(&closed, 1, 0);
                if (closed.revents != 0)
                {
                    return;
                }
                continue;
            }
            pollfd ends[2] = {{client.get(), POLLIN, 0},
                              {server_side.get(), POLLIN, 0}};
            ::poll(ends, 2, 20);
            for (int i = 0; i < 2; ++i)
            {
                if (ends[i].revents == 0)
                {
                    continue;
                }
                const auto count = ::recv(ends[i].fd, bytes, sizeof(bytes), 0);
                if (count <= 0)
                {
                    return;
                }
                const std::string_view text(bytes, static_cast<std::size_t>(count));
                if (i == 0)
                {
                    is_watching = text.starts_with("GET /v1/kv-watch") &&
                                  text.find("waitMs=1 ") == std::string_view::npos;
                    if (is_watching)
                    {
                        watch_seen = clock_type::now().time_since_epoch().count();
                    }
                }
                const auto& to = i == 0 ? server_side : client;
                if (!to.write(text))
                {
                    return;
                }
            }
        }
    }

    std::string to_ip;
    int to_port;
    std::atomic<std::uint64_t> next_number{0};
    std::atomic<std::uint64_t> silenced_before{0};
    std::atomic<clock_type::rep> watch_seen{0};
    listener server;
};

} // namespace review
