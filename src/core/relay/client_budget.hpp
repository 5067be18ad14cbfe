/// @file
/// @brief One account of the memory and descriptors that clients hold open.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include <core/base/time.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Limits on what clients hold open, over all listeners of a node.
struct client_limits
{
    std::size_t memory = SIZE_MAX;      ///< in bytes
    std::size_t connections = SIZE_MAX; ///< open connections
    /// A client without progress for this long, or whose request takes longer,
    /// is closed before those that hold less or progress faster.
    base::duration grace = std::chrono::seconds(1);
    /// Receiving or sending less within the timeout is no progress.
    std::size_t progress_bytes = 1024;
    /// Fields of one request; 0 for as many as its header may have.
    std::size_t fields = 0;
    /// Requests that are read ahead on one connection; it is closed at more.
    std::size_t pipelined = 64;
};

/// @brief The part of a process's limits that clients may use, and the limits
///        of each client.
struct client_settings
{
    double memory_share = 0.3;     ///< of the memory limit
    double descriptor_share = 0.6; ///< of the descriptors without reserved ones
    std::chrono::milliseconds grace{1000};
    std::size_t progress_bytes = 1024;
    std::size_t fields = 0;
    std::size_t pipelined = 64;
};

/// @brief Computes the limits of a process.
/// @param settings the shares and the limits of each client
/// @param memory the process's memory limit in bytes
/// @param descriptors the process's descriptors, 0 if they are not limited
/// @return the limits
client_limits limits_of(const client_settings& settings,
                        std::size_t memory,
                        std::size_t descriptors);

/// @brief What a client's connection waits for.
enum class client_phase
{
    unused,    ///< its first request
    kept,      ///< another request after a response
    receiving, ///< the rest of a request
    handling,  ///< the response of a request that was handed over
    sending,   ///< the client to read a response
    closing    ///< the client to close
};

/// @brief Why a client was refused or closed.
enum class client_closure : std::size_t
{
    memory,      ///< memory was needed for another client
    descriptors, ///< a descriptor was needed for another client
    refused,     ///< nothing could be freed for this client
    stalled,     ///< no progress within the timeout
    fields,      ///< more fields than allowed
    pipelined,   ///< too many pipelined requests; closed after a response
    end
};

/// @brief Names on the metrics page, in the order of client_closure.
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(client_closure::end)>
    client_closure_names{
        "memory", "descriptors", "refused", "stalled", "fields", "pipelined"};

/// @brief Charges clients for what they hold and selects which of them to close
///        when a limit is reached.
///
/// Requests that were handed over are never closed. Of the others, those
/// without progress are closed first, then the slowest. Then, for a descriptor,
/// a connection kept without a request is closed, and for memory the largest.
class client_budget
{
  public:
    using client_id = std::uint64_t;

    /// Refuses or closes a client and frees what it holds; returns false if it
    /// must not be closed now. It may call close(), set_phase() and hold().
    using closer = std::function<bool(client_closure)>;

    explicit client_budget(client_limits limits) : bounds(limits)
    {
    }

    client_budget(const client_budget&) = delete;
    client_budget& operator=(const client_budget&) = delete;

    /// @brief Adds a connection, and closes another one if that is necessary.
    /// @param is_protected never to be closed or refused
    /// @param bytes what the connection itself uses
    /// @param now the current time
    /// @param close closes this client
    /// @return its id, or nullopt if it must be refused
    std::optional<client_id> open(bool is_protected,
                                  std::size_t bytes,
                                  base::time_point now,
                                  closer close);

    /// @brief Removes a connection. Unknown ids are ignored.
    void close(client_id id);

    /// @brief Charges a client before it allocates.
    /// @param id the client
    /// @param total the bytes that it will hold in all
    /// @param now the current time
    /// @return false if it must not allocate; its charge is unchanged then
    [[nodiscard]] bool
    try_hold(client_id id, std::size_t total, base::time_point now);

    /// @brief Charges a client for what is allocated already, or was freed.
    ///        Closes clients, possibly this one, while the memory is exceeded.
    void hold(client_id id, std::size_t total, base::time_point now);

    /// @brief Records what a client waits for from now on.
    void set_phase(client_id id, client_phase phase, base::time_point now);

    /// @brief Records that a client has received or sent bytes.
    void on_progress(client_id id, std::size_t bytes, base::time_point now);

    /// @brief Counts a closure that the account has not selected itself.
    void count(client_closure reason)
    {
        ++this->closed[static_cast<std::size_t>(reason)];
    }

    /// @brief Changes the limits for later requests.
    void set_limits(const client_limits& changed)
    {
        this->bounds = changed;
    }

    [[nodiscard]] const client_limits& limits() const
    {
        return this->bounds;
    }

    [[nodiscard]] std::size_t held() const
    {
        return this->used;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return this->clients.size();
    }

    [[nodiscard]] std::uint64_t closures(client_closure reason) const
    {
        return this->closed[static_cast<std::size_t>(reason)];
    }

  private:
    struct client
    {
        bool is_protected = false;
        client_phase phase = client_phase::unused;
        std::size_t bytes = 0;
        std::size_t bytes_since_progress = 0;
        base::time_point phase_since;
        base::time_point progress_at;
        closer close;
    };

    /// Clients of a higher group are closed first.
    enum class group
    {
        none,
        young,
        kept,
        slow,
        stalled
    };

    struct rank
    {
        group in = group::none;
        double weight = 0;

        auto operator<=>(const rank&) const = default;
    };

    [[nodiscard]] rank rank_of(const client& item,
                               client_closure need,
                               base::time_point now) const;
    bool close_one(client_closure need,
                   client_id for_client,
                   bool may_close_itself,
                   base::time_point now);
    [[nodiscard]] bool has_room(std::size_t more) const;

    client_limits bounds;
    std::unordered_map<client_id, client> clients;
    client_id last_id = 0;
    std::size_t used = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(client_closure::end)>
        closed{};
};

} // namespace hawthornrelay::core::relay
