/// @file
/// @brief The execution of one caller's request on replicas.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <core/relay/request_engine.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Formats a duration in whole milliseconds for the log.
inline std::string ms_text(base::duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Retry-After of refusals; a paused replica has resumed by then.
constexpr std::chrono::milliseconds default_retry_after{20};

/// Retry-After of requests that wait for the limit of a replica, at most: other
/// nodes may have part of the limit left.
constexpr std::chrono::milliseconds max_retry_after{1000};

/// Attempts per part, including those that the replica shed.
constexpr std::size_t max_attempts = 6;

/// @brief Executes one request: one part per shard of a search, otherwise a
///        single part.
class request_execution : public std::enable_shared_from_this<request_execution>
{
  public:
    /// @brief Prepares a request under the current configuration.
    request_execution(request_engine& engine,
                      std::uint64_t number,
                      caller_request request,
                      request_engine::answer_handler done);

    /// @brief Selects the route and sends the first attempt of each part.
    void start();

    /// @brief Answers the request by a time if its deadline is later.
    void limit_deadline(base::time_point latest);

    /// @brief Ends the request without an answer. Pending attempts get a grace
    ///        period to finish, which keeps their connections reusable.
    void on_caller_disconnected();

  private:
    struct attempt_state
    {
        std::uint64_t send = 0;
        std::uint64_t rollout_order = 0; ///< that the send counts for
        replica_ptr target;
        base::time_point sent_at{};
        bool is_extra = false;
        bool is_to_suspect = false; ///< the replica was presumed down
        bool is_reported = false;   ///< as silent, to the crash tracker
        bool is_pending = true;
        bool may_have_run = true;
    };

    struct part_state
    {
        std::string service;
        std::vector<attempt_state> attempts;
        std::optional<ports::replica_answer> answer;
        std::optional<ports::replica_answer> failure; ///< sent by a replica
        bool is_failed = false; ///< no attempt is pending or may follow
        bool has_earlier_crashes = false; ///< in the caller's earlier attempts
        bool is_withheld = false;         ///< for these crashes
        bool is_hedged = false;
        bool is_held_back = false; ///< waits until another part is answered
        base::time_point hedge_at{};
        base::time_point answered_at{};
    };

    /// Why another attempt of a part is made.
    enum class attempt_reason
    {
        hedge,
        shed,
        failed,
        not_sent,
    };

    bool select_route();
    /// Finds the caller's organisation and prepares the fields that replicas
    /// get. Fails the request and returns true if it needs a known key.
    bool refuse_if_unidentified();
    /// Fails the request and returns true if replicas have too little room and
    /// requests of other kinds are preferred.
    bool refuse_if_overloaded();
    /// The priority of the request, 0 is the highest.
    [[nodiscard]] unsigned priority() const;
    /// Fails the request and returns true if the process may end before it.
    bool refuse_if_closing();
    /// Withholds the parts whose replicas crashed in the caller's earlier
    /// attempts. Fails the request and returns true if too few remain.
    bool refuse_if_crashing();
    /// Takes the credit for the request, or waits for it. Fails the request if
    /// its organisation's quota is used up.
    void take_quota();
    /// @return the quota that the request counts for, if any
    [[nodiscard]] std::optional<organisation_quota> find_quota() const;
    /// Tries again after a wait for credit.
    void retry_quota(base::duration delay);
    /// Returns the credit of a request that has reached no replica.
    void return_quota();
    /// Sends the first attempts once the request is admitted.
    void dispatch();
    base::fingerprint fingerprint();
    crash_subject subject_of(const part_state& part);
    /// Records that the request was answered, so its crashes had other causes.
    void clear_crashes(const part_state& part,
                       const attempt_state& attempt,
                       unsigned status);
    /// Ends an attempt that got no answer before the request ended.
    void abandon(const part_state& part, attempt_state& attempt);
    /// Checks replicas that have been silent since they were asked.
    void check_silent_replicas();
    /// Checks whether the attempt's replica has ended.
    void on_unanswered(const part_state& part,
                       attempt_state& attempt,
                       bool is_silent);
    /// Logs what identifies a request whose replica may have ended.
    void log_unanswered(const part_state& part,
                        const attempt_state& attempt,
                        bool is_silent);
    void compute_deadlines();
    [[nodiscard]] base::duration hedge_delay() const;
    /// The hedge delay of a part that is sent to a replica.
    [[nodiscard]] base::duration hedge_delay(const replica& target) const;
    [[nodiscard]] base::duration max_hedge_delay() const;
    void send_first_attempts();
    /// Retry-After if too few replicas can get the request: set by replicas
    /// whose limits are used up or that asked for a pause.
    [[nodiscard]] base::duration
    retry_delay(const std::vector<replica_ptr>& targets) const;
    void log_start(const std::vector<replica_ptr>& targets) const;
    [[nodiscard]] std::size_t
    count_reachable(const std::vector<replica_ptr>& targets) const;
    bool send_next_attempt(std::size_t index, attempt_reason why);
    /// Tells whether a search looks as if it crashed the replicas that run it:
    /// several parts broke off and none has been answered.
    [[nodiscard]] bool may_crash_replicas() const;
    /// Makes the attempts that were held back, as a replica has answered.
    void release_held_parts();
    [[nodiscard]] bool has_failed(const part_state& part) const;
    [[nodiscard]] std::vector<replica_ptr>
    next_attempt_candidates(const part_state& part, attempt_reason why) const;
    void log_next_attempt(base::log_event event,
                          const part_state& part,
                          const replica& target,
                          attempt_reason why) const;
    bool send(std::size_t index, const replica_ptr& target, bool is_extra);
    void on_outcome(std::size_t index,
                    std::size_t attempt_index,
                    const ports::send_outcome& outcome);
    void on_answered(std::size_t index,
                     attempt_state& attempt,
                     const ports::send_outcome& outcome);
    void
    settle(attempt_state& attempt, send_result result, double latency_ratio);
    /// Counts the response to an attempt for a roll-out of its service.
    void count_for_rollout(const attempt_state& attempt,
                           bool is_response,
                           bool is_failed);
    [[nodiscard]] bool is_usable(const ports::replica_answer& answer) const;
    /// Tells whether the replica ran the request to its end. A server error may
    /// come before the request has any effect on the replica.
    [[nodiscard]] bool
    shows_completion(const ports::replica_answer& answer) const;
    [[nodiscard]] bool
    is_final_failure(const ports::replica_answer& answer) const;
    [[nodiscard]] bool is_pending(const part_state& part) const;
    [[nodiscard]] static bool is_answered(const part_state& part);
    [[nodiscard]] bool has_run_anywhere() const;
    [[nodiscard]] double extra_fraction(attempt_reason why) const;
    void check_progress();
    void on_timer();
    [[nodiscard]] bool has_pending_attempts() const;
    void arm_timer();
    void answer_search();
    void answer_single(ports::replica_answer answer);
    void fail(base::result_code code,
              std::string detail,
              base::duration retry_after = default_retry_after);
    void finish(caller_answer answer);
    void cancel_pending(bool is_immediate);
    [[nodiscard]] std::string describe_stragglers() const;

    request_engine& engine;
    std::uint64_t number;
    caller_request request;
    request_engine::answer_handler done;
    configuration_ptr config;
    const route* matched_route = nullptr;
    /// Part of `config`; nullptr on public routes and where no organisations
    /// are configured.
    const organisation* caller = nullptr;
    std::vector<part_state> parts;
    base::time_point started{};
    base::time_point partial_answer_at{};
    base::time_point deadline{};
    base::time_point silence_check_at{};
    bool is_silence_checked = false;
    std::optional<organisation_quota> quota; ///< set if it has a limit
    bool is_quota_taken = false;
    bool is_waiting_for_quota = false;
    ports::timer_id timer = ports::no_timer;
    bool is_finished = false;
    std::optional<base::fingerprint> known_fingerprint;
    bool is_dispatching = false;
    bool has_answered_part = false;  ///< a replica ran a part to its end
    std::size_t broken_attempts = 0; ///< that may have run
};

} // namespace hawthornrelay::core::relay
