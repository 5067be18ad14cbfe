/// @file
/// @brief Token bucket rate limiter.
#pragma once

#include <algorithm>

#include <core/base/time.hpp>

namespace hawthornrelay::core::limits
{

/// @brief A token bucket that starts empty, so that a change of holder does
///        not grant a second burst.
class token_bucket
{
  public:
    /// @brief Creates an empty bucket.
    /// @param rate tokens per second
    /// @param burst the capacity in tokens
    /// @param now the current time
    token_bucket(double rate, double burst, base::time_point now)
        : rate(rate), burst(burst), updated(now)
    {
    }

    /// @brief Changes the rate and burst; tokens above the burst are lost.
    /// @param new_rate tokens per second
    /// @param new_burst the capacity in tokens
    /// @param now the current time
    void configure(double new_rate, double new_burst, base::time_point now)
    {
        this->refill(now);
        this->rate = new_rate;
        this->burst = new_burst;
        this->tokens = std::min(this->tokens, new_burst);
    }

    /// @brief Takes one token.
    /// @param now the current time
    /// @return false when less than one token is available
    [[nodiscard]] bool take(base::time_point now)
    {
        this->refill(now);
        if (this->tokens < 1)
        {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

    /// @brief Returns a token that was taken but not used.
    void put_back()
    {
        this->tokens = std::min(this->burst, this->tokens + 1);
    }

  private:
    void refill(base::time_point now)
    {
        const std::chrono::duration<double> elapsed = now - this->updated;
        this->tokens =
            std::min(this->burst, this->tokens + elapsed.count() * this->rate);
        this->updated = now;
    }

    double rate;
    double burst;
    double tokens = 0;
    base::time_point updated;
};

} // namespace hawthornrelay::core::limits
