/// @file
/// @brief The credit of one organisation in the shares that a node may spend.
#pragma once

#include <string>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/quota_message.hpp>
#include <core/relay/quota_shares.hpp>

namespace hawthornrelay::core::relay
{

/// @brief One token bucket per share, spent together.
///
/// A bucket is filled from the time at which its share was last free of use, so
/// that a share that changes hands never counts twice.
class quota_account
{
  public:
    /// @brief Fills the buckets.
    /// @param limit the limit over all nodes
    /// @param shares the shares that may be spent now; credit of others lapses
    /// @param now the current time
    void update(const quota_limit& limit,
                const std::vector<quota_share>& shares,
                base::time_point now);

    /// @brief The credit in all buckets.
    [[nodiscard]] double available() const;

    /// @brief Requests per second by which the buckets are filled.
    [[nodiscard]] double rate() const
    {
        return this->total_rate;
    }

    /// @brief Fraction of the quota in the shares, 0 to 1.
    [[nodiscard]] double fraction() const
    {
        return this->total_fraction;
    }

    /// @brief The time in which the credit left in a share comes in;
    ///        duration::max() if the bucket is full or there is none.
    [[nodiscard]] base::duration unspent_time(const std::string& lender) const;

    /// @brief True if every bucket is full.
    [[nodiscard]] bool is_full() const;

    /// @brief Takes credit out of all buckets in proportion.
    /// @param amount at most available()
    void spend(double amount);

    /// @brief Returns unused credit; what does not fit is lost.
    void put_back(double amount);

  private:
    struct bucket
    {
        quota_share share;
        double credit = 0;
        double capacity = 0;
        double rate = 0;
        base::time_point filled_at{};
    };

    std::vector<bucket> buckets;
    double total_rate = 0;
    double total_fraction = 0;
};

} // namespace hawthornrelay::core::relay
