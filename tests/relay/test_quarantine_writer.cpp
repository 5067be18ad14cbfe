// Tests that refusals of requests that crash replicas reach the store and are
// read back.
#define BOOST_TEST_MODULE quarantine_writer
#include <boost/test/unit_test.hpp>

#include <core/relay/crash_tracker.hpp>
#include <core/relay/quarantine_writer.hpp>
#include <support/relay_simulation.hpp>

using namespace std::chrono_literals;
using namespace hawthornrelay;
using namespace hawthornrelay::tests::support;
using core::base::result_code;

namespace
{

/// Answers each call after 4 ms; some calls fail.
class scripted_store final : public ports::metadata_store
{
  public:
    explicit scripted_store(event_loop& loop) : loop(loop)
    {
    }

    void list(const std::string&,
              ports::store_handler<ports::store_page>) override
    {
    }

    void watch(const ports::store_position&,
               std::chrono::milliseconds,
               ports::store_handler<ports::store_page>) override
    {
    }

    void put(const std::string& key,
             const std::string&,
             ports::lease_id lease,
             ports::store_handler<std::uint64_t> done) override
    {
        this->answer<std::uint64_t>(1, std::move(done));
        if (!this->has_failed)
        {
            this->keys[key] = lease;
        }
    }

    void transact(const ports::store_transaction&,
                  ports::store_handler<std::uint64_t>) override
    {
    }

    void create_lease(std::chrono::milliseconds time_to_live,
                      ports::store_handler<ports::lease_id> done) override
    {
        this->lease_duration = time_to_live;
        this->answer<ports::lease_id>(++this->last_lease, std::move(done));
    }

    void renew_lease(ports::lease_id, ports::store_handler<bool>) override
    {
    }

    void end_lease(ports::lease_id, ports::store_handler<bool>) override
    {
    }

    std::size_t calls_to_fail = 0;
    std::size_t calls = 0;
    std::chrono::milliseconds lease_duration{};
    std::map<std::string, ports::lease_id> keys;

  private:
    template <typename T>
    void answer(T value, ports::store_handler<T> done)
    {
        this->has_failed = this->calls++ < this->calls_to_fail;
        this->loop.after(
            4ms,
            [value, done = std::move(done), has_failed = this->has_failed]
            {
                if (has_failed)
                {
                    done(core::base::fail(result_code::platform_unreachable,
                                          "scripted"));
                }
                else
                {
                    done(value);
                }
            });
    }

    event_loop& loop;
    bool has_failed = false;
    ports::lease_id last_lease = 0;
};

struct writer_simulation
{
    event_loop loop;
    process_runtime runtime{loop};
    scripted_store store{loop};
    recording_log log;
    relay::quarantine_writer writer{runtime, store, log, "q/"};
};

} // namespace

BOOST_AUTO_TEST_SUITE(stored_refusals)

BOOST_AUTO_TEST_CASE(a_refusal_is_stored_for_as_long_as_crashes_count)
{
    writer_simulation simulation;
    simulation.writer.write(0xabcU);
    simulation.writer.write(0xdefU);
    simulation.loop.run_for(100ms);
    BOOST_TEST(simulation.store.keys.size() == 2U);
    BOOST_TEST(simulation.store.keys.contains("q/0000000000000abc"));
    BOOST_TEST((simulation.store.lease_duration == relay::crash_retention));
}

BOOST_AUTO_TEST_CASE(calls_are_repeated_while_the_store_is_away)
{
    writer_simulation simulation;
    simulation.store.calls_to_fail = 5;
    simulation.writer.write(1);
    simulation.loop.run_for(1s);
    BOOST_TEST(simulation.store.keys.empty());
    simulation.loop.run_for(5s);
    BOOST_TEST(simulation.store.keys.size() == 1U);
    BOOST_TEST(simulation.store.calls <= 8U);
}

BOOST_AUTO_TEST_CASE(a_store_that_stays_away_is_given_up)
{
    writer_simulation simulation;
    simulation.store.calls_to_fail = 100000;
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        simulation.writer.write(i);
    }
    simulation.loop.run_for(3min);
    const auto calls = simulation.store.calls;
    simulation.loop.run_for(1h);
    BOOST_TEST(simulation.store.calls <= calls + 64U);
    BOOST_TEST(simulation.log.lines.size() == 100U);
}

BOOST_AUTO_TEST_CASE(keys_are_read_back_and_others_are_refused)
{
    for (const std::uint64_t refused : {0ULL, 1ULL, ~0ULL})
    {
        const auto key = relay::quarantine_key(refused);
        BOOST_TEST(relay::read_quarantine_key(key).value() == refused);
    }
    for (const auto* text : {"", "x", "1x", "10000000000000000"})
    {
        BOOST_TEST((relay::read_quarantine_key(text).error().code ==
                    result_code::invalid_value));
    }
}

BOOST_AUTO_TEST_SUITE_END()
