// A garbling replica breaks off some answers and sends a second copy of some
// others, late, where the next answer is expected. Both replicas are busy, so
// that they reject some requests and health checks.
// second_answer PROGRAM RECORD
#include "deployment.hpp"

using namespace review;

namespace
{

constexpr std::chrono::seconds duration{75};
constexpr unsigned lookup_clients = 2;
constexpr unsigned order_clients = 3;

/// Largest dose of `garble` with `extra` in the site file.
constexpr double max_spoilt_share = 0.03;

/// One in so many answers to requests is broken off.
constexpr unsigned break_off_interval = 60;

/// The replica garbles for this long, with a pause between.
constexpr milliseconds garble_time{5000};
constexpr milliseconds garble_pause{2000};

/// Spoils answers of one replica, and no more than the dose.
class garbler
{
  public:
    explicit garbler(record& log) : log(log)
    {
    }

    /// Returns a second copy of the previous answer if that was the rejection
    /// of a health check.
    std::string before(const message& request, const std::string& previous)
    {
        const unsigned number =
            this->is_garbling() ? ++this->answers : this->answers.load();
        const auto id = request.field("x-request-id");
        const bool is_rejected_check =
            previous.find("X-Not-Executed") != std::string::npos &&
            previous.find("X-Request-Id") == std::string::npos;
        if (id.empty() || !is_rejected_check || !this->may_spoil(number))
        {
            return "";
        }
        this->log.write("replica i-1 sends a second copy of its rejection of a "
                        "health check, before " +
                        id);
        return previous;
    }

    bool breaks_off(const message& request)
    {
        const bool is_chosen = !request.field("x-request-id").empty() &&
                               ++this->requests % break_off_interval == 0;
        if (!is_chosen || !this->may_spoil(this->answers))
        {
            return false;
        }
        this->log.write("replica i-1 breaks off its answer to " +
                        request.field("x-request-id"));
        return true;
    }

    std::atomic<unsigned> answers{0};
    std::atomic<unsigned> spoilt{0};

  private:
    [[nodiscard]] bool is_garbling() const
    {
        return (clock::now() - this->started) % (garble_time + garble_pause) <
               garble_time;
    }

    bool may_spoil(unsigned number)
    {
        if (!this->is_garbling() ||
            this->spoilt + 1 > max_spoilt_share * number)
        {
            return false;
        }
        ++this->spoilt;
        return true;
    }

    record& log;
    clock::time_point started = clock::now();
    std::atomic<unsigned> requests{0};
};

/// The state shared by the clients.
struct traffic
{
    record& log;
    const relay_fleet& fleet;
    clock::time_point until;
    std::atomic<unsigned> next_lookup{0x100000};
    std::atomic<unsigned> next_order{0};
    std::atomic<unsigned> lookups_served{0};
    std::mutex mutex{};
    std::map<std::string, int> orders{}; ///< status by id; 0: no answer
};

int call(const relay_fleet::node& node,
         const std::string& method,
         const std::string& target,
         const std::string& id)
{
    const auto connection = stream::connect(node.ip, node.callers);
    if (connection == nullptr)
    {
        return 0;
    }
    connection->write(make_request(method, target, id));
    message answer;
    return read_message(
               *connection, answer, clock::now() + std::chrono::seconds(3))
               ? answer.status()
               : 0;
}

void look_up(traffic& shared, unsigned client)
{
    while (clock::now() < shared.until)
    {
        const auto number = shared.next_lookup++;
        const auto& node = shared.fleet.nodes[(number + client) % 4];
        const int status = call(
            node, "GET", "/log/" + std::to_string(number), request_id(number));
        shared.lookups_served += status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(status == 200 ? 5 : 20));
    }
}

void place_orders(traffic& shared, unsigned client)
{
    while (clock::now() < shared.until)
    {
        const auto number = shared.next_order++;
        const auto id = request_id(number);
        const auto& node = shared.fleet.nodes[(number + client) % 4];
        shared.log.write("client sends " + id + " to " + node.name);
        const int status =
            call(node, "POST", "/book/" + std::to_string(number), id);
        shared.log.write("client gets " + std::to_string(status) + " for " +
                         id);
        {
            const std::lock_guard lock(shared.mutex);
            shared.orders[id] = status;
        }
        std::this_thread::sleep_for(milliseconds(10));
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
    replica first(
        {"i-1", "workshop", "north", "127.0.0.3", 2, 0, milliseconds(20)},
        platform,
        log);
    replica second(
        {"i-2", "workshop", "south", "127.0.0.4", 2, 0, milliseconds(20)},
        platform,
        log);
    garbler trouble(log);
    if (has_trouble())
    {
        first.before = [&](const message& request, const std::string& previous)
        {
            return trouble.before(request, previous);
        };
        first.breaks_off = [&](const message& request)
        {
            return trouble.breaks_off(request);
        };
    }
    first.logs_runs = false;
    second.logs_runs = false;
    first.start();
    second.start();
    std::map<std::string, int> orders;
    unsigned lookups_served = 0;
    {
        relay_fleet fleet(argv[1], folder.path, platform.address());
        if (!fleet.start())
        {
            log.write("the relays did not become ready");
            return could_not_run;
        }
        traffic shared{
            .log = log, .fleet = fleet, .until = clock::now() + duration};
        std::vector<std::thread> clients;
        for (unsigned i = 0; i < lookup_clients; ++i)
        {
            clients.emplace_back(look_up, std::ref(shared), i);
        }
        for (unsigned i = 0; i < order_clients; ++i)
        {
            clients.emplace_back(place_orders, std::ref(shared), i);
        }
        for (auto& item : clients)
        {
            item.join();
        }
        orders = shared.orders;
        lookups_served = shared.lookups_served;
    }
    auto runs = first.all_runs();
    for (const auto& [id, count] : second.all_runs())
    {
        runs[id] += count;
    }
    unsigned twice = 0;
    unsigned refused = 0;
    unsigned served = 0;
    for (const auto& [id, status] : orders)
    {
        served += status == 200 ? 1 : 0;
        if (runs[id] > 1)
        {
            log.write("order " + id + " ran " + std::to_string(runs[id]) +
                      " times; its client got " + std::to_string(status));
            ++twice;
        }
        if (runs[id] > 0 && (status == 503 || status == 429))
        {
            log.write("order " + id + " ran; its client got " +
                      std::to_string(status));
            ++refused;
        }
    }
    log.write("lookups served: " + std::to_string(lookups_served) +
              ", orders: " + std::to_string(orders.size()) + ", served: " +
              std::to_string(served) + ", run twice: " + std::to_string(twice) +
              ", run and refused: " + std::to_string(refused) +
              ", answers spoilt: " + std::to_string(trouble.spoilt) + " of " +
              std::to_string(trouble.answers));
    platform.stop();
    if (served == 0)
    {
        return could_not_run;
    }
    return twice + refused > 0 ? rule_broken : rule_held;
}
