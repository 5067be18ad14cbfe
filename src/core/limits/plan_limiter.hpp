/// @file
/// @brief Admission control at the nodes that hold slices of plans.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/config/document.hpp>
#include <core/limits/token_bucket.hpp>
#include <core/placement/share_table.hpp>

namespace hawthornrelay::core::limits
{

/// @brief Identifies one admitted query.
struct admission_key
{
    base::node_id entry;
    std::uint64_t id = 0;

    friend auto operator<=>(const admission_key&,
                            const admission_key&) = default;
};

/// @brief Enforces rate and concurrency of the slices this node holds.
class plan_limiter
{
  public:
    /// @brief Admits one query or refuses it.
    /// @param key identifies the query
    /// @param customer the customer
    /// @param slice the index of the slice
    /// @param contents the configuration in force
    /// @param expires when the admission ends unless it is released earlier
    /// @param now the current time
    /// @return ok, rate_exceeded, concurrency_exceeded, plan_unavailable or
    ///         unknown_credentials
    /// @complexity logarithmic in open admissions
    base::result_code admit(const admission_key& key,
                            const std::string& customer,
                            std::uint32_t slice,
                            const config::document& contents,
                            base::time_point expires,
                            base::time_point now);

    /// @brief Ends an admission.
    /// @param key identifies the query; ignored when unknown
    void release(const admission_key& key);

    /// @brief Ends the admissions that have expired.
    /// @param now the current time
    void expire(base::time_point now);

    /// @brief Open admissions of a slice.
    /// @param share the slice
    /// @return their number
    [[nodiscard]] std::size_t
    open_admissions(const base::share_id& share) const;

    /// @brief Applies the share table: creates empty buckets for new slices
    ///        and removes those of lost slices without open admissions.
    /// @param shares this node's shares
    /// @param contents the configuration in force
    /// @param now the current time
    void apply_shares(const placement::share_table& shares,
                      const config::document& contents,
                      base::time_point now);

  private:
    struct slice_state
    {
        token_bucket bucket;
        std::uint32_t open_count = 0;
    };

    struct admission
    {
        base::share_id share;
        base::time_point expires;
    };

    slice_state& state_of(const base::share_id& share,
                          const config::plan& plan,
                          base::time_point now);

    std::map<base::share_id, slice_state> slices;
    std::map<admission_key, admission> admissions;
};

} // namespace hawthornrelay::core::limits
