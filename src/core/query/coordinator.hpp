/// @file
/// @brief Scatter-gather of queries at the entry node.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <core/base/counters.hpp>
#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/messages.hpp>
#include <core/outbox.hpp>
#include <core/placement/routing_table.hpp>
#include <core/query/query.hpp>
#include <core/query/replica_view.hpp>
#include <core/query/retry_budget.hpp>
#include <ports/event_log.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::query
{

/// @brief Parameters of the coordinator.
struct query_limits
{
    /// Extra attempts per first attempt, hedges and retries together.
    double extra_attempt_ratio = 0.05;
    /// The most extra attempts saved up for a burst.
    double max_saved_extras = 40;
    /// Attempts of one sub-query, the first one included.
    std::uint32_t max_attempts = 8;
    /// Restarts of a query at another index version.
    std::uint32_t max_restarts = 2;
    /// Pause before replicas that refused are retried, times one more than the
    /// attempts so far.
    base::duration retry_pause = std::chrono::milliseconds(10);
    /// How long other replicas are preferred to one that refused work.
    base::duration avoidance_time = std::chrono::milliseconds(200);
    /// Another replica gets an attempt when the holder has sent nothing about
    /// an attempt for this long, plus twice the expected queueing delay.
    base::duration holder_timeout = std::chrono::milliseconds(150);
    /// Early refusal starts when a service's queueing delay exceeds this
    /// fraction of a query's time; the refused fraction rises linearly to all
    /// queries at twice that delay.
    double refusal_wait_ratio = 0.25;
    bool hedging = true;
    bool early_refusal = true;
};

/// @brief Services and state of the node that the coordinator uses.
struct query_context
{
    ports::runtime& runtime;
    ports::event_log& log;
    outbox& out;
    base::counters& counters;
    const placement::routing_table& routes;
    base::incarnation incarnation = 0;
    /// Tells whether a node is considered reachable.
    std::function<bool(const base::node_id&)> is_reachable;
    /// Receives a holder that did not answer in time.
    std::function<void(const base::node_id&)> report_unresponsive;
};

/// @brief Runs queries from arrival to answer: sends one attempt per service,
///        hedges and retries, and merges the replies.
///
/// Each attempt has its own number; a reply that matches no open attempt is
/// counted and dropped. All parts of an answer have the same index version; a
/// reply of another version is discarded.
class coordinator
{
  public:
    /// @brief Creates a coordinator without queries.
    /// @param context what it uses of its node
    /// @param limits its parameters
    coordinator(query_context context, query_limits limits);

    /// @brief Starts a query.
    /// @param request the query
    /// @param handler receives the answer at the deadline or before
    void start(query_request request, answer_handler handler);

    /// @brief Processes replies from a holder.
    /// @param from the holder
    /// @param batch the replies
    void on_results(const base::node_id& from, messages::result_batch batch);

    /// @brief Hedges a sub-query whose target is slow, if the budget allows.
    /// @param notice which attempt
    void on_slow(const messages::work_slow& notice);

    /// @brief Fails all open attempts at a node after its link broke.
    /// @param node the node
    void on_link_down(const base::node_id& node);

    /// @brief Queries that are not answered yet.
    /// @return their number
    [[nodiscard]] std::size_t open_queries() const
    {
        return this->queries.size();
    }

  private:
    using query_number = std::uint64_t;

    struct attempt
    {
        query_number query = 0;
        std::size_t shard = 0;
        base::replica_id replica;
        base::node_id holder;
        ports::timer_id holder_timer = ports::no_timer;
    };

    struct shard_state
    {
        bool is_done = false;
        bool is_hedged = false;
        base::result_code code = base::result_code::deadline_expired;
        std::string body;
        std::uint32_t attempts = 0;
        std::set<std::uint32_t> attempted_replicas;
        std::vector<base::attempt_id> open_attempts;
        ports::timer_id retry_timer = ports::no_timer;
    };

    struct open_query
    {
        query_request request;
        answer_handler handler;
        base::time_point deadline;
        base::index_version version = 0;
        std::uint32_t restarts = 0;
        std::size_t unfinished = 0;
        std::vector<shard_state> shards;
        ports::timer_id timeout = ports::no_timer;
    };

    using batches = std::map<base::node_id, messages::work_batch>;

    [[nodiscard]] bool is_overloaded(const query_request& request);
    [[nodiscard]] base::index_version
    common_version(const query_request& request) const;
    bool start_attempt(query_number number,
                       open_query& query,
                       std::size_t shard,
                       bool hedge,
                       batches& out);
    void send_all(batches&& out);
    void send_one(query_number number, std::size_t shard, bool hedge);
    void on_result(const base::node_id& from, messages::work_result result);
    void on_success(query_number number,
                    open_query& query,
                    std::size_t shard,
                    messages::work_result result);
    void on_failure(query_number number,
                    open_query& query,
                    std::size_t shard,
                    base::result_code code);
    void on_holder_timeout(base::attempt_id id);
    void retry(query_number number,
               open_query& query,
               std::size_t shard,
               base::result_code code);
    void retry_later(query_number number, open_query& query, std::size_t shard);
    void on_version_mismatch(query_number number,
                             open_query& query,
                             std::size_t shard);
    void
    restart_or_fail(query_number number, open_query& query, std::size_t shard);
    void
    finish_shard(query_number number, open_query& query, std::size_t shard);
    void cancel_open(shard_state& shard);
    attempt close_attempt(base::attempt_id id);
    void finish(query_number number);

    query_context context;
    query_limits limits;
    retry_budget budget;
    replica_view view;
    std::map<query_number, open_query> queries;
    std::map<base::attempt_id, attempt> attempts;
    query_number next_query = 1;
    double refusal_accumulator = 0;
    base::attempt_id next_attempt;
};

} // namespace hawthornrelay::core::query
