/// @file
/// @brief Compares the responses of a new version with those of earlier ones.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/rollout.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The result of a comparison.
enum class rollout_verdict
{
    undecided, ///< too few responses
    good,      ///< no worse than the earlier versions so far
    bad,
};

/// @brief Merges the counts of all nodes for one order and compares the new
///        version with the earlier ones on each route and in each zone.
///
/// Comparison within a route, a zone and a short time keeps a slow zone, or a
/// route with failures of its own, from counting against the new version. The
/// recent past is also judged by itself, as a version may become bad later.
class rollout_judge
{
  public:
    /// @brief Replaces the counts of a node.
    /// @param node the node
    /// @param incarnation counts of an earlier one are kept beside these
    /// @param counts cumulative counts, all for this judge's order
    void on_counts(const std::string& node,
                   std::uint64_t incarnation,
                   const std::vector<rollout_count>& counts);

    /// @brief Divides the time into slices that are compared by themselves; to
    ///        be called several times a second.
    void record(base::time_point now);

    /// @brief The verdict on all responses and on those of recent periods.
    [[nodiscard]] rollout_verdict verdict() const;

    /// @brief Responses of the new version that failed or were slow.
    [[nodiscard]] std::uint64_t bad_responses() const;

  private:
    /// Route, zone and replica.
    using group = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
    using totals = std::map<group, rollout_count>;

    /// Bad responses beyond those expected from the earlier versions.
    struct excess
    {
        double responses = 0;
        double bad = 0;
        double variance = 0;

        void add(const excess& other);
        [[nodiscard]] double deviations() const;
    };

    /// Whether latencies are compared, route and replica.
    using excess_key = std::tuple<bool, std::uint32_t, std::uint32_t>;
    using excesses = std::map<excess_key, excess>;

    [[nodiscard]] totals sum() const;
    /// Compares the responses since the slice began.
    [[nodiscard]] excesses compare_slice(const totals& all) const;
    [[nodiscard]] static rollout_verdict judge(const excesses& period);

    std::map<std::pair<std::string, std::uint64_t>, totals> counts_by_node;
    totals slice_start; ///< totals when the slice began
    base::time_point slice_began{};
    base::time_point recorded_at{};
    excesses earlier_slices; ///< sum over all ended slices
    std::deque<std::pair<base::time_point, excesses>> recent_slices;
};

} // namespace hawthornrelay::core::relay
