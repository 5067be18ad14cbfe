// Tests of the selection of requests while replicas have too little room.
#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <core/relay/admission.hpp>
#include <support/relay_simulation.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::relay::kind_share;
using tests::support::relay_simulation;
using tests::support::scripted_reply;
using tests::support::send_result;

namespace
{

/// Callers of some organisations, and replicas that take so many requests in
/// each 100 ms and shed the others.
struct overload_simulation
{
    struct source
    {
        std::string organisation;
        unsigned priority = 0;
        double per_second = 0;
        int retries = 0; ///< of a refused request, 5 ms after each refusal
        std::size_t sent = 0;
        std::size_t served = 0;

        [[nodiscard]] double ratio() const
        {
            return static_cast<double>(this->served) /
                   static_cast<double>(this->sent);
        }
    };

    explicit overload_simulation(double capacity_per_second,
                                 std::vector<source> callers)
        : sources(std::move(callers)),
          site(
              [this, capacity_per_second](const core::relay::replica&,
                                          const std::string&) -> scripted_reply
              {
                  const auto window =
                      this->site.loop.now().time_since_epoch() / 100ms;
                  this->taken = window == this->window ? this->taken + 1 : 1;
                  this->window = window;
                  const bool has_room = this->taken <= capacity_per_second / 10;
                  return {.result = has_room ? send_result::answered
                                             : send_result::shed};
              },
              1)
    {
        std::vector<core::relay::organisation_keys> entries;
        for (const auto& item : this->sources)
        {
            entries.push_back(
                {{.name = item.organisation, .priority = item.priority},
                 {core::relay::digest_of_key(item.organisation)}});
        }
        auto next =
            std::make_shared<core::relay::configuration>(*this->site.config);
        next->organisations =
            *core::relay::organisation_directory::create(std::move(entries));
        this->site.engine.set_configuration(next);
    }

    /// Sends for some seconds; the first two are not counted.
    void run(std::chrono::seconds time)
    {
        const auto begin = this->site.loop.now();
        std::vector<double> due(this->sources.size());
        while (this->site.loop.now() < begin + time)
        {
            const bool is_counted = this->site.loop.now() >= begin + 2s;
            for (std::size_t i = 0; i < this->sources.size(); ++i)
            {
                for (due[i] += this->sources[i].per_second / 1000; due[i] >= 1;
                     due[i] -= 1)
                {
                    this->sources[i].sent += is_counted ? 1 : 0;
                    this->send(
                        this->sources[i], is_counted, this->sources[i].retries);
                }
            }
            this->site.loop.run_for(1ms);
        }
        this->site.loop.run_for(1s);
    }

    [[nodiscard]] double ratio() const
    {
        double sent = 0;
        double served = 0;
        for (const auto& item : this->sources)
        {
            sent += static_cast<double>(item.sent);
            served += static_cast<double>(item.served);
        }
        return served / sent;
    }

    std::vector<source> sources;
    long long window = -1;
    double taken = 0;
    relay_simulation site;

  private:
    void send(source& from, bool is_counted, int retries_left)
    {
        auto message = std::make_shared<ports::forwarded_request>();
        message->id = "q" + std::to_string(++this->last_id);
        message->method = "GET";
        message->target = "/l/x";
        message->host = "h.example";
        core::relay::caller_request request;
        request.message = message;
        request.credentials = "Bearer " + from.organisation;
        request.time_left = 400ms;
        request.round_trip = 2ms;
        this->site.engine.start(
            std::move(request),
            [this, &from, is_counted, retries_left](
                const core::relay::caller_answer& answer)
            {
                const bool is_ok = answer.code == core::base::result_code::ok;
                from.served += is_counted && is_ok ? 1 : 0;
                if (!is_ok && retries_left > 0)
                {
                    this->site.loop.after(
                        5ms,
                        [this, &from, is_counted, retries_left]
                        {
                            this->send(from, is_counted, retries_left - 1);
                        });
                }
            });
    }

    std::size_t last_id = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

// Guards against: requests are refused though the replicas have room.
BOOST_AUTO_TEST_CASE(nothing_is_refused_while_there_is_room)
{
    overload_simulation overload(400, {{"a", 0, 150}, {"b", 3, 150}});
    overload.run(6s);
    BOOST_TEST(overload.ratio() == 1.0);
    BOOST_TEST(overload.site.engine.counters.values[static_cast<std::size_t>(
                   core::relay::relay_counter::refusals)] == 0U);
}

// Guards against: an organisation that sends many times its usual rate takes
// the room of the others, or gets none.
BOOST_AUTO_TEST_CASE(a_flood_is_at_the_cost_of_its_organisation)
{
    overload_simulation overload(
        200, {{"a", 1, 40}, {"b", 1, 40}, {"c", 1, 40}, {"flood", 1, 500}});
    overload.run(12s);
    for (const auto& item : overload.sources)
    {
        BOOST_TEST_MESSAGE(item.organisation << " " << item.ratio());
        BOOST_TEST(item.ratio() >= overload.ratio() / 4);
        if (item.organisation != "flood")
        {
            BOOST_TEST(item.ratio() > 0.75, item.organisation);
        }
    }
    BOOST_TEST(overload.ratio() > 0.8 * 200 / 620);
}

// Guards against: urgent requests are served less than others, or the others
// not at all.
BOOST_AUTO_TEST_CASE(urgent_requests_are_served_first)
{
    for (const double capacity : {60.0, 150.0, 250.0})
    {
        overload_simulation overload(
            capacity, {{"a", 0, 100}, {"b", 1, 100}, {"c", 5, 100}});
        overload.run(12s);
        const auto& sources = overload.sources;
        BOOST_TEST(sources.front().ratio() >
                   std::min(0.85, 1.3 * overload.ratio()));
        for (std::size_t i = 0; i < sources.size(); ++i)
        {
            BOOST_TEST_MESSAGE(capacity << " " << sources[i].ratio());
            BOOST_TEST(sources[i].ratio() >= overload.ratio() / 4);
            BOOST_TEST((i == 0 ||
                        sources[i].ratio() <= sources[i - 1].ratio() + 0.05));
        }
    }
}

// Guards against: a flood of urgent requests leaves nothing to other
// organisations.
BOOST_AUTO_TEST_CASE(an_urgent_flood_leaves_a_part_to_others)
{
    overload_simulation overload(
        200, {{"flood", 0, 500}, {"a", 2, 40}, {"b", 2, 40}});
    overload.run(12s);
    for (const auto& item : overload.sources)
    {
        BOOST_TEST_MESSAGE(item.organisation << " " << item.ratio());
        BOOST_TEST(item.ratio() >= overload.ratio() / 4, item.organisation);
        BOOST_TEST(item.ratio() <= overload.sources.front().ratio() + 0.05);
    }
}

// Guards against: callers that retry at once get the room of those that wait.
BOOST_AUTO_TEST_CASE(immediate_retries_gain_nothing)
{
    overload_simulation overload(
        100,
        {{.organisation = "patient", .priority = 1, .per_second = 100},
         {.organisation = "hasty",
          .priority = 1,
          .per_second = 100,
          .retries = 20}});
    overload.run(12s);
    const auto& sources = overload.sources;
    BOOST_TEST_MESSAGE(sources[0].ratio() << " " << sources[1].ratio());
    BOOST_TEST(sources[0].ratio() >= sources[1].ratio() - 0.05);
}

BOOST_AUTO_TEST_SUITE_END()
