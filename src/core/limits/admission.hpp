/// @file
/// @brief Admission control at the entry node.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/messages.hpp>
#include <core/outbox.hpp>
#include <core/placement/routing_table.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::limits
{

/// @brief Services and state of the node that admission uses.
struct admission_context
{
    ports::runtime& runtime;
    outbox& out;
    const placement::routing_table& routes;
    base::node_id self;
    base::incarnation incarnation = 0;
    std::function<bool(const base::node_id&)> is_reachable;
};

/// @brief Requests admission of queries from a customer's home nodes.
///
/// Slices are asked one after the other: first the one that this node holds,
/// if any, otherwise round robin. When a slice refuses or does not answer, the
/// next one is asked, each at most once per query.
class admission
{
  public:
    /// @brief Receives ok and the id for release(), or the refusal.
    using handler = std::function<void(base::result_code, std::uint64_t)>;

    /// @brief Creates an admission without open requests.
    /// @param context what it uses of its node
    explicit admission(admission_context context);

    /// @brief Requests admission of one query.
    /// @param customer the customer
    /// @param plan its plan
    /// @param time_left how long the query may run
    /// @param done receives the outcome, exactly once
    void request(const std::string& customer,
                 const config::plan& plan,
                 base::duration time_left,
                 handler done);

    /// @brief Ends an admission, which frees its place in the plan's
    ///        concurrency.
    /// @param id the id that the handler received
    void release(std::uint64_t id);

    /// @brief Processes a home node's answer.
    /// @param reply the answer
    void on_reply(const messages::admit_reply& reply);

    /// @brief Timeout of one home node's answer.
    static constexpr base::duration reply_timeout =
        std::chrono::milliseconds(60);

  private:
    struct pending
    {
        std::string customer;
        std::vector<base::node_id> home_nodes;
        std::size_t next_slice = 0;
        std::size_t asked_slices = 0;
        base::time_point deadline;
        base::result_code refusal = base::result_code::plan_unavailable;
        handler done;
        ports::timer_id timeout = ports::no_timer;
        std::uint64_t current_slice = 0;
    };

    struct granted
    {
        base::node_id home;
        std::string customer;
    };

    void ask_next(std::uint64_t id);
    void fail(std::uint64_t id);

    admission_context context;
    std::map<std::uint64_t, pending> pending_requests;
    std::map<std::uint64_t, granted> granted_admissions;
    std::uint64_t next_id;
    std::size_t rotation = 0;
};

} // namespace hawthornrelay::core::limits
