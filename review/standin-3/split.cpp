// The weights of a traffic split change, and their scale with them.
#include <deployment.hpp>

namespace
{

using namespace rig;

constexpr milliseconds config_apply{3000};
/// The rule: a share may be this far off its weight's, over 200 requests or
/// more.
constexpr double allowed_difference = 0.2;
constexpr unsigned min_requests = 200;
constexpr int requests_per_s = 100;

struct weights
{
    double one = 0;
    double two = 0;

    [[nodiscard]] double share_of_two() const
    {
        return this->two / (this->one + this->two);
    }
};

std::string configuration(std::uint64_t version, const weights& split)
{
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
                     {"routes",
                      json::array{json::object{
                          {"name", "lookup"},
                          {"host", "desk.example"},
                          {"prefix", "/lookup/"},
                          {"type", "idempotent"},
                          {"timeoutMs", 1500},
                          {"targetLatencyMs", 250},
                          {"priority", 1},
                          {"trafficSplit",
                           json::array{json::object{{"service", "desk-one"},
                                                    {"weight", split.one}},
                                       json::object{{"service", "desk-two"},
                                                    {"weight", split.two}}}},
                          {"maxAttempts", 2}}}},
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
    const weights before =
        has_trouble() ? weights{999, 1} : weights{0.999, 0.001};
    const weights changed{0.9, 0.1};
    site.platform.put("op/config", configuration(7, before));
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
    bool is_sending = true;
    std::mt19937 random(11);
    std::uint64_t number = 0;
    clock::time_point judged_from = clock::time_point::max();
    std::map<std::string, unsigned> runs; ///< judged requests, by service
    unsigned others = 0;                  ///< that were not served
    std::function<void()> send = [&]
    {
        if (!is_sending)
        {
            return;
        }
        const auto id = fmt::format("{:016x}", ++number);
        // As clients do, any of the nodes.
        const auto& to = *site.nodes[random() % site.nodes.size()];
        const bool is_judged = clock::now() >= judged_from;
        site.callers.send(to.callers(),
                          "GET",
                          "desk.example",
                          "/lookup/" + id,
                          id,
                          milliseconds(1500),
                          [&, id, is_judged, name = to.name](const auto& answer)
                          {
                              const auto text =
                                  answer && answer->status == 200
                                      ? answer->body.substr(
                                            0, answer->body.find(' '))
                                      : std::string("no replica");
                              record.line("answer {} of {} to {}: run by {}",
                                          answer ? answer->status : 0,
                                          name,
                                          id,
                                          text);
                              if (is_judged)
                              {
                                  ++runs[text];
                                  others += text == "no replica" ? 1 : 0;
                              }
                          });
        after(site.io, milliseconds(1000 / requests_per_s), send);
    };
    send();
    site.run(milliseconds(10'000));
    site.platform.put("op/config", configuration(10, changed));
    record.say("version 10 is acknowledged: weights {} and {} instead of {} "
               "and {}",
               changed.one,
               changed.two,
               before.one,
               before.two);
    judged_from = clock::now() + config_apply + milliseconds(500);
    site.run(config_apply + milliseconds(10'500));
    is_sending = false;
    site.run(milliseconds(1'700));
    const auto total = runs["desk-one"] + runs["desk-two"];
    if (site.has_ended_node() || total < min_requests || others > 0)
    {
        record.say("{} requests served, {} not", total, others);
        return not_run;
    }
    const double share = static_cast<double>(runs["desk-two"]) / total;
    const bool is_broken =
        std::abs(share - changed.share_of_two()) > allowed_difference;
    record.say("sent over {} ms after the acknowledgement: {} of {} run by "
               "desk-two, a share of {:.2f}; its weight's is {:.2f}",
               config_apply.count(),
               runs["desk-two"],
               total,
               share,
               changed.share_of_two());
    record.say("CONFIG: {}", is_broken ? "broken" : "held");
    return is_broken ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    rig::end_with_signals();
    rig::recorder record(argc > 1 ? argv[1] : "record.txt");
    return run(record);
}
