#include <core/relay/configuration.hpp>

#include <algorithm>
#include <cctype>
#include <cmath>

namespace hawthornrelay::core::relay
{

namespace
{

/// Tolerance for rounding errors: 0.89 * 100 gives 89.00000000000001, which
/// must not be rounded up to 90 shards.
constexpr double rounding_slack = 1e-9;

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(),
                      left.end(),
                      right.begin(),
                      right.end(),
                      [](unsigned char a, unsigned char b)
                      {
                          return std::tolower(a) == std::tolower(b);
                      });
}

} // namespace

std::size_t route::min_shards() const
{
    const auto needed = std::ceil(this->min_shard_ratio *
                                      static_cast<double>(this->shards.size()) -
                                  rounding_slack);
    return std::max<std::size_t>(
        1, needed > 0 ? static_cast<std::size_t>(needed) : 0);
}

const route* find_route(const configuration& config,
                        std::string_view host,
                        std::string_view target)
{
    host = host.substr(0, host.rfind(':'));
    const auto path = target.substr(0, target.find('?'));
    const route* best = nullptr;
    for (const auto& candidate : config.routes)
    {
        const bool is_longer =
            best == nullptr || candidate.prefix.size() > best->prefix.size();
        if (is_longer &&
            path.substr(0, candidate.prefix.size()) == candidate.prefix &&
            equals_ignoring_case(candidate.host, host))
        {
            best = &candidate;
        }
    }
    return best;
}

std::size_t
weighted_choice::next(const std::vector<weighted_service>& destinations)
{
    double total = 0;
    std::size_t best = 0;
    double best_credit = 0;
    for (std::size_t i = 0; i < destinations.size(); ++i)
    {
        auto& own_credit = this->credit[destinations[i].service];
        own_credit += destinations[i].weight;
        total += destinations[i].weight;
        if (i == 0 || own_credit > best_credit)
        {
            best = i;
            best_credit = own_credit;
        }
    }
    this->credit[destinations[best].service] -= total;
    return best;
}

} // namespace hawthornrelay::core::relay
