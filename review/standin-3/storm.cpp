// The open connections to the store fall silent while the configuration, which
// is large, changes in quick succession.
#include <deployment.hpp>

namespace
{

using namespace rig;

/// Largest value of the store, as the settings state it.
constexpr std::size_t max_value_bytes = 1'048'576;

constexpr milliseconds config_apply{3000};
constexpr milliseconds stability_window{4000};

/// A change each 0.08 s for 2 s, as on the smallest sites.
constexpr milliseconds storm_gap{80};
constexpr int storm_versions = 25;

constexpr int added_routes = 4300;

/// A configuration to which many routes were added.
std::string configuration(std::uint64_t version, const std::string& service)
{
    json::array list;
    const auto add = [&list](const std::string& name, const std::string& to)
    {
        list.push_back(json::object{{"name", "r-" + name},
                                    {"host", "desk.example"},
                                    {"prefix", "/" + name + "/"},
                                    {"type", "idempotent"},
                                    {"timeoutMs", 1500},
                                    {"targetLatencyMs", 250},
                                    {"priority", 1},
                                    {"service", to},
                                    {"maxAttempts", 2}});
    };
    add("lookup", service);
    for (int i = 0; i < added_routes; ++i)
    {
        add(fmt::format("office-{:05}/desk-{:04}/orders", i, i % 97),
            i % 2 == 0 ? "desk-one" : "desk-two");
    }
    json::array services;
    for (const char* name : {"desk-one", "desk-two"})
    {
        services.push_back(json::object{{"name", name},
                                        {"healthCheckPath", "/healthz"},
                                        {"maxConnections", 110},
                                        {"warmupS", 3.0},
                                        {"warmupPerS", 0.0}});
    }
    return json::serialize(
        json::object{{"version", version},
                     {"routes", std::move(list)},
                     {"services", std::move(services)},
                     {"limits",
                      json::object{{"maxHeaderBytes", 16384},
                                   {"maxBodyBytes", 262144},
                                   {"headerTimeoutMs", 5000},
                                   {"idleTimeoutMs", 20000}}}});
}

int run(recorder& record)
{
    deployment site(record);
    const auto first = configuration(7, "desk-one");
    record.say(
        "configuration of {} bytes, {} at most", first.size(), max_value_bytes);
    if (first.size() > max_value_bytes)
    {
        return not_run;
    }
    site.platform.put("op/config", first);
    site.platform.on_watch = [&record](std::size_t events, std::size_t bytes)
    {
        if (bytes > max_value_bytes)
        {
            record.line("the store answers a watch: {} events, {} bytes",
                        events,
                        bytes);
        }
    };
    int phase = 0;
    for (const char* service : {"desk-one", "desk-two"})
    {
        for (const auto& zone : site.zones)
        {
            site.add_replica(service, zone).start(milliseconds(150 * phase++));
        }
    }
    if (!site.start_nodes())
    {
        return not_run;
    }
    site.run(milliseconds(10'000));
    if (site.has_ended_node() || site.platform.count("nodes/") != 8)
    {
        record.say("the nodes are not ready");
        return not_run;
    }
    std::uint64_t number = 0;
    std::map<std::string, unsigned> runs; ///< of judged requests, by service
    // Sends one request to each node.
    const auto ask_all = [&](bool is_judged)
    {
        for (const auto& item : site.nodes)
        {
            const auto id = fmt::format("{:016x}", ++number);
            record.line("sent {} to {}", id, item->name);
            site.callers.send(
                item->callers(),
                "GET",
                "desk.example",
                "/lookup/" + id,
                id,
                milliseconds(1500),
                [&, id, is_judged, name = item->name](const auto& answer)
                {
                    const auto text =
                        answer ? answer->body.substr(0, answer->body.find(' '))
                               : std::string("no answer");
                    record.line("answer {} of {} to {}: run by {}",
                                answer ? answer->status : 0,
                                name,
                                id,
                                text);
                    if (is_judged)
                    {
                        ++runs[answer && answer->status == 200 ? text
                                                               : "no replica"];
                    }
                });
        }
    };
    ask_all(false);
    site.run(milliseconds(1'000));
    const int count = has_trouble() ? storm_versions : 1;
    std::vector<std::string> versions;
    for (int i = 1; i <= count; ++i)
    {
        versions.push_back(
            configuration(7 + 3 * i, i == count ? "desk-two" : "desk-one"));
    }
    if (has_trouble())
    {
        record.say("{} connections to the store fall silent",
                   site.to_platform.silence());
    }
    for (std::size_t i = 0; i < versions.size(); ++i)
    {
        if (i > 0)
        {
            site.run(storm_gap);
        }
        site.platform.put("op/config", versions[i]);
        record.line("version {} of the configuration is acknowledged",
                    7 + 3 * (i + 1));
    }
    record.say("the last of {} versions is acknowledged; it moves /lookup/ to "
               "desk-two",
               count);
    // By then the machines have been in touch for long, and the version is due.
    site.run(std::max(config_apply, stability_window) + milliseconds(1000));
    for (int i = 0; i < 20; ++i)
    {
        ask_all(true);
        site.run(milliseconds(500));
    }
    site.run(milliseconds(1'600));
    if (site.has_ended_node())
    {
        return not_run;
    }
    for (const auto& [text, times] : runs)
    {
        record.say("sent over {} ms after the acknowledgement: {} run by {}",
                   config_apply.count(),
                   times,
                   text);
    }
    if (runs["desk-one"] > 0)
    {
        record.say("CONFIG: broken");
        return rule_broken;
    }
    record.say("CONFIG: held");
    return runs["desk-two"] > 0 ? rule_held : not_run;
}

} // namespace

int main(int argc, char** argv)
{
    rig::recorder record(argc > 1 ? argv[1] : "record.txt");
    return run(record);
}
