// A store, a configuration and relays in four zones that are ready to serve.
#pragma once

#include "deployment.hpp"

namespace review
{

inline const std::vector<std::string> zones{
    "araucania", "los-rios", "chiloe", "aysen"};

class fleet
{
  public:
    fleet(const case_arguments& arguments,
          record& log,
          int relay_count,
          const std::string& first_configuration,
          bool has_proxies = false)
        : log(log), registry(addresses.ip(200))
    {
        registry.put("op/config", first_configuration);
        std::vector<std::string> seeds;
        for (int i = 0; i < std::min(3, relay_count); ++i)
        {
            seeds.push_back(addresses.ip(1 + i));
        }
        for (int i = 0; i < relay_count; ++i)
        {
            auto store_address =
                addresses.ip(200) + ":" + std::to_string(registry.port());
            if (has_proxies)
            {
                const auto ip = addresses.ip(201 + i);
                proxies.push_back(std::make_unique<proxy>(
                    ip, addresses.ip(200), registry.port()));
                store_address = ip + ":" + std::to_string(proxies.back()->port());
            }
            relays.push_back(std::make_unique<relay>(
                log,
                "frontend-" + std::to_string(i + 1),
                zones[static_cast<std::size_t>(i) % zones.size()],
                addresses.ip(1 + i),
                arguments.folder,
                store_address,
                seeds));
        }
    }

    replica& add_replica(replica::parameters given)
    {
        if (given.born == 0)
        {
            given.born = unix_ms();
        }
        replicas.push_back(std::make_unique<replica>(
            log,
            registry,
            addresses.ip(101 + static_cast<int>(replicas.size())),
            std::move(given)));
        return *replicas.back();
    }

    void start()
    {
        for (auto& item : relays)
        {
            item->start(true);
        }
        if (!wait_until([this] { return are_ready(); }, milliseconds(10000)))
        {
            end(could_not_run);
        }
    }

    [[nodiscard]] bool are_ready() const
    {
        return std::all_of(relays.begin(),
                           relays.end(),
                           [](const auto& item) { return item->is_ready(); });
    }

    [[noreturn]] void end(exit_code code) { finish(relays, code); }

    /// Callers that send to one relay each, one request every `interval`.
    void start_callers(const std::string& name,
                       const std::string& target,
                       milliseconds interval,
                       milliseconds deadline = milliseconds(1500))
    {
        for (std::size_t i = 0; i < relays.size(); ++i)
        {
            callers.emplace_back(
                [this, i, name, target, interval, deadline]
                {
                    const auto begin = clock_type::now();
                    for (int number = 0; !is_over; ++number)
                    {
                        std::this_thread::sleep_until(begin + interval * number);
                        const auto id = name + std::to_string(i + 1) + "-" +
                                        std::to_string(number);
                        std::thread(
                            [this, i, target, id, deadline]
                            {
                                const auto made = send_request(
                                    log, relays[i]->ip, target, id, deadline);
                                const std::lock_guard lock(mutex);
                                calls[made.id] = made;
                            })
                            .detach();
                    }
                });
        }
    }

    void stop_callers()
    {
        is_over = true;
        for (auto& item : callers)
        {
            item.join();
        }
        std::this_thread::sleep_for(milliseconds(1700));
    }

    /// When a caller sent a request; nothing if no caller did.
    [[nodiscard]] std::optional<clock_type::time_point>
    sent_at(const std::string& id)
    {
        const std::lock_guard lock(mutex);
        const auto found = calls.find(id);
        return found == calls.end() ? std::nullopt
                                    : std::optional(found->second.sent_at);
    }

    /// The most requests that were sent and arrived inside one second at a
    /// replica, within a time.
    std::size_t most_in_one_second(replica& target,
                                   clock_type::time_point from,
                                   clock_type::time_point until)
    {
        struct seen
        {
            clock_type::time_point sent;
            clock_type::time_point arrived;
        };
        std::vector<seen> all;
        for (const auto& item : target.arrivals())
        {
            const auto sent = sent_at(item.id);
            if (item.has_run && sent && *sent >= from && item.at < until)
            {
                all.push_back({*sent, item.at});
            }
        }
        std::size_t most = 0;
        for (const auto& first : all)
        {
            most = std::max<std::size_t>(
                most,
                static_cast<std::size_t>(std::count_if(
                    all.begin(),
                    all.end(),
                    [&](const seen& other)
                    {
                        return other.sent >= first.sent &&
                               other.arrived < first.sent + std::chrono::seconds(1);
                    })));
        }
        return most;
    }

    /// Requests that a replica began to run and whose callers got no answer of
    /// it.
    std::size_t count_lost(replica& target)
    {
        std::size_t lost = 0;
        for (const auto& item : target.arrivals())
        {
            const std::lock_guard lock(mutex);
            const auto found = calls.find(item.id);
            lost += item.has_run && found != calls.end() &&
                            found->second.status != 200
                        ? 1
                        : 0;
        }
        return lost;
    }

    record& log;
    address_block addresses;
    store registry;
    std::vector<std::unique_ptr<replica>> replicas;
    std::vector<std::unique_ptr<proxy>> proxies; ///< before the store
    std::vector<std::unique_ptr<relay>> relays;
    std::mutex mutex;
    std::map<std::string, call> calls;

  private:
    std::atomic<bool> is_over{false};
    std::vector<std::thread> callers;
};

} // namespace review
