/// @file
/// @brief One caller's request on its way through replicas.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <core/relay/request_engine.hpp>

namespace hawthornrelay::core::relay
{

/// @brief A length of time in whole milliseconds, for the log.
inline std::string ms_text(base::duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Retry-After of refusals: a pause of a replica has ended by then.
constexpr std::chrono::milliseconds retry_pause{20};

/// Sends of one part, rejected ones included.
constexpr std::size_t most_tries = 6;

/// @brief The state of one request: a part for each shard, or a single part.
class request_run : public std::enable_shared_from_this<request_run>
{
  public:
    /// @brief Prepares a request under the configuration in force.
    request_run(request_engine& engine,
                std::uint64_t number,
                caller_request request,
                request_engine::answer_handler done);

    /// @brief Sends the first attempt of each part.
    void start();

    /// @brief Stops sending; replicas still at work are stopped after a grace
    ///        time in which their connections can be saved.
    void on_caller_gone();

  private:
    struct try_state
    {
        std::uint64_t send = 0;
        replica_ptr target;
        base::time_point sent_at{};
        bool is_extra = false;
        bool is_pending = true;
        bool may_have_run = true;
    };

    struct part_state
    {
        std::string service;
        std::vector<try_state> tries;
        std::optional<ports::replica_answer> answer;
        std::optional<ports::replica_answer> failure; ///< a replica's own
        bool is_failed = false;                       ///< no answer will come
        bool is_hedged = false;
        base::time_point hedge_at{};
        base::time_point answered_at{};
    };

    /// Why a part is sent once more.
    enum class reason
    {
        hedge,
        shed,
        failed,
        not_sent,
    };

    bool select_route();
    /// Refuses a request that has crashed replicas in earlier attempts.
    bool refuse_crashing();
    base::fingerprint fingerprint();
    void plan_times();
    [[nodiscard]] base::duration hedge_delay() const;
    void send_all_parts();
    void log_start(const std::vector<replica_ptr>& targets) const;
    [[nodiscard]] bool
    are_enough_reachable(const std::vector<replica_ptr>& targets) const;
    bool send_again(std::size_t index, reason why);
    [[nodiscard]] std::vector<replica_ptr>
    candidates_again(const part_state& part, reason why) const;
    void log_again(base::log_event event,
                   const part_state& part,
                   const replica& target,
                   reason why) const;
    bool send(std::size_t index, const replica_ptr& target, bool is_extra);
    void on_outcome(std::size_t index,
                    std::size_t attempt,
                    const ports::send_outcome& outcome);
    void on_answered(std::size_t index,
                     try_state& attempt,
                     const ports::send_outcome& outcome);
    void settle(try_state& attempt, send_result result, double slowness);
    [[nodiscard]] bool is_usable(const ports::replica_answer& answer) const;
    [[nodiscard]] bool
    is_final_failure(const ports::replica_answer& answer) const;
    [[nodiscard]] bool is_pending(const part_state& part) const;
    [[nodiscard]] bool has_run_anywhere() const;
    [[nodiscard]] double extra_part(reason why) const;
    void check_progress();
    void on_timer();
    void arm();
    void answer_search();
    void answer_single(ports::replica_answer answer);
    void fail(base::result_code code,
              std::string detail,
              base::duration retry_after = retry_pause);
    void finish(caller_answer answer);
    void release_pending(bool now);
    [[nodiscard]] std::string describe_stragglers() const;

    request_engine& engine;
    std::uint64_t number;
    caller_request request;
    request_engine::answer_handler done;
    configuration_ptr config;
    const route* way = nullptr;
    std::vector<part_state> parts;
    base::time_point started{};
    base::time_point cut_at{};
    base::time_point deadline{};
    ports::timer_id timer = ports::no_timer;
    bool is_finished = false;
    bool has_crashed_before = false; ///< replicas, in an earlier attempt
    std::optional<base::fingerprint> known_fingerprint;
    bool is_dispatching = false;
};

} // namespace hawthornrelay::core::relay
