#include <core/dispatch/latency_window.hpp>

#include <algorithm>

namespace hawthornrelay::core::dispatch
{

void latency_window::add(base::duration sample)
{
    this->samples[this->count % capacity] = sample;
    ++this->count;
    const auto value = static_cast<double>(sample.count());
    this->average_us =
        this->count == 1
            ? value
            : this->average_us + smoothing_factor * (value - this->average_us);
}

base::duration latency_window::quantile(double fraction,
                                        base::duration fallback) const
{
    if (this->count < min_samples)
    {
        return fallback;
    }
    const bool is_cached = this->cached_fraction == fraction &&
                           this->count - this->cached_at < refresh_interval;
    if (is_cached)
    {
        return this->cached;
    }
    auto sorted = this->samples;
    const auto stored = std::min(this->count, capacity);
    const auto rank =
        static_cast<std::ptrdiff_t>(fraction * static_cast<double>(stored - 1));
    std::nth_element(sorted.begin(),
                     sorted.begin() + rank,
                     sorted.begin() + static_cast<std::ptrdiff_t>(stored));
    this->cached = sorted[static_cast<std::size_t>(rank)];
    this->cached_fraction = fraction;
    this->cached_at = this->count;
    return this->cached;
}

base::duration latency_window::mean(base::duration fallback) const
{
    if (this->count == 0)
    {
        return fallback;
    }
    return base::duration(static_cast<base::duration::rep>(this->average_us));
}

} // namespace hawthornrelay::core::dispatch
