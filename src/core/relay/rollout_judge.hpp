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
/// Comparison within a route and a zone keeps a slow zone, or a route with
/// failures of its own, from counting against the new version. The recent past
/// is also judged by itself, as a version may become bad later.
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

    /// @brief Records the present totals, to judge later periods by
    ///        themselves; to be called several times a second.
    void record(base::time_point now);

    /// @brief The verdict on all responses and on those of recent periods.
    [[nodiscard]] rollout_verdict verdict() const;

    /// @brief Responses of the new version that failed or were slow.
    [[nodiscard]] std::uint64_t bad_responses() const;

  private:
    /// Route, zone and replica.
    using group = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;
    using totals = std::map<group, rollout_count>;

    [[nodiscard]] totals sum() const;
    [[nodiscard]] static rollout_verdict
    compare(const totals& recent, const totals& all, bool by_latency);
    [[nodiscard]] static bool is_bad(const totals& recent,
                                     const totals& all,
                                     std::uint32_t route,
                                     bool by_latency,
                                     double& responses);

    std::map<std::pair<std::string, std::uint64_t>, totals> counts_by_node;
    std::deque<std::pair<base::time_point, totals>> history;
};

} // namespace hawthornrelay::core::relay
