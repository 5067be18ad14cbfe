/// @file
/// @brief The state machine of one order to move a service to a version.
#pragma once

#include <chrono>
#include <optional>

#include <core/base/time.hpp>
#include <core/relay/rollout.hpp>
#include <core/relay/rollout_judge.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Bounds of roll-outs from a node's settings.
struct rollout_bounds
{
    /// A bad version gets at most this part of the requests of its service,
    /// over all nodes, plus the slack.
    double share = 0.1;
    double slack = 50;
    /// Nothing is sent to a bad version this long after its 50th bad response.
    std::chrono::milliseconds rollback_timeout{5000};
    /// Time that the replacement of a decider and an outage of the store may
    /// take before a deadline.
    std::chrono::milliseconds max_stretch{15000};
};

/// @brief What the decider knows of a roll-out.
struct rollout_view
{
    base::duration age{}; ///< since the order
    rollout_verdict verdict = rollout_verdict::undecided;
    bool has_target_replica = false; ///< one that can get requests
    /// All entries have moved their traffic and got their last responses from
    /// the earlier versions.
    bool is_drained = false;
    bool is_withdrawn = false; ///< the order was removed
};

/// @brief Decides on one order. It has no timers and does no input or output.
class rollout_control
{
  public:
    /// @brief Starts to decide on an order.
    /// @param order the order
    /// @param bounds the bounds of the node
    rollout_control(const rollout_order& order, const rollout_bounds& bounds);

    /// @brief Advances the state machine.
    /// @param view what is known at present
    /// @param stored the stored state, if it is of this order
    void step(const rollout_view& view,
              const std::optional<rollout_state>& stored);

    /// @brief Interval at which `running` is stored again, with the age of the
    ///        order, for a fleet that loses all its nodes.
    [[nodiscard]] base::duration refresh_interval() const;

    /// @brief The traffic that nodes may send to the target version.
    [[nodiscard]] rollout_stage stage() const
    {
        return this->current_stage;
    }

    /// @brief The state to be stored, nullopt if the stored one is right.
    [[nodiscard]] std::optional<rollout_state> state_to_store() const
    {
        return this->wanted;
    }

    /// @brief Whether the new version was found bad.
    [[nodiscard]] bool is_rejected() const
    {
        return this->has_rejected;
    }

  private:
    [[nodiscard]] base::duration observation_time() const;
    [[nodiscard]] base::duration shift_time() const;

    std::chrono::milliseconds duration;
    rollout_bounds bounds;
    rollout_stage current_stage = rollout_stage::hold;
    std::optional<rollout_state> wanted;
    bool has_rejected = false;
    std::optional<base::duration> shift_began_at; ///< age of the order
    std::optional<base::duration> drain_began_at; ///< age of the order
};

} // namespace hawthornrelay::core::relay
