// Clients send the second request on a connection before the first is answered,
// and all later ones after the answer to the one before.
// pipelined PROGRAM RECORD
#include "deployment.hpp"

using namespace review;

namespace
{

constexpr unsigned requests_per_connection = 12;

struct finding
{
    unsigned foreign = 0;
    unsigned twice = 0;
    unsigned unanswered = 0;
};

/// Sends requests on one connection. The second one follows the first at once
/// if `is_pipelined` is set; each other one waits for the answer before.
void use_connection(const relay_fleet::node& node,
                    const std::string& prefix,
                    unsigned first,
                    bool is_pipelined,
                    record& log,
                    finding& found)
{
    const auto connection = stream::connect(node.ip, node.callers);
    if (connection == nullptr)
    {
        return;
    }
    unsigned sent = 0;
    for (unsigned answered = 0; answered < requests_per_connection; ++answered)
    {
        const unsigned outstanding = is_pipelined && answered == 0 ? 2 : 1;
        while (sent < answered + outstanding)
        {
            const auto id = request_id(first + sent);
            log.write("client sends " + id + " to " + node.name);
            connection->write(
                make_request("GET", prefix + std::to_string(100 + sent), id));
            ++sent;
        }
        const auto expected = request_id(first + answered);
        message answer;
        if (!read_message(
                *connection, answer, clock::now() + std::chrono::seconds(3)))
        {
            log.write("client gets no answer to " + expected);
            ++found.unanswered;
            return;
        }
        const auto wanted = "answer to " + expected + " " + prefix +
                            std::to_string(100 + answered);
        log.write("client gets " + answer.start + " \"" + answer.body +
                  "\" for " + expected);
        if (answer.status() == 200 && answer.body != wanted)
        {
            ++found.foreign;
        }
    }
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
    configure(platform,
              7,
              {{"/log/", "idempotent", "workshop"},
               {"/book/", "non_idempotent", "workshop"}});
    replica first({"i-1", "workshop", "north", "127.0.0.3"}, platform, log);
    replica second({"i-2", "workshop", "south", "127.0.0.4"}, platform, log);
    first.start();
    second.start();
    finding found;
    {
        relay_fleet fleet(argv[1], folder.path, platform.address());
        if (!fleet.start())
        {
            log.write("the relays did not become ready");
            return could_not_run;
        }
        unsigned number = 0;
        for (const auto* prefix : {"/log/", "/book/"})
        {
            for (const auto& node : fleet.nodes)
            {
                use_connection(node, prefix, number, has_trouble(), log, found);
                number += requests_per_connection;
            }
        }
    }
    auto runs = first.all_runs();
    for (const auto& [id, count] : second.all_runs())
    {
        runs[id] += count;
    }
    for (const auto& [id, count] : runs)
    {
        // The second half of the ids are requests that may run only once.
        const bool is_once = id >= request_id(4 * requests_per_connection);
        if (is_once && count > 1)
        {
            log.write("request " + id + " ran " + std::to_string(count) +
                      " times");
            ++found.twice;
        }
    }
    log.write(
        "answers to other requests: " + std::to_string(found.foreign) +
        ", non-idempotent requests run twice: " + std::to_string(found.twice) +
        ", connections left without an answer: " +
        std::to_string(found.unanswered));
    platform.stop();
    if (runs.empty())
    {
        return could_not_run;
    }
    return found.foreign + found.twice > 0 ? rule_broken : rule_held;
}
