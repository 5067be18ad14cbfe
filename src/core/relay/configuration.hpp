/// @file
/// @brief The configuration set by operators: routes, services and limits.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/relay/organisation.hpp>

namespace hawthornrelay::core::relay
{

/// @brief One weighted destination of a route.
struct weighted_service
{
    std::string service;
    double weight = 0;
};

/// @brief Routing rule for the requests of one host and path prefix.
struct route
{
    std::string name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash
    bool is_idempotent = false;
    bool is_public = false; ///< needs no API key
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latency_objective{0};
    unsigned priority = 0; ///< 0 is the highest
    /// For one caller's attempt, not for one send to a replica.
    unsigned max_replicas_per_attempt = 1;
    std::vector<weighted_service> destinations; ///< empty for a search
    std::vector<std::string> shards; ///< services queried by a search
    std::size_t result_limit = 0;    ///< maximum records in a search's answer
    double min_shard_ratio = 1; ///< fraction of shards that an answer needs

    /// @brief Tells whether requests are sent to all of `shards`.
    [[nodiscard]] bool is_search() const
    {
        return !this->shards.empty();
    }

    /// @brief The number of shards that an answer needs; at least 1.
    [[nodiscard]] std::size_t min_shards() const;
};

/// @brief Settings common to all replicas of a service.
struct service_settings
{
    std::string name;
    std::string health_path;
    unsigned max_connections = 0; ///< per replica, over all nodes
    std::chrono::milliseconds warm_up{0};
    double cold_requests_per_second = 0; ///< per cold replica; 0: unbounded
};

/// @brief Limits on callers' connections and requests.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 262144;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// @brief One version of the configuration; immutable once in force.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service_settings, std::less<>> services;
    caller_limits limits;
    /// Without a value, requests need no API key.
    std::optional<organisation_directory> organisations;
};

/// @brief A configuration, shared by the requests that started under it.
using configuration_ptr = std::shared_ptr<const configuration>;

/// @brief Finds the route of a request: the host's route with the longest
///        matching prefix.
/// @param config the configuration
/// @param host the Host header, with or without a port
/// @param target the request's path and query
/// @return the route, or nullptr if none matches
const route* find_route(const configuration& config,
                        std::string_view host,
                        std::string_view target);

/// @brief Smooth weighted round robin over weighted destinations.
class weighted_choice
{
  public:
    /// @brief Picks the next destination.
    /// @param destinations the destinations; at least one
    /// @return the index of the chosen destination
    std::size_t next(const std::vector<weighted_service>& destinations);

  private:
    std::map<std::string, double, std::less<>> credit;
};

} // namespace hawthornrelay::core::relay
