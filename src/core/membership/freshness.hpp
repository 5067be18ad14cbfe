/// @file
/// @brief Decides whether a node's configuration is fresh enough to act on.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>
#include <core/membership/member_list.hpp>
#include <core/messages.hpp>

namespace hawthornrelay::core::membership
{

/// @brief The time bounds of the membership rules.
struct freshness_limits
{
    /// How long a configuration counts as current after a verification.
    base::duration verified_for = std::chrono::milliseconds(2000);
    /// Maximum age of an attestation that counts towards a majority.
    base::duration attested_for = std::chrono::milliseconds(1500);
    /// Minimum time without attestations before a node may be removed.
    base::duration silent_for = std::chrono::milliseconds(3000);
    /// Maximum time an accepted piece of work may run.
    base::duration max_work_time = std::chrono::milliseconds(2000);

    /// @brief The wait before a share is acquired without a grant. Once a
    ///        majority has been known to have an epoch for this long, every
    ///        node that has missed it has stopped acting.
    [[nodiscard]] base::duration fence_wait() const
    {
        return this->verified_for + this->attested_for + this->max_work_time;
    }
};

/// @brief Tracks when the configuration was last verified as current, and the
///        attestations of all nodes.
///
/// A node may act for `verified_for` after its configuration was verified as
/// the newest. While the platform is unreachable no verification is possible.
/// Then it acts only while a majority of the member list has attested, within
/// `attested_for`, that the platform is unavailable to them too, and no
/// attestation names a newer configuration than its own. A change is accepted
/// once a majority has applied it, so the two majorities overlap in at least
/// one node, whose attestation reveals the change.
class freshness
{
  public:
    /// @brief The newest known attestation of a node.
    struct attested_state
    {
        base::incarnation incarnation = 0;
        bool platform_away = false;
        bool stopping = false;
        base::revision applied = 0;
        base::time_point made_at; ///< a lower bound of the actual time
    };

    /// @brief Creates a tracker without any verification.
    /// @param limits the time bounds
    /// @param self this node's name
    /// @param incarnation this node's incarnation
    freshness(freshness_limits limits,
              base::node_id self,
              base::incarnation incarnation);

    /// @brief Records that the configuration was current at a time.
    /// @param when a time at or before the verification
    void mark_verified(base::time_point when);

    /// @brief Records a failed call to the platform by this node.
    /// @param when the time of the failure
    void platform_failed(base::time_point when);

    /// @brief Records a successful call to the platform by this node.
    void platform_answered();

    /// @brief Renews this node's own attestation.
    /// @param applied the configuration it has in force
    /// @param stopping whether it will exit
    /// @param now the current time
    void attest(base::revision applied, bool stopping, base::time_point now);

    /// @brief Merges the attestations in the answer to a probe.
    /// @param reported the peer's attestations
    /// @param probe_sent when this node sent the probe; ages are subtracted
    ///        from it, so that neither a slow link nor a pause makes an
    ///        attestation look newer than it is
    void merge(const std::vector<messages::attestation>& reported,
               base::time_point probe_sent);

    /// @brief The newest attestations, for a peer.
    /// @param limit the maximum number to return
    /// @param now the current time
    /// @return the attestations, in no particular order
    [[nodiscard]] std::vector<messages::attestation>
    newest(std::size_t limit, base::time_point now) const;

    /// @brief Tells whether this node may take new work.
    /// @param list the member list in force
    /// @param applied the configuration revision in force
    /// @param now the current time
    /// @return false if its configuration may be outdated
    /// @complexity constant after a recent verification, else linear in members
    [[nodiscard]] bool may_act(const member_list& list,
                               base::revision applied,
                               base::time_point now) const;

    /// @brief Tells whether the configuration was verified recently, by this
    ///        node or by a peer that answered its probe.
    /// @param now the current time
    /// @return true for verified_for after a verification
    [[nodiscard]] bool is_verified(base::time_point now) const;

    /// @brief The time since the last verification.
    /// @param now the current time
    /// @return the age, or std::nullopt before the first verification
    [[nodiscard]] std::optional<base::duration>
    verified_age(base::time_point now) const;

    /// @brief Tells whether a majority has a revision in force.
    /// @param list the member list; removed nodes count while their removal
    ///        is newer than @p settled_epoch
    /// @param revision the revision
    /// @param settled_epoch the newest epoch that a majority is known to have
    /// @param now the current time
    /// @param is_gone tells whether a node's VM no longer exists
    /// @return true when more than half of the counted nodes attest it
    [[nodiscard]] bool
    majority_has(const member_list& list,
                 base::revision revision,
                 base::revision settled_epoch,
                 base::time_point now,
                 const std::function<bool(const member&)>& is_gone) const;

    /// @brief The newest attestation of a node.
    /// @param id the node
    /// @return the attestation, or nullptr if none is known
    [[nodiscard]] const attested_state*
    attestation_of(const base::node_id& id) const;

    /// @brief The time bounds of the membership rules.
    /// @return the limits
    [[nodiscard]] const freshness_limits& bounds() const
    {
        return this->limits;
    }

  private:
    [[nodiscard]] bool majority_lacks_platform(const member_list& list,
                                               base::revision applied,
                                               base::time_point now) const;

    freshness_limits limits;
    base::node_id self;
    base::incarnation incarnation;
    std::optional<base::time_point> verified_at;
    std::optional<base::time_point> failed_at;
    std::map<base::node_id, attested_state> attestations;
};

} // namespace hawthornrelay::core::membership
