// A zone is evacuated and taken back; its replicas have become cold shortly
// before.
#include <deployment.hpp>

namespace
{

using namespace rig;

constexpr double warmup_per_s = 4;
constexpr double overshoot = 1.5;
constexpr double slack = 5;
constexpr milliseconds warmup{3000};
constexpr int requests_per_s = 333;

std::string configuration(std::uint64_t version)
{
    return json::serialize(
        json::object{{"version", version},
                     {"routes",
                      json::array{json::object{{"name", "lookup"},
                                               {"host", "desk.example"},
                                               {"prefix", "/lookup/"},
                                               {"type", "idempotent"},
                                               {"timeoutMs", 1500},
                                               {"targetLatencyMs", 250},
                                               {"priority", 1},
                                               {"service", "desk"},
                                               {"maxAttempts", 2}}}},
                     {"services",
                      json::array{json::object{{"name", "desk"},
                                               {"healthCheckPath", "/healthz"},
                                               {"maxConnections", 110},
                                               {"warmupS", 3.0},
                                               {"warmupPerS", warmup_per_s}}}},
                     {"limits",
                      json::object{{"maxHeaderBytes", 16384},
                                   {"maxBodyBytes", 262144},
                                   {"headerTimeoutMs", 5000},
                                   {"idleTimeoutMs", 20000}}}});
}

int run(recorder& record)
{
    deployment site(record);
    site.platform.put("op/config", configuration(7));
    std::map<std::string, clock::time_point> sent;
    std::map<std::string, unsigned> answers;
    // Two replicas in each zone, warm for long, each with its own phase.
    for (int i = 0; i < 8; ++i)
    {
        auto& added = site.add_replica("desk", site.zones[i % 4]);
        added.on_arrival =
            [&record](const replica& at, const replica::arrival& item)
        {
            record.line("replica {} ({}{}) runs {}",
                        at.id,
                        at.zone,
                        item.is_cold ? ", cold" : "",
                        item.request);
        };
        added.start(milliseconds(150 * i));
    }
    if (!site.start_nodes())
    {
        return not_run;
    }
    // The nodes start 10 s before the traffic, as on the smallest sites.
    site.run(milliseconds(10'000));
    if (site.has_ended_node() || site.platform.count("nodes/") != 8)
    {
        record.say("the nodes are not ready");
        return not_run;
    }
    bool is_sending = true;
    std::uint64_t number = 0;
    std::function<void()> send = [&]
    {
        if (!is_sending)
        {
            return;
        }
        const auto id = fmt::format("{:016x}", ++number);
        const auto& to = *site.nodes[number % site.nodes.size()];
        sent[id] = clock::now();
        site.callers.send(
            to.callers(),
            "GET",
            "desk.example",
            "/lookup/" + id,
            id,
            milliseconds(1500),
            [&, id, name = to.name](const auto& answer)
            {
                const auto status =
                    answer ? std::to_string(answer->status) : "none";
                ++answers[status];
                record.line("answer {} of {} to {}", status, name, id);
            });
        after(site.io, milliseconds(1000 / requests_per_s), send);
    };
    record.say("traffic starts, {} requests a second", requests_per_s);
    send();
    site.run(milliseconds(6'000));
    if (has_trouble())
    {
        site.platform.put("op/evacuate/zone-a", "{}");
        record.say("zone-a is evacuated");
    }
    site.run(milliseconds(8'000));
    if (has_trouble())
    {
        for (const auto& item : site.replicas)
        {
            if (item->zone == "zone-a")
            {
                item->become_cold(warmup);
            }
        }
        record.say("the replicas of zone-a are cold");
        site.run(milliseconds(100));
        site.platform.remove("op/evacuate/zone-a");
        record.say("zone-a is taken back");
    }
    site.run(milliseconds(6'000));
    is_sending = false;
    site.run(milliseconds(1'700));
    for (const auto& [status, count] : answers)
    {
        record.say("answers {}: {}", status, count);
    }
    if (site.has_ended_node() || answers["200"] < number / 2)
    {
        record.say("too few requests were served");
        return not_run;
    }
    // FAILBACK: requests sent and arrived inside one second at a cold replica.
    const double bound = warmup_per_s * overshoot + slack;
    std::size_t most = 0;
    for (const auto& item : site.replicas)
    {
        std::size_t own_most = 0;
        const auto& all = item->arrivals;
        for (std::size_t first = 0; first < all.size(); ++first)
        {
            std::size_t count = 0;
            const auto begins = sent[all[first].request];
            for (const auto& other : all)
            {
                const bool is_inside =
                    other.is_cold && sent[other.request] >= begins &&
                    other.at <= begins + std::chrono::seconds(1);
                count += is_inside ? 1 : 0;
            }
            own_most = std::max(own_most, all[first].is_cold ? count : 0);
        }
        record.say("replica {} ({}): at most {} requests in one second while "
                   "cold, of {} in all",
                   item->id,
                   item->zone,
                   own_most,
                   all.size());
        most = std::max(most, own_most);
    }
    const bool is_broken = static_cast<double>(most) > bound;
    record.say("FAILBACK: {} in one second, bound {}: {}",
               most,
               bound,
               is_broken ? "broken" : "held");
    return is_broken ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    rig::end_with_signals();
    rig::recorder record(argc > 1 ? argv[1] : "record.txt");
    return run(record);
}
