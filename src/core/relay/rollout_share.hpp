/// @file
/// @brief Divides a service's requests between versions during a roll-out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <core/base/time.hpp>
#include <core/dispatch/latency_window.hpp>
#include <core/relay/replica_registry.hpp>
#include <core/relay/rollout.hpp>
#include <core/relay/rollout_control.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Candidates for a send, in the order in which they are to be used.
struct version_choice
{
    std::vector<replica_ptr> preferred;
    std::vector<replica_ptr> fallback; ///< used if no preferred one is free
};

/// @brief One service's share between versions at this node, and the counts of
///        the responses.
///
/// The target version gets requests only while the decider's grant is fresh.
/// Each node keeps the bound for its own requests, so it holds for all nodes
/// together.
class rollout_share
{
  public:
    /// @brief Creates the share of a service without an order.
    explicit rollout_share(std::string service);

    /// @brief Sets or removes the order.
    void set_order(std::optional<rollout_order> order, base::time_point now);

    /// @brief Sets or removes the stored status.
    void set_status(std::optional<rollout_status> status, base::time_point now);

    /// @brief Sets the part of the requests that a bad version may get.
    /// @param bounds bounds over all nodes
    /// @param entry_count number of nodes that divide the slack
    void set_bounds(const rollout_bounds& bounds, unsigned entry_count);

    /// @brief Applies a grant unless a later decider has issued one.
    void on_grant(const rollout_grant& grant, base::time_point now);

    /// @brief The stage in force, hold without a fresh grant.
    [[nodiscard]] rollout_stage stage(base::time_point now) const;

    /// @brief The last grant with its present age, nullopt without one.
    [[nodiscard]] std::optional<rollout_grant>
    last_grant(base::time_point now) const;

    /// @brief Time since a node first knew the order.
    [[nodiscard]] base::duration order_age(base::time_point now) const;

    /// @brief Selects the replicas that may get the next send.
    /// @param candidates usable replicas of the service
    /// @param is_repeated whether the part has been sent before; it is sent to
    ///        the earlier versions then, if possible
    /// @param has_other_version whether another version than the target is
    ///        registered
    /// @param now the current time
    [[nodiscard]] version_choice
    split(const std::vector<replica_ptr>& candidates,
          bool is_repeated,
          bool has_other_version,
          base::time_point now) const;

    /// @brief Counts a send.
    /// @return the order that it counts for, 0 for none
    std::uint64_t on_sent(const replica_record& to);

    /// @brief Counts the end of a send.
    /// @param order the order that the send counts for, from on_sent()
    /// @param from the replica
    /// @param route name of the route
    /// @param is_response false if nothing shows how the replica performs
    /// @param is_failed whether the response is a failure
    /// @param elapsed time since the send
    void on_settled(std::uint64_t order,
                    const replica_record& from,
                    std::string_view route,
                    bool is_response,
                    bool is_failed,
                    base::duration elapsed);

    /// @brief The counts for the order in force.
    [[nodiscard]] std::vector<rollout_count> counts() const;

    /// @brief Versions that carried the traffic before the order; empty if
    ///        unknown.
    [[nodiscard]] const std::set<std::string>& base_versions() const
    {
        return this->base;
    }

    [[nodiscard]] const std::optional<rollout_order>& order() const
    {
        return this->current_order;
    }

    [[nodiscard]] const std::optional<rollout_status>& status() const
    {
        return this->current_status;
    }

    /// @brief Whether the order has a stored status.
    [[nodiscard]] bool has_status_of_order() const;

    /// @brief Whether the order has neither been completed nor rolled back.
    [[nodiscard]] bool is_open() const;

    /// @brief Sends to the earlier versions without a response.
    [[nodiscard]] std::uint32_t pending_to_base() const
    {
        return this->base_pending;
    }

  private:
    [[nodiscard]] bool is_allowed(const std::string& version) const;
    [[nodiscard]] bool is_target(const replica_record& record) const;
    [[nodiscard]] bool has_share() const;
    void start_counts();
    /// Takes the earlier versions from the status, if it names them.
    void find_base();

    std::string service;
    std::uint64_t service_hash;
    std::optional<rollout_order> current_order;
    base::time_point order_known_at{};
    std::optional<rollout_status> current_status;
    std::set<std::string> base;
    rollout_grant grant;
    base::time_point granted_at{}; ///< when the decider issued it
    rollout_bounds bounds;
    unsigned entry_count = 1;
    std::uint64_t sends = 0;        ///< since the order
    std::uint64_t target_sends = 0; ///< of these, to the target version
    std::uint32_t base_pending = 0;
    /// Route, zone and replica.
    using group = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
    std::map<group, rollout_count> count_by_group;
    /// Latencies of the earlier versions, by route and zone.
    std::map<std::pair<std::uint32_t, std::uint32_t>, dispatch::latency_window>
        base_latencies;
};

} // namespace hawthornrelay::core::relay
