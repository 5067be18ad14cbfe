#include <core/relay/replica_limit.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// A replica that has not named its limit for this long is asked.
constexpr std::chrono::seconds refresh_interval{2};

/// A limit that is not named for this long no longer applies.
constexpr std::chrono::seconds limit_validity{10};

/// The platform accepts a burst of twice the limit and five requests in four
/// seconds; two of them are left for requests that arrive late.
constexpr double users_per_rate = 2;
constexpr std::size_t min_users = 3;

} // namespace

replica_limit::replica_limit(double per_second, time_point now)
    : rate(per_second), refilled_at(now), named_at(now)
{
}

void replica_limit::on_named(double per_second, time_point now)
{
    this->rate = per_second;
    this->named_at = now;
}

bool replica_limit::has_expired(time_point now) const
{
    return now - this->named_at >= limit_validity;
}

bool replica_limit::is_stale(time_point now) const
{
    return now - this->named_at >= refresh_interval;
}

std::size_t replica_limit::max_users() const
{
    return min_users + static_cast<std::size_t>(this->rate * users_per_rate);
}

double replica_limit::tokens_at(std::size_t users, time_point now) const
{
    const auto elapsed = std::chrono::duration<double>(now - this->refilled_at);
    return std::min(1.0,
                    this->tokens + elapsed.count() * this->rate /
                                       static_cast<double>(users));
}

bool replica_limit::try_take(std::size_t users, time_point now)
{
    this->tokens = this->tokens_at(users, now);
    this->refilled_at = now;
    if (this->tokens < 1)
    {
        return false;
    }
    this->tokens -= 1;
    return true;
}

duration replica_limit::until_next(std::size_t users, time_point now) const
{
    const double missing = 1 - this->tokens_at(users, now);
    if (this->rate <= 0)
    {
        return duration::max();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        std::max(0.0, missing) * static_cast<double>(users) / this->rate));
}

} // namespace hawthornrelay::core::relay
