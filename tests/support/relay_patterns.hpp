/// @file
/// @brief Scripted replies and a load for tests of relay requests.
#pragma once

#include <string>

#include <support/relay_simulation.hpp>

namespace hawthornrelay::tests::support
{

using namespace std::chrono_literals;
using core::base::duration;
using core::base::result_code;

inline const scripted_reply ok{};
inline const scripted_reply shed{send_result::shed, 1ms};
inline const scripted_reply refused{send_result::not_sent, 1ms};
inline const scripted_reply reset{send_result::broken, 3ms};
inline const scripted_reply silent{send_result::answered, 3600s}; // too late

/// The same reply from all replicas.
inline scripted_replicas::script always(scripted_reply reply)
{
    return [reply](const relay::replica&, const std::string&)
    {
        return reply;
    };
}

inline bool is_replica_a(const relay::replica& replica)
{
    return replica.record.id.ends_with("-a");
}

/// Starts `count` searches at intervals of `gap` and returns the fraction that
/// is answered within the latency objective of 80 ms.
inline double
served_in_time(relay_simulation& simulation, std::size_t count, duration gap)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        simulation.start("q" + std::to_string(i), "/s/x");
        simulation.loop.run_for(gap);
    }
    simulation.loop.run_for(1s);
    std::size_t on_time = 0;
    for (const auto& [id, answer] : simulation.answers)
    {
        on_time +=
            answer.code == result_code::ok && simulation.latencies[id] <= 80ms;
    }
    return static_cast<double>(on_time) / static_cast<double>(count);
}

} // namespace hawthornrelay::tests::support
