// DRAIN: the relays' connections that wait for a watch fall silent, and a replica
// leaves just after. Counts the requests that reach it from relays that are in
// touch again, and the bookings that are lost when it exits.
#include "fleet.hpp"

using namespace review;

namespace
{

constexpr milliseconds stability_window{4000}; // stabilityWindowMs
constexpr milliseconds drain_timeout{3000};    // drainTimeoutMs

/// The replica goes on serving for drainTimeoutMs and a little longer.
constexpr milliseconds serving_time{4600};

/// Leaves room for the time between the decision and the record.
constexpr milliseconds margin{150};

constexpr int relay_count = 4;

} // namespace

int main(int count, char** values)
{
    const case_arguments arguments(count, values);
    record log(arguments.record_file);
    fleet all(arguments,
              log,
              relay_count,
              configuration(1,
                            {route_to("log", "/log/", "taller", false)},
                            {service_named("taller", 0)}),
              true);
    std::vector<replica*> replicas;
    for (std::size_t i = 0; i < 2; ++i)
    {
        replicas.push_back(&all.add_replica({.id = "i-" + std::to_string(i + 1),
                                             .service = "taller",
                                             .zone = zones[i]}));
        replicas.back()->start_heartbeats();
    }
    all.start();
    all.start_callers("c", "/log/x", milliseconds(50));
    std::this_thread::sleep_for(milliseconds(7000));

    // The relays that read the store wait for an answer most of the time; one of
    // them has just asked.
    const auto last_watch = [&]
    {
        auto latest = clock_type::time_point{};
        for (const auto& item : all.proxies)
        {
            latest = std::max(latest, item->last_watch());
        }
        return latest;
    };
    const auto before = last_watch();
    if (!wait_until([&] { return last_watch() > before; }, milliseconds(10000)))
    {
        all.end(could_not_run);
    }
    const auto silent_at = clock_type::now();
    if (arguments.has_trouble)
    {
        for (const auto& item : all.proxies)
        {
            item->silence_watches();
        }
        log.line("the relays' connections that wait for a watch fall silent; "
                 "the others and new ones work");
    }
    std::this_thread::sleep_for(milliseconds(300));
    replicas[0]->leave();
    const auto left_at = clock_type::now();
    log.line("store acknowledges that the registration of %s is removed",
             replicas[0]->id().c_str());
    std::this_thread::sleep_for(serving_time);
    replicas[0]->crash();
    log.line("replica %s exits", replicas[0]->id().c_str());
    std::this_thread::sleep_for(milliseconds(2000));
    all.stop_callers();

    const auto forbidden_from = std::max(left_at + drain_timeout,
                                         silent_at + stability_window) +
                                margin;
    std::size_t late = 0;
    for (const auto& item : replicas[0]->arrivals())
    {
        const auto sent = all.sent_at(item.id);
        if (item.has_run && sent && *sent >= forbidden_from)
        {
            ++late;
            log.line("LATE: request %s, sent by the caller %.3f s after the "
                     "acknowledgement, reached the replica that is gone",
                     item.id.c_str(),
                     std::chrono::duration<double>(*sent - left_at).count());
        }
    }
    const auto lost = all.count_lost(*replicas[0]);
    log.line("requests on %s that were sent from %.3f s on (drainTimeoutMs after "
             "the acknowledgement, all relays in touch): %zu; bookings that had "
             "begun there and are lost: %zu",
             replicas[0]->id().c_str(),
             log.seconds(forbidden_from),
             late,
             lost);
    std::printf("late requests at the replica that is gone: %zu, bookings lost: "
                "%zu\n",
                late,
                lost);
    all.end(late > 0 ? rule_broken : rule_held);
}
