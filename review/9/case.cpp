// FAILBACK: all relays are killed at the same moment while the replicas of a
// service are cold, and are started again. Counts the requests that one replica
// gets in one second from before and after.
#include "fleet.hpp"

using namespace review;

namespace
{

constexpr double cold_per_second = 10; // warmupPerS
constexpr double overshoot = 1.5;      // warmupOvershoot
constexpr double slack = 5;            // warmupSlack
constexpr double bound = cold_per_second * overshoot + slack;
constexpr milliseconds cold_time{3000};
constexpr milliseconds down_time{300};

} // namespace

int main(int count, char** values)
{
    const case_arguments arguments(count, values);
    record log(arguments.record_file);
    fleet all(arguments,
              log,
              8,
              configuration(1,
                            {route_to("log", "/log/", "taller", false)},
                            {service_named("taller", cold_per_second)}));
    std::vector<replica*> first;
    for (std::size_t i = 0; i < 2; ++i)
    {
        first.push_back(&all.add_replica({.id = "i-" + std::to_string(i + 1),
                                          .service = "taller",
                                          .zone = zones[i]}));
        first.back()->start_heartbeats();
    }
    all.start();
    all.start_callers("c", "/log/x", milliseconds(40));
    std::this_thread::sleep_for(milliseconds(6000));

    // The replicas end. The new ones are cold and register themselves.
    for (auto* item : first)
    {
        item->crash();
        log.line("replica %s ends", item->id().c_str());
    }
    std::this_thread::sleep_for(milliseconds(1000));
    const auto restarted_at = clock_type::now();
    std::vector<replica*> cold;
    for (std::size_t i = 0; i < 2; ++i)
    {
        cold.push_back(&all.add_replica({.id = "new-" + std::to_string(i + 1),
                                         .service = "taller",
                                         .zone = zones[i],
                                         .cold = cold_time,
                                         .most_while_cold = bound}));
        cold.back()->start_heartbeats();
        log.line("replica %s has started and is cold for 3 s",
                 cold.back()->id().c_str());
    }
    if (arguments.has_trouble)
    {
        const auto has_work = [&]
        {
            return std::all_of(cold.begin(),
                               cold.end(),
                               [](replica* item)
                               { return item->arrivals().size() >= 8; });
        };
        wait_until(has_work, milliseconds(2000));
        for (auto& item : all.relays)
        {
            item->kill();
        }
        std::this_thread::sleep_for(down_time);
        for (auto& item : all.relays)
        {
            item->start(false);
        }
    }
    std::this_thread::sleep_until(restarted_at + milliseconds(4000));
    all.stop_callers();
    std::size_t most = 0;
    std::size_t lost = 0;
    for (auto* item : cold)
    {
        most = std::max(
            most,
            all.most_in_one_second(*item, restarted_at, item->is_cold_until()));
        lost += all.count_lost(*item);
    }
    log.line("at most %zu requests in one second at a cold replica, the bound is "
             "%.1f; %zu bookings that had begun there are lost",
             most,
             bound,
             lost);
    std::printf("%zu of %.1f, bookings lost: %zu\n", most, bound, lost);
    all.end(static_cast<double>(most) > bound ? rule_broken : rule_held);
}
