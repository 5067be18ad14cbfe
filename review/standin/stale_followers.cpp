// The store holds unreadable entries of another writer. It forgets its history;
// later the operator moves a route to another service.
// stale_followers PROGRAM RECORD
#include <random>

#include "deployment.hpp"

using namespace review;

namespace
{

/// Unreadable entries and their size: a value of the store's largest size.
constexpr unsigned odd_entries = 10;
constexpr std::size_t odd_bytes = std::size_t{1} << 20U;

/// From the bounds of the settings.
constexpr milliseconds stability_window{4000};
constexpr milliseconds config_apply{3000};

/// Requests are sent for this long after the change is due.
constexpr milliseconds observed_time{12000};

void write_odd_entries(store& platform)
{
    std::mt19937 random(28);
    for (unsigned i = 0; i < odd_entries; ++i)
    {
        std::string value(odd_bytes, '\0');
        std::generate(value.begin(),
                      value.end(),
                      [&random]
                      {
                          return static_cast<char>(random());
                      });
        platform.put("servers/odd-" + std::to_string(i), value);
        std::this_thread::sleep_for(milliseconds(500));
    }
}

/// Returns the stamp of the answer, or its status line without one.
std::string
ask(const relay_fleet::node& node, const std::string& id, record& log)
{
    const auto connection = stream::connect(node.ip, node.callers);
    message answer;
    const bool has_answer =
        connection != nullptr &&
        connection->write(make_request("GET", "/log/1", id)) &&
        read_message(
            *connection, answer, clock::now() + std::chrono::seconds(2));
    const auto stamp = answer.field("x-server-stamp");
    const auto result = !has_answer     ? std::string("nothing")
                        : stamp.empty() ? answer.start
                                        : stamp;
    log.write("client asks " + node.name + " with " + id + " and gets " +
              result);
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
    {
        return could_not_run;
    }
    record log(argv[2]);
    const temporary_folder folder;
    store platform("127.0.0.2");
    configure(platform, 7, {{"/log/", "idempotent", "workshop"}});
    replica before({"i-1", "workshop", "north", "127.0.0.3"}, platform, log);
    replica after({"i-2", "counter", "south", "127.0.0.4"}, platform, log);
    before.start();
    after.start();
    unsigned served_before = 0;
    unsigned by_old_service = 0;
    unsigned by_new_service = 0;
    {
        relay_fleet fleet(argv[1], folder.path, platform.address());
        if (!fleet.start())
        {
            log.write("the relays did not become ready");
            return could_not_run;
        }
        write_odd_entries(platform);
        log.write("the store holds " + std::to_string(odd_entries) +
                  " unreadable entries");
        std::this_thread::sleep_for(std::chrono::seconds(3));
        unsigned number = 0;
        for (const auto& node : fleet.nodes)
        {
            const auto stamp = ask(node, request_id(number++), log);
            served_before += stamp.rfind("stamp.i-1.", 0) == 0 ? 1 : 0;
        }
        if (has_trouble())
        {
            platform.compact();
            log.write("the store forgets its history and cuts the watches");
        }
        std::this_thread::sleep_for(stability_window + std::chrono::seconds(2));
        configure(platform, 9, {{"/log/", "idempotent", "counter"}});
        const auto due = clock::now() + config_apply;
        log.write("the store acknowledges version 9");
        std::this_thread::sleep_until(due + milliseconds(500));
        while (clock::now() < due + observed_time)
        {
            for (const auto& node : fleet.nodes)
            {
                const auto stamp = ask(node, request_id(number++), log);
                by_old_service += stamp.rfind("stamp.i-1.", 0) == 0 ? 1 : 0;
                by_new_service += stamp.rfind("stamp.i-2.", 0) == 0 ? 1 : 0;
            }
            std::this_thread::sleep_for(milliseconds(700));
        }
    }
    log.write(
        "requests sent after version 9 was due: run by the old service: " +
        std::to_string(by_old_service) +
        ", by the new one: " + std::to_string(by_new_service));
    platform.stop();
    if (served_before < 4 || by_old_service + by_new_service == 0)
    {
        return could_not_run;
    }
    return by_old_service > 0 ? rule_broken : rule_held;
}
