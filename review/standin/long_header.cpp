// The operator raises the limit on the header of a request. One client then
// sends a header that stays below it, to each relay, while others use the
// relays. long_header PROGRAM RECORD
#include "deployment.hpp"

using namespace review;

namespace
{

constexpr unsigned callers_per_node = 8;
constexpr std::size_t usual_limit = 16384;
constexpr std::size_t raised_limit = 131072;

struct traffic
{
    record& log;
    const relay_fleet& fleet;
    std::atomic<bool> is_over{false};
    std::atomic<unsigned> next{0};
    std::atomic<unsigned> served{0};
    std::mutex mutex{};
    std::vector<std::string> cut{}; ///< requests whose connection was closed
};

/// Sends requests on kept connections, each after the answer to the one before.
void use_node(traffic& shared, const relay_fleet::node& node)
{
    std::unique_ptr<stream> connection;
    while (!shared.is_over)
    {
        if (connection == nullptr)
        {
            connection = stream::connect(node.ip, node.callers);
            if (connection == nullptr)
            {
                std::this_thread::sleep_for(milliseconds(50));
                continue;
            }
        }
        const auto number = shared.next++;
        const auto id = request_id(number);
        connection->write(
            make_request("GET", "/log/" + std::to_string(number), id));
        message answer;
        if (read_message(
                *connection, answer, clock::now() + std::chrono::seconds(3)))
        {
            ++shared.served;
            continue;
        }
        if (!connection->timed_out)
        {
            shared.log.write("connection to " + node.name +
                             " is closed without an answer to " + id);
            const std::lock_guard lock(shared.mutex);
            shared.cut.push_back(id);
        }
        connection = nullptr;
    }
}

/// Sends a request with a cookie that makes its header about half of the limit.
void send_long_header(const relay_fleet::node& node,
                      const std::string& id,
                      std::size_t limit,
                      record& log)
{
    const auto connection = stream::connect(node.ip, node.callers);
    if (connection == nullptr)
    {
        return;
    }
    const std::string cookie(limit * 11 / 20, 'c');
    auto request = make_request("GET", "/log/1", id);
    request.insert(request.size() - 2, "Cookie: " + cookie + "\r\n");
    log.write("client sends " + id + " with a header of " +
              std::to_string(request.size()) + " bytes to " + node.name);
    connection->write(request);
    message answer;
    const bool has_answer = read_message(
        *connection, answer, clock::now() + std::chrono::seconds(3));
    log.write("client gets " + (has_answer ? answer.start : "nothing") +
              " for " + id);
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
    const std::vector<route> routes{{"/log/", "idempotent", "workshop"}};
    configure(platform, 7, routes, usual_limit);
    replica first(
        {"i-1", "workshop", "north", "127.0.0.3", 32, 64, milliseconds(60)},
        platform,
        log);
    replica second(
        {"i-2", "workshop", "south", "127.0.0.4", 32, 64, milliseconds(60)},
        platform,
        log);
    first.logs_runs = false;
    second.logs_runs = false;
    first.start();
    second.start();
    unsigned ended = 0;
    unsigned served = 0;
    std::vector<std::string> cut;
    {
        relay_fleet fleet(argv[1], folder.path, platform.address());
        if (!fleet.start())
        {
            log.write("the relays did not become ready");
            return could_not_run;
        }
        auto limit = usual_limit;
        if (has_trouble())
        {
            limit = raised_limit;
            configure(platform, 9, routes, limit);
            log.write("the store acknowledges version 9, maxHeaderBytes " +
                      std::to_string(limit));
        }
        // Due everywhere after configApplyMs.
        std::this_thread::sleep_for(std::chrono::seconds(5));
        traffic shared{.log = log, .fleet = fleet};
        std::vector<std::thread> callers;
        for (const auto& node : fleet.nodes)
        {
            for (unsigned i = 0; i < callers_per_node; ++i)
            {
                callers.emplace_back(
                    use_node, std::ref(shared), std::cref(node));
            }
        }
        unsigned number = 0x100000;
        for (auto& node : fleet.nodes)
        {
            std::this_thread::sleep_for(std::chrono::seconds(1));
            send_long_header(node, request_id(number++), limit, log);
            std::this_thread::sleep_for(milliseconds(300));
            if (fleet.has_ended(node))
            {
                log.write("process " + node.name + " has ended by itself");
                ++ended;
                fleet.restart(node);
            }
        }
        shared.is_over = true;
        for (auto& item : callers)
        {
            item.join();
        }
        served = shared.served;
        cut = shared.cut;
    }
    // Counted are requests that a replica ran, which were passed on.
    unsigned lost = 0;
    for (const auto& id : cut)
    {
        lost += first.times_run(id) + second.times_run(id) > 0 ? 1 : 0;
    }
    log.write("served: " + std::to_string(served) +
              ", processes ended: " + std::to_string(ended) +
              ", requests passed on and closed without an answer: " +
              std::to_string(lost));
    platform.stop();
    if (served == 0)
    {
        return could_not_run;
    }
    // The rule allows three.
    return lost > 3 ? rule_broken : rule_held;
}
