/// @file
/// @brief The shares of a node, and their transfer between nodes.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/messages.hpp>

namespace hawthornrelay::core::placement
{

/// @brief State machine of each share, which one node at a time may hold.
///
/// A share that placement assigns to this node starts as `waiting`. It becomes
/// `held` on a grant from its previous holder, or once every node that might
/// still consider itself the holder has stopped acting. A node whose share is
/// assigned elsewhere drains its work, then grants the share to the first
/// claimant; later claimants are referred to that node.
class share_table
{
  public:
    /// @brief The phase of a share on this node.
    enum class state
    {
        waiting,
        held,
        draining,
        given
    };

    /// @brief One share's record.
    struct share
    {
        state phase = state::waiting;
        base::node_id counterpart; ///< node to claim from, or granted to
        base::revision epoch = 0;  ///< epoch of the last change of phase
        bool was_held = false;     ///< held by this node before draining
        /// When it may be acquired without a grant; set while waiting.
        std::optional<base::time_point> free_at;
    };

    /// @brief Assigns a share to this node.
    /// @param id the share
    /// @param epoch the epoch that assigns it
    /// @param previous the node to claim it from; an empty name if unknown;
    ///        std::nullopt if no node can have held it before
    /// @return true when the share is held at once
    bool assign(const base::share_id& id,
                base::revision epoch,
                const std::optional<base::node_id>& previous);

    /// @brief Starts draining a share that is no longer assigned to this node.
    /// @param id the share
    /// @param epoch the epoch that assigns it elsewhere
    void withdraw(const base::share_id& id, base::revision epoch);

    /// @brief Answers another node's claim.
    /// @param claim the claim
    /// @param claimant the node that sent it
    /// @param epoch the epoch this node has in force
    /// @param in_flight work of this node still at the replica
    /// @return the answer, or std::nullopt while it cannot be decided
    std::optional<messages::share_grant>
    answer(const messages::share_claim& claim,
           const base::node_id& claimant,
           base::revision epoch,
           std::size_t in_flight);

    /// @brief Processes the answer to a claim of this node.
    /// @param grant the answer
    /// @param from the node that sent it
    /// @return true when the share became held
    bool receive(const messages::share_grant& grant, const base::node_id& from);

    /// @brief Lets a waiting share whose last holder has ended be acquired
    ///        without a grant.
    /// @param id the share
    /// @param when the time by which the holder's work has ended
    void free_after(const base::share_id& id, base::time_point when);

    /// @brief Acquires every waiting share whose `free_at` has passed.
    /// @param now the current time
    /// @return the shares that became held
    std::vector<base::share_id> acquire_free(base::time_point now);

    /// @brief Acquires every waiting share whose earlier holders are fenced.
    /// @param epoch shares assigned after this epoch keep waiting
    /// @return the shares that became held
    std::vector<base::share_id> acquire_fenced(base::revision epoch);

    /// @brief Returns every held share to `waiting`, because another node may
    ///        have acquired it while this one did not act.
    /// @param epoch the epoch in force
    void suspend(base::revision epoch);

    /// @brief Tells whether this node may use a share.
    /// @param id the share
    /// @return true only in the phase `held`
    [[nodiscard]] bool is_held(const base::share_id& id) const;

    /// @brief One share's record.
    /// @param id the share
    /// @return the record, or nullptr for a share never seen here
    [[nodiscard]] const share* find(const base::share_id& id) const;

    /// @brief Every record.
    /// @return the records by replica
    [[nodiscard]] const std::map<base::share_id, share>& all() const
    {
        return this->shares;
    }

  private:
    std::map<base::share_id, share> shares;
};

} // namespace hawthornrelay::core::placement
