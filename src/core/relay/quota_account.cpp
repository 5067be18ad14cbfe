#include <core/relay/quota_account.hpp>

#include <algorithm>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::time_point;

namespace
{

double to_seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// A full bucket may miss this much to rounding.
constexpr double rounding = 1e-6;

} // namespace

void quota_account::update(const quota_limit& limit,
                           const std::vector<quota_share>& shares,
                           time_point now)
{
    std::vector<bucket> updated;
    updated.reserve(shares.size());
    this->total_rate = 0;
    this->total_fraction = 0;
    for (const auto& share : shares)
    {
        const auto rate = limit.rate_per_second * share.fraction;
        const auto known =
            std::find_if(this->buckets.begin(),
                         this->buckets.end(),
                         [&share](const bucket& item)
                         {
                             return item.share.lender == share.lender &&
                                    item.share.since == share.since;
                         });
        bucket filled{.share = share,
                      .capacity = limit.burst * share.fraction,
                      .rate = rate,
                      .filled_at = now};
        const bool is_known = known != this->buckets.end();
        filled.credit = is_known ? known->credit : 0;
        filled.credit +=
            rate * to_seconds(base::remaining(
                       now, is_known ? known->filled_at : share.since));
        filled.credit = std::min(filled.credit, filled.capacity);
        this->total_rate += rate;
        this->total_fraction += share.fraction;
        updated.push_back(std::move(filled));
    }
    this->buckets = std::move(updated);
}

double quota_account::available() const
{
    double total = 0;
    for (const auto& item : this->buckets)
    {
        total += item.credit;
    }
    return total;
}

bool quota_account::is_full() const
{
    return std::all_of(this->buckets.begin(),
                       this->buckets.end(),
                       [](const bucket& item)
                       {
                           return item.credit >= item.capacity - rounding;
                       });
}

base::duration quota_account::unspent_time(const std::string& lender) const
{
    for (const auto& item : this->buckets)
    {
        if (item.share.lender == lender && item.rate > 0 &&
            item.credit < item.capacity - rounding)
        {
            return std::chrono::duration_cast<base::duration>(
                std::chrono::duration<double>(item.credit / item.rate));
        }
    }
    return base::duration::max();
}

void quota_account::spend(double amount)
{
    const auto total = this->available();
    const auto kept = total > amount ? (total - amount) / total : 0.0;
    for (auto& item : this->buckets)
    {
        item.credit *= kept;
    }
}

void quota_account::put_back(double amount)
{
    for (auto& item : this->buckets)
    {
        const auto part = this->total_fraction > 0
                              ? item.share.fraction / this->total_fraction
                              : 0.0;
        item.credit = std::min(item.capacity, item.credit + amount * part);
    }
}

} // namespace hawthornrelay::core::relay
