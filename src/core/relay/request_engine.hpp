/// @file
/// @brief Carries callers' requests to replicas and their answers back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/dispatch/latency_window.hpp>
#include <core/relay/configuration.hpp>
#include <core/relay/crash_watch.hpp>
#include <core/relay/extra_budget.hpp>
#include <core/relay/relay_counters.hpp>
#include <core/relay/replica_registry.hpp>
#include <ports/event_log.hpp>
#include <ports/replica_transport.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

/// @brief What a request engine needs to know of its site.
struct engine_settings
{
    std::string zone; ///< the availability zone of this VM
    extra_budget_settings extras;
    bool knows_extra_history = false; ///< see extra_budget
    /// Bound on a cold replica over all nodes: rate x overshoot + slack.
    double cold_overshoot = 1.5;
    double cold_slack = 5;
};

/// @brief A caller's request with what is known of its time.
struct caller_request
{
    std::shared_ptr<const ports::forwarded_request> message;
    std::string caller;          ///< IP address of the caller
    base::duration time_left{};  ///< how long the caller waits from now on
    base::duration round_trip{}; ///< to the caller and back
};

/// @brief The answer to a caller.
struct caller_answer
{
    base::result_code code = base::result_code::ok;
    std::string detail;            ///< of a failure, for people
    ports::replica_answer content; ///< when code is ok
    bool is_search = false;
    std::vector<std::string> signatures; ///< of the parts of a search
    std::size_t missing_shards = 0;      ///< of a search
    /// True when no replica has run the request nor ever will.
    bool is_not_run = false;
    base::duration retry_after{}; ///< for refusals
};

/// @brief Runs requests: chooses replicas, hedges, resends within the shared
///        bounds, cuts searches at their latency objective, merges.
class request_engine
{
  public:
    using answer_handler = std::function<void(caller_answer)>;

    /// @brief Attaches to the outside.
    request_engine(engine_settings settings,
                   ports::runtime& runtime,
                   ports::replica_transport& transport,
                   ports::event_log& log);
    ~request_engine();
    request_engine(const request_engine&) = delete;
    request_engine& operator=(const request_engine&) = delete;

    /// @brief Puts a configuration in force for later requests.
    void set_configuration(configuration_ptr config);

    /// @brief The configuration in force, nullptr before the first.
    [[nodiscard]] const configuration_ptr& configuration_in_force() const
    {
        return this->config;
    }

    /// @brief Changes the bounds that all nodes share.
    /// @param changed the settings; those of this node's identity are ignored
    void set_bounds(const engine_settings& changed);

    /// @brief Sets who divides the bounds that all nodes share.
    /// @param entry_count entries of the fleet
    /// @param is_entry whether this node is one of them
    void set_division(unsigned entry_count, bool is_entry);

    /// @brief Starts a request.
    /// @param request the request
    /// @param done receives the answer once, possibly before start() returns
    /// @return a number for on_caller_gone()
    std::uint64_t start(caller_request request, answer_handler done);

    /// @brief Tells that the caller of a request has left.
    void on_caller_gone(std::uint64_t request);

    /// @brief Notes that a replica may have restarted: a send failed, or it
    ///        dropped a connection.
    void on_possible_restart(const replica_ptr& target);

    /// @brief Tells that the process runs; call it at least each half second.
    ///
    /// A request after a longer gap shows that the process was paused. What it
    /// knows of replicas is old then, so all are taken for possibly cold.
    void note_running();

    /// @brief Asks a replica for its health, unless it is being asked.
    void check(const replica_ptr& target);

    /// @brief Takes crashes that another node knows of.
    void merge_crashes(const std::vector<crash_report>& reports);

    /// @brief Crashes that other nodes should know of.
    [[nodiscard]] std::vector<crash_report> crashes_to_tell();

    /// @brief Requests without an answer.
    [[nodiscard]] std::size_t active() const
    {
        return this->runs.size();
    }

    replica_registry registry;
    relay_counters counters;

  private:
    friend class request_run;

    /// @brief Chooses a replica.
    /// @param candidates usable replicas
    /// @param usual the time after which a send waits longer than usual
    /// @return the replica, or nullptr when none may be used
    replica_ptr choose(const std::vector<replica_ptr>& candidates,
                       base::duration usual);
    void notice_pause();
    void on_broken(const replica_ptr& target,
                   base::fingerprint request,
                   const std::string& attempt);
    void note_check(const replica_ptr& target,
                    bool has_answered,
                    base::time_point asked_at);
    bool admit_cold(replica& target, base::time_point now);
    [[nodiscard]] double cold_rate(const replica& target) const;
    void forget(std::uint64_t request);

    engine_settings settings;
    ports::runtime& runtime;
    ports::replica_transport& transport;
    ports::event_log& log;
    configuration_ptr config;
    extra_budget extras;
    crash_watch crashes;
    std::optional<base::time_point> running_at;
    unsigned entry_count = 1;
    bool is_entry = true;
    /// Of the parts of each route's requests.
    std::map<std::string, dispatch::latency_window> latencies;
    /// The time that callers of each route had left.
    std::map<std::string, dispatch::latency_window> caller_deadlines;
    std::map<std::string, weighted_choice> splits;
    std::map<std::uint64_t, std::shared_ptr<class request_run>> runs;
    std::uint64_t next_run = 1;
    std::uint64_t next_choice = 0;
};

} // namespace hawthornrelay::core::relay
