// The open connections to the store fall silent while the configuration, which
// is large, changes in quick succession.
#include <deployment.hpp>

namespace
{

using namespace rig;

constexpr milliseconds config_apply{3000};
constexpr milliseconds stability_window{4000};

/// Entries in one transaction of another writer, and their size. A transaction
/// may have 32 entries, and a value `maxValueBytes` (1,048,576).
constexpr int foreign_entries = 8;
constexpr std::size_t foreign_bytes = 1'000'000;

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
    site.platform.put("op/config", configuration(7, "desk-one"));
    site.platform.on_watch = [&record](std::size_t events, std::size_t bytes)
    {
        if (bytes > foreign_bytes)
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
    if (has_trouble())
    {
        std::mt19937 random(47);
        json::array puts;
        for (int i = 0; i < foreign_entries; ++i)
        {
            std::string bytes(foreign_bytes, '\0');
            for (auto& item : bytes)
            {
                item = static_cast<char>(random());
            }
            puts.push_back(json::object{{"key", fmt::format("servers/x-{}", i)},
                                        {"value", absl::Base64Escape(bytes)},
                                        {"leaseId", 0}});
        }
        http::request message;
        message.method = "POST";
        message.target = "/v1/kv-txn";
        message.body = json::serialize(json::object{{"expected", json::array{}},
                                                    {"puts", std::move(puts)},
                                                    {"remove", json::array{}}});
        const auto writer =
            http::connection::create(site.io, site.platform.address(), nullptr);
        unsigned status = 0;
        writer->send(std::move(message),
                     std::chrono::seconds(2),
                     [&status](const auto& answer)
                     {
                         status = answer ? answer->status : 0;
                     });
        site.run(milliseconds(2'000));
        writer->close();
        record.say("another writer puts {} entries of {} bytes: {}",
                   foreign_entries,
                   foreign_bytes,
                   status);
        if (status != 200)
        {
            return not_run;
        }
    }
    site.platform.put("op/config", configuration(10, "desk-two"));
    record.say("version 10 is acknowledged; it moves /lookup/ to desk-two");
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
    rig::end_with_signals();
    rig::recorder record(argc > 1 ? argv[1] : "record.txt");
    return run(record);
}
