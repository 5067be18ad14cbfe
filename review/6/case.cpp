// FAILBACK: all replicas of two services are down for a second and come back
// cold. Counts the requests that one of them gets in one second from all relays.
#include "fleet.hpp"

using namespace review;

namespace
{

constexpr double overshoot = 1.5; // warmupOvershoot
constexpr double slack = 5;       // warmupSlack
constexpr milliseconds cold_time{3000};

struct subject
{
    std::string service;
    double cold_per_second; // warmupPerS
    std::vector<replica*> restarted;

    [[nodiscard]] double bound() const
    {
        return cold_per_second * overshoot + slack;
    }
};

} // namespace

int main(int count, char** values)
{
    const case_arguments arguments(count, values);
    record log(arguments.record_file);
    std::vector<subject> subjects{{"taller", 1}, {"portal", 6}};
    json::array routes;
    json::array services;
    for (const auto& item : subjects)
    {
        routes.push_back(
            route_to(item.service, "/" + item.service + "/", item.service, false));
        services.push_back(service_named(item.service, item.cold_per_second));
    }
    fleet all(arguments, log, 8, configuration(1, routes, services));
    std::vector<replica*> first;
    for (const auto& item : subjects)
    {
        for (int i = 0; i < 2; ++i)
        {
            auto& added =
                all.add_replica({.id = item.service + "-" + std::to_string(i + 1),
                                 .service = item.service,
                                 .zone = zones[static_cast<std::size_t>(i)]});
            added.start_heartbeats();
            first.push_back(&added);
        }
    }
    all.start();
    for (const auto& item : subjects)
    {
        // Each relay gets six requests a second for each service.
        all.start_callers(item.service + "-", "/" + item.service + "/x", milliseconds(160));
    }
    std::this_thread::sleep_for(milliseconds(6000));
    const auto restarted_at = clock_type::now();
    if (arguments.has_trouble)
    {
        // The old processes end. The new ones are cold and register themselves.
        for (auto* item : first)
        {
            item->crash();
            log.line("replica %s ends", item->id().c_str());
        }
        std::this_thread::sleep_for(milliseconds(1000));
        for (auto& item : subjects)
        {
            for (int i = 0; i < 2; ++i)
            {
                auto& added = all.add_replica(
                    {.id = item.service + "-new-" + std::to_string(i + 1),
                     .service = item.service,
                     .zone = zones[static_cast<std::size_t>(i)],
                     .cold = cold_time,
                     .most_while_cold = item.bound()});
                item.restarted.push_back(&added);
                added.start_heartbeats();
                log.line("replica %s has started and is cold for 3 s",
                         added.id().c_str());
            }
        }
    }
    std::this_thread::sleep_for(milliseconds(4000));
    all.stop_callers();
    bool is_broken = false;
    for (const auto& item : subjects)
    {
        const double bound = item.bound();
        std::size_t most = 0;
        std::size_t lost = 0;
        for (auto* target : item.restarted)
        {
            most = std::max(most,
                            all.most_in_one_second(
                                *target, restarted_at, target->is_cold_until()));
            lost += all.count_lost(*target);
        }
        is_broken = is_broken || static_cast<double>(most) > bound;
        log.line("%s, warmupPerS %.0f: at most %zu requests in one second at a "
                 "cold replica, the bound is %.1f; %zu bookings that had begun there "
                 "are lost",
                 item.service.c_str(),
                 item.cold_per_second,
                 most,
                 bound,
                 lost);
        std::printf("%s: %zu of %.1f, bookings lost: %zu\n",
                    item.service.c_str(),
                    most,
                    bound,
                    lost);
    }
    all.end(is_broken ? rule_broken : rule_held);
}
