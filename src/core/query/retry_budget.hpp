/// @file
/// @brief Limits hedges and retries to a fraction of the first attempts.
#pragma once

#include <algorithm>

namespace hawthornrelay::core::query
{

/// @brief Token budget: each first attempt earns a fraction of a token, each
///        extra attempt spends a whole one.
class retry_budget
{
  public:
    /// @brief Creates a budget with all of its burst available.
    /// @param ratio extra attempts per first attempt
    /// @param burst the most tokens saved up
    retry_budget(double ratio, double burst)
        : ratio(ratio), burst(burst), tokens(burst)
    {
    }

    /// @brief Adds the tokens that first attempts earn.
    /// @param attempts the number of first attempts
    void earn(std::size_t attempts)
    {
        this->tokens = std::min(
            this->burst,
            this->tokens + this->ratio * static_cast<double>(attempts));
    }

    /// @brief Spends one token.
    /// @return false when there is none; the extra attempt must not be sent
    [[nodiscard]] bool spend()
    {
        if (this->tokens < 1)
        {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

  private:
    double ratio;
    double burst;
    double tokens;
};

} // namespace hawthornrelay::core::query
