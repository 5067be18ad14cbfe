/// @file
/// @brief Patterns of load and failure for tests of relay requests.
#pragma once

#include <string>

#include <support/relay_world.hpp>

namespace hawthornrelay::tests::support
{

using namespace std::chrono_literals;
using core::base::duration;
using core::base::result_code;

inline const treatment ok{};
inline const treatment shed{send_result::shed, 1ms};
inline const treatment refused{send_result::not_sent, 1ms};
inline const treatment reset{send_result::broken, 3ms};
inline const treatment silent{send_result::answered, 3600s};

/// The same treatment by all replicas.
inline scripted_replicas::script always(treatment how)
{
    return [how](const relay::replica&, const std::string&)
    {
        return how;
    };
}

inline bool is_a(const relay::replica& replica)
{
    return replica.record.id.ends_with("-a");
}

/// Runs `count` searches, one each `gap`, and returns the share that got an
/// answer within the objective.
inline double
served_in_time(relay_world& world, std::size_t count, duration gap)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        world.start("q" + std::to_string(i), "/s/x");
        world.loop.run_for(gap);
    }
    world.loop.run_for(1s);
    std::size_t good = 0;
    for (const auto& [id, answer] : world.answers)
    {
        good += answer.code == result_code::ok && world.taken[id] <= 80ms;
    }
    return static_cast<double>(good) / static_cast<double>(count);
}

} // namespace hawthornrelay::tests::support
