/// @file
/// @brief A limit on requests that a replica names in its answers.
#pragma once

#include <cstddef>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief A replica's limit on requests of all nodes together, and this node's
///        use of its part.
///
/// A node's part is a token bucket of one token, so that in any window each
/// node sends at most one request more than its rate allows. Few nodes share a
/// low limit, since a request of each at the same moment would exceed it.
class replica_limit
{
  public:
    /// @brief Creates a limit without a token.
    /// @param per_second requests a second that the replica takes
    /// @param now the current time
    replica_limit(double per_second, base::time_point now);

    /// @brief Requests a second that the replica takes from all nodes.
    [[nodiscard]] double per_second() const
    {
        return this->rate;
    }

    /// @brief Records that the replica has named its limit again.
    void on_named(double per_second, base::time_point now);

    /// @brief True if the replica has not named the limit for so long that it
    ///        no longer applies.
    [[nodiscard]] bool has_expired(base::time_point now) const;

    /// @brief True if the replica should be asked whether the limit applies.
    [[nodiscard]] bool is_stale(base::time_point now) const;

    /// @brief The largest number of nodes that may share the limit.
    [[nodiscard]] std::size_t max_users() const;

    /// @brief Takes one request from this node's part.
    /// @param users number of nodes that share the limit
    /// @param now the current time
    /// @return false if the replica must not get a request now
    bool try_take(std::size_t users, base::time_point now);

    /// @brief Time until the next request is allowed.
    /// @param users number of nodes that share the limit
    /// @param now the current time
    [[nodiscard]] base::duration until_next(std::size_t users,
                                            base::time_point now) const;

  private:
    [[nodiscard]] double tokens_at(std::size_t users,
                                   base::time_point now) const;

    double rate;
    double tokens = 0;
    base::time_point refilled_at;
    base::time_point named_at;
};

} // namespace hawthornrelay::core::relay
