#include <core/limits/plan_limiter.hpp>

#include <vector>

#include <core/limits/plan_slices.hpp>

namespace hawthornrelay::core::limits
{

using base::result_code;

result_code plan_limiter::admit(const admission_key& key,
                                const std::string& customer,
                                std::uint32_t slice,
                                const config::document& contents,
                                base::time_point expires,
                                base::time_point now)
{
    const auto known = contents.customers.find(customer);
    if (known == contents.customers.end())
    {
        return result_code::unknown_credentials;
    }
    const auto found = contents.plans.find(known->second.plan);
    if (found == contents.plans.end())
    {
        return result_code::plan_unavailable;
    }
    const auto& plan = found->second;
    const auto count = slice_count(plan);
    if (slice >= count)
    {
        return result_code::plan_unavailable;
    }
    const auto share = slice_share(customer, slice);
    auto& state = this->state_of(share, plan, now);
    if (state.open_count >= part_of(plan.concurrency, count, slice))
    {
        return result_code::concurrency_exceeded;
    }
    if (!state.bucket.take(now))
    {
        return result_code::rate_exceeded;
    }
    if (this->admissions.emplace(key, admission{share, expires}).second)
    {
        ++state.open_count;
    }
    return result_code::ok;
}

void plan_limiter::release(const admission_key& key)
{
    const auto it = this->admissions.find(key);
    if (it == this->admissions.end())
    {
        return;
    }
    const auto slice = this->slices.find(it->second.share);
    if (slice != this->slices.end())
    {
        --slice->second.open_count;
    }
    this->admissions.erase(it);
}

void plan_limiter::expire(base::time_point now)
{
    std::vector<admission_key> ended;
    for (const auto& [key, admission] : this->admissions)
    {
        if (admission.expires <= now)
        {
            ended.push_back(key);
        }
    }
    for (const auto& key : ended)
    {
        this->release(key);
    }
}

std::size_t plan_limiter::open_admissions(const base::share_id& share) const
{
    const auto it = this->slices.find(share);
    return it == this->slices.end() ? 0 : it->second.open_count;
}

plan_limiter::slice_state& plan_limiter::state_of(const base::share_id& share,
                                                  const config::plan& plan,
                                                  base::time_point now)
{
    const auto count = slice_count(plan);
    const double rate = plan.rate / count;
    const double burst = part_of(plan.burst, count, share.index);
    auto& state =
        this->slices
            .try_emplace(share, slice_state{token_bucket(rate, burst, now), 0})
            .first->second;
    state.bucket.configure(rate, burst, now);
    return state;
}

void plan_limiter::apply_shares(const placement::share_table& shares,
                                const config::document& contents,
                                base::time_point now)
{
    std::erase_if(this->slices,
                  [&](const auto& item)
                  {
                      return item.second.open_count == 0 &&
                             !shares.is_held(item.first);
                  });
    for (const auto& [id, share] : shares.all())
    {
        const auto customer = customer_of(id);
        const auto known = contents.customers.find(customer);
        if (known == contents.customers.end() || !shares.is_held(id))
        {
            continue;
        }
        const auto plan = contents.plans.find(known->second.plan);
        if (plan != contents.plans.end())
        {
            this->state_of(id, plan->second, now);
        }
    }
}

} // namespace hawthornrelay::core::limits
