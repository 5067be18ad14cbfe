// DENIED: the operator raises maxBodyBytes. Callers with kept connections send
// bodies within the new limit some seconds later.
#include "fleet.hpp"

using namespace review;

namespace
{

constexpr int caller_count = 24;
constexpr int old_limit = 16384;
constexpr int new_limit = 262144;
constexpr std::size_t body_size = 60000;

/// How long after the acknowledgement the bodies are sent; configApplyMs is
/// 3,000, and idleTimeoutMs 15,000.
constexpr milliseconds idle_time{6000};

/// A caller that keeps its connection.
struct kept_caller
{
    connection to;
    int first_status = 0;
    int second_status = 0;
};

int ask(record& log, connection& to, const std::string& id, const std::string& body)
{
    const bool is_sent =
        to.write(request_text("POST", "/log/x", id, milliseconds(1500), {}, body));
    const auto answer =
        is_sent ? read_message(to, milliseconds(1500)) : std::nullopt;
    const int status = answer ? answer->status() : 0;
    log.line("caller: request %s with a body of %zu bytes, answer %d",
             id.c_str(),
             body.size(),
             status);
    return status;
}

} // namespace

int main(int count, char** values)
{
    const case_arguments arguments(count, values);
    record log(arguments.record_file);
    const auto with_limit = [](int version, int body_limit)
    {
        return configuration(version,
                             {route_to("log", "/log/", "taller", false)},
                             {service_named("taller", 0)},
                             body_limit);
    };
    fleet all(arguments,
              log,
              4,
              with_limit(1, arguments.has_trouble ? old_limit : new_limit));
    for (std::size_t i = 0; i < 2; ++i)
    {
        all.add_replica({.id = "i-" + std::to_string(i + 1),
                         .service = "taller",
                         .zone = zones[i]})
            .start_heartbeats();
    }
    all.start();
    std::this_thread::sleep_for(milliseconds(5000));

    std::vector<kept_caller> callers(caller_count);
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        const auto& to = *all.relays[i % all.relays.size()];
        callers[i].to = connection::open(to.ip, 8104);
        callers[i].first_status = ask(
            log, callers[i].to, "first-" + std::to_string(i), std::string(100, 'a'));
    }
    all.registry.put("op/config", with_limit(2, new_limit));
    log.line("store acknowledges version 2; maxBodyBytes is %d", new_limit);
    std::this_thread::sleep_for(idle_time);
    int denied = 0;
    int served = 0;
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        auto& item = callers[i];
        item.second_status = ask(log,
                                 item.to,
                                 "second-" + std::to_string(i),
                                 std::string(body_size, 'b'));
        const bool is_refused = item.second_status >= 300 &&
                                item.second_status < 500 &&
                                item.second_status != 408 &&
                                item.second_status != 421 &&
                                item.second_status != 429;
        denied += is_refused ? 1 : 0;
        served += item.second_status == 200 ? 1 : 0;
    }
    // On new connections the same bodies are accepted.
    int served_on_new = 0;
    for (int i = 0; i < 4; ++i)
    {
        auto to = connection::open(all.relays[static_cast<std::size_t>(i)]->ip, 8104);
        served_on_new += ask(log,
                             to,
                             "new-" + std::to_string(i),
                             std::string(body_size, 'c')) == 200
                             ? 1
                             : 0;
    }
    const double bound = 5 + (2 * caller_count + 4) / 500.0;
    log.line("second requests: %d served, %d denied, the bound is %.1f; on new "
             "connections %d of 4 served",
             served,
             denied,
             bound,
             served_on_new);
    std::printf("denied: %d of %.1f, served %d, on new connections %d of 4\n",
                denied,
                bound,
                served,
                served_on_new);
    all.end(denied > bound ? rule_broken : rule_held);
}
