/// @file
/// @brief Sends work to the replicas whose shares this node holds.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <core/base/counters.hpp>
#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/dispatch/concurrency_limiter.hpp>
#include <core/dispatch/work_queue.hpp>
#include <core/messages.hpp>
#include <core/outbox.hpp>
#include <core/placement/routing_table.hpp>
#include <core/placement/share_table.hpp>
#include <core/quarantine/crash_history.hpp>
#include <ports/event_log.hpp>
#include <ports/runtime.hpp>
#include <ports/targets.hpp>

namespace hawthornrelay::core::dispatch
{

/// @brief Parameters of the dispatcher.
struct dispatch_limits
{
    concurrency_limits concurrency;
    /// Work counts as slow after this quantile of the replica's latencies,
    /// times slow_margin.
    double slow_quantile = 0.95;
    double slow_margin = 1.2;
    /// Bounds of that time.
    base::duration min_slow_after = std::chrono::milliseconds(4);
    base::duration max_slow_after = std::chrono::milliseconds(200);
    /// Used until enough latencies have been recorded.
    base::duration default_slow_after = std::chrono::milliseconds(40);
    base::duration default_mean_latency = std::chrono::milliseconds(10);
    bool work_stealing = true; ///< let idle siblings take queued work
    /// How long a sibling that asked for work is assumed to be idle.
    base::duration idle_sibling_ttl = std::chrono::milliseconds(20);
    /// How long a crash result waits for the siblings' acknowledgements.
    base::duration crash_notice_timeout = std::chrono::milliseconds(50);
};

/// @brief Services and state of the node that the dispatcher uses.
struct dispatch_context
{
    ports::runtime& runtime;
    ports::targets& targets;
    ports::event_log& log;
    outbox& out;
    base::counters& counters;
    const placement::routing_table& routes;
    placement::share_table& shares;
    quarantine::crash_history& crashes;
    base::node_id self;
    base::incarnation incarnation;
    std::function<bool()> may_act; ///< checked immediately before each send
};

/// @brief Runs sub-queries on the replicas whose shares this node holds.
///
/// Each replica has one queue, drained within the replica's in-flight limit.
/// Work that would miss its deadline is refused immediately, with a code that
/// proves that it was not run.
class dispatcher
{
  public:
    /// @brief Creates a dispatcher without work.
    /// @param context what it uses of its node
    /// @param limits its parameters
    dispatcher(dispatch_context context, dispatch_limits limits);

    /// @brief Accepts work from an entry node.
    /// @param entry the node to answer
    /// @param batch the work; each item is answered exactly once unless it is
    ///        cancelled
    void accept(const base::node_id& entry, messages::work_batch batch);

    /// @brief Dequeues an attempt, or cancels it when it is in flight.
    /// @param entry the node that sent it
    /// @param attempt the attempt
    void cancel(const base::node_id& entry, base::attempt_id attempt);

    /// @brief Requests work from a sibling once this node's replica has spare
    ///        capacity.
    /// @param from the sibling's holder
    /// @param notice which replica has queued work
    void on_work_waiting(const base::node_id& from,
                         const messages::work_waiting& notice);

    /// @brief Moves one queued item to a sibling, or the next one that is
    ///        queued while the sibling is assumed to be idle.
    /// @param from the sibling's holder
    /// @param request which replica's work is requested
    void on_work_wanted(const base::node_id& from,
                        const messages::work_wanted& request);

    /// @brief Refuses queued work that this node may no longer send, because
    ///        it lost the share or the replica was taken out of service.
    void refuse_unsendable();

    /// @brief Records a crash reported by a sibling's holder and
    ///        acknowledges it.
    /// @param from the sibling's holder
    /// @param notice the crash
    void on_crash_notice(const base::node_id& from,
                         const messages::crash_notice& notice);

    /// @brief Counts an acknowledgement of a crash notice; the last one
    ///        releases the delayed result.
    /// @param from the acknowledging node
    /// @param ack the acknowledgement
    void on_crash_ack(const base::node_id& from,
                      const messages::crash_ack& ack);

    /// @brief Requests in flight to a replica.
    /// @param id the replica
    /// @return their number
    [[nodiscard]] std::size_t in_flight(const base::replica_id& id) const;

    /// @brief Work in flight or queued, over all replicas, with crash results
    ///        that wait for acknowledgements.
    /// @return the number of items
    [[nodiscard]] std::size_t pending() const;

    /// @brief Load of one replica, for status pages.
    struct replica_status
    {
        std::uint32_t in_flight = 0;
        std::uint32_t limit = 0;
        std::size_t queued = 0;
        bool warm = false;
    };

    /// @brief Load of one replica.
    /// @param id the replica
    /// @return its load; zeros for a replica never used by this node
    [[nodiscard]] replica_status status(const base::replica_id& id) const;

  private:
    struct replica_state
    {
        concurrency_limiter limiter;
        work_queue queue;
        base::index_version oldest = 0;
        base::index_version newest = 0;
        ports::timer_id resume_timer = ports::no_timer;
        bool has_notified_siblings = false; ///< of the queued work
        std::set<std::uint32_t> backlogged_siblings;
        /// Siblings that requested work in vain, until when they count as idle.
        std::map<std::uint32_t, base::time_point> idle_siblings;
    };

    struct moved_work
    {
        base::node_id holder;
        base::time_point deadline;
    };

    struct open_request
    {
        queued_work work;
        base::time_point sent_at;
        ports::timer_id slow_timer = ports::no_timer;
    };

    struct crash_wait
    {
        std::size_t pending_acks = 0;
        messages::work_result result;
        base::node_id entry;
        ports::timer_id timeout = ports::no_timer;
    };

    void accept_one(const base::node_id& entry, messages::work_item item);
    [[nodiscard]] base::result_code
    refusal_for(const messages::work_item& item) const;
    [[nodiscard]] base::result_code
    refusal_before_send(const queued_work& work) const;
    replica_state& state_of(const placement::route& route);
    void pump(const base::replica_id& id);
    void send(replica_state& replica, queued_work work);
    void on_reply(std::uint64_t request, const ports::target_reply& reply);
    void on_slow(std::uint64_t request);
    void finish_crash_wait(std::uint64_t notice);
    void start_crash_wait(const open_request& lost,
                          messages::work_result result);
    void reply_refused(const queued_work& work, base::result_code code);
    void add_replica_state(const replica_state& replica,
                           messages::work_result& result) const;
    void reply(const base::node_id& entry, messages::work_result result);
    void flush_results();
    [[nodiscard]] base::duration expected_wait(const replica_state& replica,
                                               bool urgent) const;
    [[nodiscard]] base::duration slow_after(const replica_state& replica) const;
    void offer_work(const base::replica_id& id, replica_state& replica);
    void request_work(const base::replica_id& id, replica_state& replica);
    bool move_one(const base::replica_id& id,
                  replica_state& replica,
                  std::uint32_t sibling);
    [[nodiscard]] bool has_spare_capacity(const replica_state& replica) const;
    void schedule_resume(const base::replica_id& id, replica_state& replica);

    dispatch_context context;
    dispatch_limits limits;
    std::map<base::replica_id, replica_state> replicas;
    std::map<std::uint64_t, open_request> open_requests;
    std::map<attempt_key, std::uint64_t> request_by_attempt;
    std::map<std::uint64_t, crash_wait> crash_waits;
    std::map<attempt_key, moved_work> moved;
    std::map<base::node_id, messages::result_batch> unsent_results;
    bool flush_scheduled = false;
    std::uint64_t next_request;
    std::uint64_t next_crash;
};

} // namespace hawthornrelay::core::dispatch
