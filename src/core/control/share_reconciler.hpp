/// @file
/// @brief Brings the shares of a node in line with placement.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/control/control_plane.hpp>
#include <core/outbox.hpp>
#include <core/placement/placement.hpp>
#include <core/placement/routing_table.hpp>
#include <core/placement/share_table.hpp>
#include <ports/event_log.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::core::control
{

/// @brief Collaborators and identity of a share reconciler.
struct share_context
{
    ports::runtime& runtime;
    ports::event_log& log;
    outbox& out;
    control_plane& control;
    const placement::routing_table& routes;
    base::node_id self;
    /// Returns how many pieces of work of this node still use a share.
    std::function<std::size_t(const base::share_id&)> in_use;
};

/// @brief Acquires, claims and releases shares as placement assigns them.
class share_reconciler
{
  public:
    /// @brief Creates a reconciler without shares.
    /// @param context its collaborators
    explicit share_reconciler(share_context context);

    /// @brief Claims shares newly assigned to this node and withdraws those
    ///        assigned elsewhere. Call after rebuilding the routing table.
    /// @param change what changed
    void reconcile(const control_change& change);

    /// @brief Repeats claims, and acquires shares that no earlier holder can
    ///        still use.
    /// @return true when a share was acquired
    bool tick();

    /// @brief Answers a claim.
    /// @param from the claimant
    /// @param claim the claim
    void on_claim(const base::node_id& from,
                  const messages::share_claim& claim);

    /// @brief Processes the answer to a claim.
    /// @param from the node that answered
    /// @param grant the answer
    /// @return true when a share was acquired
    bool on_grant(const base::node_id& from,
                  const messages::share_grant& grant);

    /// @brief The shares of this node.
    [[nodiscard]] placement::share_table& table()
    {
        return this->shares;
    }

    /// @brief The shares of this node.
    [[nodiscard]] const placement::share_table& table() const
    {
        return this->shares;
    }

    /// @brief Counts the shares that only this node can release: those it
    ///        holds, and those it held and still drains whose epoch is not
    ///        fenced yet.
    [[nodiscard]] std::size_t unreleased() const;

  private:
    using assignment = std::map<base::share_id, base::node_id>;

    [[nodiscard]] assignment
    place_all(const placement::routing_table& table) const;
    [[nodiscard]] assignment place_before_joining() const;
    [[nodiscard]] std::optional<base::node_id>
    previous_holder(const base::share_id& id,
                    const base::node_id& holder,
                    const control_change& change) const;
    [[nodiscard]] bool is_only_member() const;
    [[nodiscard]] bool is_placement_stable() const;
    [[nodiscard]] bool has_ended(const base::node_id& id) const;
    void suspend_after_inactivity();
    void claim(const base::share_id& id, const base::node_id& from);
    void log_share(base::log_event event,
                   const base::share_id& id,
                   const base::node_id& other);

    share_context context;
    placement::share_table shares;
    assignment placed;
    bool was_member = false;
    base::revision placed_revision = 0;
    base::time_point placed_at; ///< last change of placement on this node
    std::optional<base::time_point> last_active;
};

} // namespace hawthornrelay::core::control
