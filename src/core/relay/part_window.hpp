/// @file
/// @brief Tells when a node may use its part of a bound over all nodes.
#pragma once

#include <chrono>
#include <optional>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief The time in which a node may use its part of a bound that is dealt in
///        whole requests.
///
/// The parts add up to the bound if each node that sends is counted by the
/// others that do. A node is counted as long as it is registered, and for
/// `retention` after that; it sees the others in its copy of the store. The
/// reasons for the times are in docs/design/cold-replicas.md.
class part_window
{
  public:
    /// @brief How long a node is counted after its registration has ended.
    static constexpr std::chrono::milliseconds retention{12'000};

    /// @brief How long a node uses its part after the store has last confirmed
    ///        its registration.
    static constexpr std::chrono::milliseconds max_unconfirmed{4'500};

    /// @brief How old a node's copy of the store may be.
    static constexpr std::chrono::milliseconds max_copy_age{4'500};

    /// @brief How long a node uses no part after it was registered.
    static constexpr std::chrono::milliseconds join_wait{6'000};

    /// @brief Records that this node has been registered, for the first time or
    ///        again.
    void on_registered(base::time_point now);

    /// @brief Records that the lease of the registration was renewed, so that
    ///        the registration has been there all the while.
    void on_renewed(base::time_point now);

    /// @brief Records that this node has ended its registration.
    void on_ended();

    /// @brief Records that the copy of the store contains all changes up to a
    ///        time.
    void on_copy_current(base::time_point at);

    /// @brief True if the part may be used.
    [[nodiscard]] bool is_open(base::time_point now) const;

  private:
    std::optional<base::time_point> registered_at;
    base::time_point confirmed_at{};
    std::optional<base::time_point> copy_current_at;
};

} // namespace hawthornrelay::core::relay
