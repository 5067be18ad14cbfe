/// @file
/// @brief The configuration that operators keep: routes, services and limits.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornrelay::core::relay
{

/// @brief One destination of a route that divides its requests.
struct weighted_service
{
    std::string service;
    double weight = 0;
};

/// @brief Where the requests of one host and path prefix go.
struct route
{
    std::string name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash
    bool is_idempotent = false;
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latency_objective{0};
    unsigned priority = 0; ///< 0 is the most urgent
    unsigned max_replicas_per_attempt = 1;
    std::vector<weighted_service> destinations; ///< empty for a search
    std::vector<std::string> shards;            ///< services that a search asks
    std::size_t result_limit = 0; ///< records in a search's answer
    double min_shard_ratio = 1;   ///< least share of shards in an answer

    /// @brief Tells whether requests are answered from all of `shards`.
    [[nodiscard]] bool is_search() const
    {
        return !this->shards.empty();
    }

    /// @brief The least number of shards that make an answer.
    [[nodiscard]] std::size_t min_shards() const;
};

/// @brief What all replicas of a service have in common.
struct service_settings
{
    std::string name;
    std::string health_path;
    unsigned max_connections = 0; ///< for each replica, over all nodes
    std::chrono::milliseconds warm_up{0};
    double cold_requests_per_second = 0; ///< 0: a cold replica has no bound
};

/// @brief Bounds on what a caller may send.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 262144;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// @brief One version of the whole configuration; immutable once in force.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service_settings, std::less<>> services;
    caller_limits limits;
};

/// @brief A configuration that is shared by the requests which began under it.
using configuration_ptr = std::shared_ptr<const configuration>;

/// @brief Finds the route of a request: of the host's routes, the one with the
///        longest prefix.
/// @param config the configuration
/// @param host the Host header, with or without a port
/// @param target the request's path and query
/// @return the route, or nullptr when the configuration names none
const route* find_route(const configuration& config,
                        std::string_view host,
                        std::string_view target);

/// @brief Divides requests over weighted destinations, as evenly in time as
///        the weights allow (smooth weighted round robin).
class weighted_choice
{
  public:
    /// @brief Picks the next destination.
    /// @param destinations the destinations; at least one
    /// @return the chosen one's index
    std::size_t next(const std::vector<weighted_service>& destinations);

  private:
    std::map<std::string, double, std::less<>> credit;
};

} // namespace hawthornrelay::core::relay
