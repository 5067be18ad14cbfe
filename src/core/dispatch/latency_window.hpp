/// @file
/// @brief Statistics of recent latencies.
#pragma once

#include <array>
#include <cstddef>

#include <core/base/time.hpp>

namespace hawthornrelay::core::dispatch
{

/// @brief Quantile and moving average over a ring of recent latencies.
class latency_window
{
  public:
    /// @brief Adds a sample, dropping the oldest when full.
    /// @param sample the latency
    void add(base::duration sample);

    /// @brief A quantile of the stored samples.
    /// @param fraction from 0 to 1
    /// @param fallback result when there are too few samples
    /// @return the quantile
    /// @complexity amortized constant; recomputed once per refresh_interval
    ///             samples
    [[nodiscard]] base::duration quantile(double fraction,
                                          base::duration fallback) const;

    /// @brief The exponential moving average of the samples.
    /// @param fallback result when there are no samples
    /// @return the average
    [[nodiscard]] base::duration mean(base::duration fallback) const;

  private:
    static constexpr std::size_t capacity = 256;
    static constexpr std::size_t min_samples = 32;
    static constexpr std::size_t refresh_interval = 32;
    static constexpr double smoothing_factor = 0.1;

    std::array<base::duration, capacity> samples{};
    std::size_t count = 0;
    double average_us = 0;
    mutable double cached_fraction = -1;
    mutable std::size_t cached_at = 0;
    mutable base::duration cached{};
};

} // namespace hawthornrelay::core::dispatch
