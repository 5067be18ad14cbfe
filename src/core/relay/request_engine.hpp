/// @file
/// @brief Dispatches callers' requests to replicas and returns the answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/dispatch/latency_window.hpp>
#include <core/relay/admission.hpp>
#include <core/relay/configuration.hpp>
#include <core/relay/crash_tracker.hpp>
#include <core/relay/extra_budget.hpp>
#include <core/relay/part_window.hpp>
#include <core/relay/quota_ledger.hpp>
#include <core/relay/relay_counters.hpp>
#include <core/relay/replica_registry.hpp>
#include <ports/event_log.hpp>
#include <ports/replica_transport.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::relay
{

class rollout_manager;

/// @brief Site-specific settings of a request engine.
struct engine_settings
{
    std::string zone; ///< the availability zone of this VM
    extra_budget_settings extras;
    bool is_extra_history_known = false; ///< passed to extra_budget
    /// Over all nodes, a cold replica gets at most rate x overshoot + slack
    /// sends per second.
    double cold_overshoot = 1.5;
    double cold_slack = 5;
    /// Makes the random choices of nodes differ.
    std::uint64_t seed = 0;
};

/// @brief A caller's request and its timing.
struct caller_request
{
    /// Changed by the engine until the request is first sent.
    std::shared_ptr<ports::forwarded_request> message;
    std::string caller_address; ///< IP address, for the log
    /// Value of the Authorization field; several values separated by ", ";
    /// empty if there is none. Where organisations are configured, the engine
    /// replaces it by the organisation's name.
    std::string credentials;
    base::duration time_left{};  ///< until the caller's deadline
    base::duration round_trip{}; ///< network round trip to the caller
};

/// @brief The answer to a caller.
struct caller_answer
{
    base::result_code code = base::result_code::ok;
    std::string detail;            ///< description of a failure
    ports::replica_answer content; ///< when code is ok
    bool is_search = false;
    std::vector<std::string> signatures; ///< one per answered part of a search
    std::size_t missing_shards = 0; ///< shards of a search without an answer
    /// True if no replica has run the request or will run it.
    bool is_not_run = false;
    base::duration retry_after{}; ///< Retry-After of a refusal
};

/// @brief An organisation and its limit over all nodes.
struct organisation_quota
{
    std::string organisation;
    quota_limit limit;
};

/// @brief Executes requests: chooses replicas, hedges and retries within the
///        shared bounds, ends searches at their latency objective and merges
///        their results.
class request_engine
{
  public:
    using answer_handler = std::function<void(caller_answer)>;

    /// @brief Creates an engine without a configuration; the referenced objects
    ///        must outlive it.
    request_engine(engine_settings settings,
                   ports::runtime& runtime,
                   ports::replica_transport& transport,
                   ports::event_log& log);
    ~request_engine();
    request_engine(const request_engine&) = delete;
    request_engine& operator=(const request_engine&) = delete;

    /// @brief Sets the configuration for later requests.
    void set_configuration(configuration_ptr config);

    /// @brief The current configuration, nullptr before the first.
    [[nodiscard]] const configuration_ptr& configuration_in_force() const
    {
        return this->config;
    }

    /// @brief True if the configuration bounds sends to cold replicas.
    [[nodiscard]] bool has_cold_bounds() const;

    /// @brief Changes the bounds that all nodes share.
    /// @param changed the settings; only the bounds are read
    void set_bounds(const engine_settings& changed);

    /// @brief Sets how the bounds shared by all nodes are divided.
    /// @param entry_count number of entries in the fleet
    /// @param is_entry whether this node is an entry
    void set_division(unsigned entry_count, bool is_entry);

    /// @brief Starts a request.
    /// @param request the request
    /// @param done called once with the answer, possibly before start() returns
    /// @return the request's number for on_caller_disconnected()
    std::uint64_t start(caller_request request, answer_handler done);

    /// @brief Answers all requests by a time, since the process ends after it.
    ///
    /// A later request that may take longer is refused if it may run only once,
    /// or if it usually takes too long.
    void close_at(base::time_point end);

    /// @brief Ends a request whose caller has disconnected.
    void on_caller_disconnected(std::uint64_t request);

    /// @brief Records that a replica may have restarted: a send failed, or it
    ///        dropped a connection.
    void on_possible_restart(const replica_ptr& target);

    /// @brief Records that the process is running; to be called at least every
    ///        half second.
    ///
    /// A request after a longer gap means that the process was paused. Its view
    /// of replicas is stale then, so all are treated as possibly cold.
    void record_running();

    /// @brief Asks replicas whether the limits that they have named still
    /// apply;
    ///        to be called regularly. A node that may not send to a replica
    ///        does not get an answer that says so.
    void refresh_limits();

    /// @brief Returns this node's rank among the entries for a replica, the
    ///        same at all nodes; 0 for the first.
    std::function<std::size_t(const std::string& replica)> rank_among_entries;

    /// @brief Tells when this node may use its part of the bound on cold
    ///        replicas; nullptr for always. It must outlive this object.
    const part_window* window = nullptr;

    /// @brief Limits the requests of organisations; nullptr for no limits. It
    ///        must outlive this object.
    quota_ledger* quotas = nullptr;

    /// @brief Starts a health check of a replica unless one is in progress.
    void check(const replica_ptr& target);

    /// @brief Merges crash reports received from another node.
    void merge_crashes(const std::vector<crash_report>& reports);

    /// @brief Crash reports to send to other nodes.
    [[nodiscard]] std::vector<crash_report> crashes_to_report();

    /// @brief Called with the fingerprint of a request, or a part, that is
    ///        refused from now on.
    std::function<void(base::fingerprint)> on_quarantined;

    /// @brief Applies a refusal that another node, or an earlier process, has
    ///        stored, unless this node has answers to the request since.
    /// @param refused fingerprint of the request or part
    /// @param is_refused false if the refusal has ended
    void set_quarantined(base::fingerprint refused, bool is_refused);

    /// @brief Tells whether a request or part is refused.
    [[nodiscard]] bool is_quarantined(base::fingerprint refused) const;

    /// @brief Number of requests without an answer.
    [[nodiscard]] std::size_t active() const
    {
        return this->active_requests.size();
    }

    /// @brief The roll-outs in progress; may be nullptr.
    rollout_manager* rollouts = nullptr;

    replica_registry registry;
    relay_counters counters;

  private:
    friend class request_execution;

    /// @brief Chooses a replica.
    /// @param candidates usable replicas
    /// @param stall_threshold wait of the oldest send above which a replica
    ///        counts as stalled
    /// @return the replica with the lowest cost that its cold bound admits, or
    ///         nullptr
    replica_ptr choose(const std::vector<replica_ptr>& candidates,
                       base::duration stall_threshold);
    /// @brief Chooses a replica of a version that may get the send.
    /// @param candidates usable replicas of the service
    /// @param is_repeated whether the part has been sent before
    replica_ptr choose_version(const std::string& service,
                               const std::vector<replica_ptr>& candidates,
                               bool is_repeated,
                               base::duration stall_threshold);
    /// Counts a send during a roll-out.
    /// @return the order that it counts for, 0 for none
    std::uint64_t count_send(const replica& target);
    /// Asks a replica that gets no requests since its work was slow whether it
    /// still is.
    void refresh_load(const replica_ptr& target);
    /// Puts one of the cheapest replicas first at random if their reports are
    /// old, so that many nodes do not all select the same one.
    /// @param ranked replicas by cost
    void spread_choice(std::vector<std::pair<double, replica_ptr>>& ranked);
    /// @return the added cost of a replica that gets only a share of requests
    double pace_cost(replica& target);
    void detect_process_pause();
    /// Checks whether a replica has ended that left a send without an answer.
    void on_unanswered(const replica_ptr& target, unanswered_send send);
    void confirm_restarts();
    /// Refuses a request or part from now on, on all nodes.
    void quarantine(base::fingerprint refused);
    void log_suspicions(const std::string& replica,
                        const std::vector<resolved_suspicion>& resolved);
    void on_check_finished(const replica_ptr& target,
                           const ports::health_report& report,
                           base::time_point asked_at);
    /// Records the limit in a replica's answer, or that there is none.
    void on_limit(const replica_ptr& target, std::optional<double> per_second);
    void end_limit(const replica_ptr& target);
    /// Sends no more requests to a replica that has said that it leaves.
    void on_leaving(const replica_ptr& target);
    /// Pauses sends to a replica that asks for it.
    void on_back_off(const replica_ptr& target, base::duration pause);
    bool try_admit_limited(replica& target, base::time_point now);
    /// @return the number of nodes that share a replica's limit; 0 if this node
    ///         is none of them
    [[nodiscard]] std::size_t users_of_limit(const replica& target) const;
    /// @return the time until a replica whose limit is used up, or that asked
    ///         for a pause, may get a request from this node; nullopt if there
    ///         is none
    [[nodiscard]] std::optional<base::duration>
    until_available(const std::string& service) const;
    /// Counts a send to a replica unless it is cold and this node's part of
    /// the bound is used up.
    bool try_admit(replica& target, base::time_point now);
    [[nodiscard]] std::size_t rank_of_self(const replica& target) const;
    /// @return whole requests that a cold replica takes in a second from all
    ///         nodes together
    [[nodiscard]] std::size_t cold_bound(const replica& target) const;
    /// @return this node's part of cold_bound(), for a time of cold_span
    [[nodiscard]] std::size_t cold_part(const replica& target,
                                        base::time_point now) const;
    [[nodiscard]] double cold_rate(const replica& target) const;
    void remove_request(std::uint64_t request);

    engine_settings settings;
    ports::runtime& runtime;
    ports::replica_transport& transport;
    ports::event_log& log;
    configuration_ptr config;
    extra_budget extras;
    admission admitted;
    crash_tracker crashes;
    std::optional<base::time_point> last_running_at;
    std::optional<base::time_point> closes_at;
    unsigned entry_count = 1;
    bool is_entry = true;
    /// Latencies of answered attempts, by route.
    std::map<std::string, dispatch::latency_window> latencies;
    /// Time that callers had left at the start, by route.
    std::map<std::string, dispatch::latency_window> caller_deadlines;
    std::map<std::string, weighted_choice> traffic_splits;
    std::map<std::uint64_t, std::shared_ptr<class request_execution>>
        active_requests;
    std::uint64_t next_request = 1;
    std::uint64_t rotation = 0;
    std::minstd_rand random;
};

} // namespace hawthornrelay::core::relay
