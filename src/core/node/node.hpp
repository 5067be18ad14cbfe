/// @file
/// @brief One node: its components, and the operations for callers and
///        operators.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <core/addresses/caller_addresses.hpp>
#include <core/base/counters.hpp>
#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/config/codec.hpp>
#include <core/control/control_plane.hpp>
#include <core/control/share_reconciler.hpp>
#include <core/dispatch/dispatcher.hpp>
#include <core/idempotency/idempotency_table.hpp>
#include <core/limits/admission.hpp>
#include <core/limits/plan_limiter.hpp>
#include <core/messages.hpp>
#include <core/outbox.hpp>
#include <core/placement/routing_table.hpp>
#include <core/quarantine/crash_history.hpp>
#include <core/query/coordinator.hpp>
#include <ports/event_log.hpp>
#include <ports/peers.hpp>
#include <ports/platform.hpp>
#include <ports/runtime.hpp>
#include <ports/targets.hpp>

namespace hawthornrelay::core::node
{

/// @brief Settings of one node.
struct node_settings
{
    membership::member self;
    std::vector<std::string> seeds;
    std::string operator_key_sha256; ///< used while no operator is listed
    std::uint64_t secret = 0;        ///< random for each incarnation
    base::duration address_time_to_live = std::chrono::seconds(3);
    base::duration max_stop_time = std::chrono::seconds(30);
    control::control_limits control;
    dispatch::dispatch_limits dispatch;
    query::query_limits query;
    quarantine::quarantine_limits quarantine;
    idempotency::idempotency_limits keys;
};

/// @brief The ports through which a node reaches its environment.
struct node_ports
{
    ports::runtime& runtime;
    ports::platform& platform;
    ports::targets& targets;
    ports::peers& peers;
    ports::event_log& log;
};

/// @brief A caller's query before authentication and admission.
struct query_call
{
    std::vector<std::string> services; ///< empty selects all of the plan's
    std::string body;
    base::duration time_left{};
};

/// @brief A caller's request that runs at most once.
struct keyed_call
{
    std::string key;
    std::string service;
    std::string body;
    base::duration time_left{};
};

/// @brief An operator's change of one item.
struct change_call
{
    config::item_key item;
    base::revision expected = 0; ///< current revision; 0 for a new item
    std::string value;           ///< JSON; empty removes the item
    base::duration wait{};       ///< maximum wait for all nodes
};

/// @brief Where an operator's change is in force.
struct change_outcome
{
    base::revision revision = 0;
    std::vector<base::node_id> in_force;
    std::vector<base::node_id> missing;
};

/// @brief One node of the query tier, without input or output.
///
/// All methods are called on one thread.
class node final : private outbox
{
  public:
    /// @brief Receives the outcome of submit_keyed().
    using keyed_handler =
        std::function<void(const idempotency::keyed_outcome&)>;

    /// @brief Receives the outcome of change().
    using change_handler = std::function<void(base::result<change_outcome>)>;

    /// @brief Creates a node that does nothing until start().
    /// @param settings the node's settings
    /// @param ports the node's environment; must outlive the node
    node(node_settings settings, node_ports ports);

    /// @brief Starts reading the configuration and joining the fleet.
    void start();

    /// @brief Shuts down gracefully: waits for accepted work to end, up to a
    ///        time limit.
    /// @param done called once the process may exit
    void stop(std::function<void()> done);

    /// @brief Processes a message from a peer.
    /// @param from the peer, as authenticated by its link
    /// @param message the message
    void on_message(const base::node_id& from, messages::peer_message message);

    /// @brief Handles the loss of a link to a peer.
    /// @param peer the peer
    void on_link_down(const base::node_id& peer);

    /// @brief Handles a connection refused at a peer's address.
    /// @param peer the peer
    void on_peer_refused(const base::node_id& peer)
    {
        this->control.record_ended(peer);
    }

    /// @brief Runs a caller's query.
    /// @param key_sha256 digest of the caller's key
    /// @param call the query
    /// @param done receives the answer, exactly once; its code is ok, or
    ///        unknown_credentials, service_not_in_plan, rate_exceeded,
    ///        concurrency_exceeded, plan_unavailable, node_not_ready,
    ///        node_stopping or overloaded; with each of these errors the query
    ///        was not run
    void query(const std::string& key_sha256,
               query_call call,
               query::answer_handler done);

    /// @brief Issues a key for submit_keyed().
    /// @param key_sha256 digest of the caller's key
    /// @return the encoded key, or unknown_credentials / node_not_ready
    base::result<std::string> issue_key(const std::string& key_sha256);

    /// @brief Runs a request at most once.
    /// @param key_sha256 digest of the caller's key
    /// @param call the request
    /// @param done receives the outcome, exactly once
    void submit_keyed(const std::string& key_sha256,
                      const keyed_call& call,
                      keyed_handler done);

    /// @brief Returns the node addresses that a caller should use.
    /// @param key_sha256 digest of the caller's key
    /// @return the addresses, or unknown_credentials / node_not_ready
    [[nodiscard]] base::result<addresses::address_answer>
    addresses(const std::string& key_sha256) const;

    /// @brief Changes one item of the configuration.
    /// @param call the change
    /// @param done receives the outcome once a majority has it in force, or
    ///        invalid_value, unknown_field, revision_conflict,
    ///        platform_unreachable, platform_answer_lost or not_in_force
    void change(change_call call, change_handler done);

    /// @brief Authenticates an operator.
    /// @param key_sha256 digest of the operator's key
    /// @return the operator's name, or unknown_credentials
    [[nodiscard]] base::result<std::string>
    authenticate_operator(const std::string& key_sha256) const;

    /// @brief Tells whether the node may take new work.
    [[nodiscard]] bool is_ready() const
    {
        return this->control.may_act();
    }

    /// @brief Tells whether stop() was called.
    [[nodiscard]] bool is_stopping() const
    {
        return this->stopping;
    }

    /// @brief The node's control plane, for status pages.
    [[nodiscard]] const control::control_plane& control_state() const
    {
        return this->control;
    }

    /// @brief The node's shares, for status pages.
    [[nodiscard]] const placement::share_table& share_state() const
    {
        return this->shares.table();
    }

    /// @brief The node's dispatcher, for status pages.
    [[nodiscard]] const dispatch::dispatcher& dispatch_state() const
    {
        return this->dispatcher;
    }

    /// @brief The routing table in force, for status pages.
    [[nodiscard]] const placement::routing_table& route_state() const
    {
        return this->routes;
    }

    /// @brief The node's counters.
    [[nodiscard]] const base::counters& counter_state() const
    {
        return this->counters;
    }

    /// @brief The number of queries in progress.
    [[nodiscard]] std::size_t open_queries() const
    {
        return this->coordinator.open_queries();
    }

  private:
    struct pending_change
    {
        base::revision revision = 0;
        base::time_point deadline;
        base::duration wait{};
        base::time_point wait_until;
        change_handler done;
    };

    struct pending_keyed
    {
        keyed_handler done;
        base::node_id node;
        ports::timer_id timeout = ports::no_timer;
    };

    void send(const base::node_id& to, messages::peer_message message) override;

    void on_control_change(const control::control_change& change);
    void on_shares_changed();
    void on_tick();
    void pull_from_seeds();
    void continue_stop();
    [[nodiscard]] bool may_close(base::duration elapsed) const;

    void handle(const base::node_id& from, messages::work_batch message);
    void handle(const base::node_id& from, messages::result_batch message);
    void handle(const base::node_id& from, const messages::probe& message);
    void handle(const base::node_id& from,
                const messages::probe_reply& message);
    void handle(const base::node_id& from,
                const messages::config_pull& message);
    void handle(const base::node_id& from,
                const messages::config_push& message);
    void handle(const base::node_id& from,
                const messages::share_claim& message);
    void handle(const base::node_id& from,
                const messages::share_grant& message);
    void handle(const base::node_id& from, const messages::work_slow& message);
    void handle(const base::node_id& from,
                const messages::work_cancel& message);
    void handle(const base::node_id& from,
                const messages::work_waiting& message);
    void handle(const base::node_id& from,
                const messages::work_wanted& message);
    void handle(const base::node_id& from,
                const messages::admit_request& message);
    void handle(const base::node_id& from,
                const messages::admit_reply& message);
    void handle(const base::node_id& from,
                const messages::admit_release& message);
    void handle(const base::node_id& from,
                const messages::keyed_request& message);
    void handle(const base::node_id& from,
                const messages::keyed_reply& message);
    void handle(const base::node_id& from,
                const messages::crash_notice& message);
    void handle(const base::node_id& from, const messages::crash_ack& message);

    struct identity
    {
        std::string customer;
        config::plan plan;
    };

    [[nodiscard]] base::result<identity>
    authenticate(const std::string& key_sha256) const;
    [[nodiscard]] base::result_code refusal_for_new_work() const;
    void admit_and_query(const identity& caller,
                         query::query_request request,
                         query::answer_handler done);
    void run_keyed(const std::string& customer,
                   const std::string& key,
                   const std::string& service,
                   const std::string& body,
                   base::duration time_left,
                   keyed_handler done);
    void forward_keyed(const base::node_id& to,
                       messages::keyed_request request,
                       keyed_handler done);
    void finish_forwarded(std::uint64_t id,
                          const idempotency::keyed_outcome& outcome);
    void on_written(const change_call& call,
                    const change_handler& done,
                    const base::result<base::revision>& written);
    void read_back(const change_call& call,
                   const change_handler& done,
                   base::time_point deadline);
    void await_in_force(base::revision revision,
                        base::duration wait,
                        change_handler done);
    void check_changes();

    node_settings settings;
    node_ports ports;
    base::counters counters;
    quarantine::crash_history crashes;
    placement::routing_table routes;
    control::control_plane control;
    control::share_reconciler shares;
    dispatch::dispatcher dispatcher;
    query::coordinator coordinator;
    limits::plan_limiter limiter;
    limits::admission admission;
    idempotency::idempotency_table keyed_requests;

    std::vector<pending_change> changes;
    std::map<std::uint64_t, pending_keyed> forwarded;
    std::uint64_t next_forward_id;
    bool was_ready = false;
    bool stopping = false;
    bool closing = false; ///< takes no new work; accepted work may finish
    bool removing_self = false;
    base::time_point stop_started;
    std::function<void()> on_stopped;
};

} // namespace hawthornrelay::core::node
