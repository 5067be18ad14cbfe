/// @file
/// @brief The decoded configuration.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/time.hpp>

namespace hawthornrelay::core::config
{

/// @brief One target that serves a service.
struct replica
{
    std::string address;  ///< `host:port` of the target
    std::string zone;     ///< availability zone of its VM
    std::string vm;       ///< name of its VM
    bool leaving = false; ///< gets no new work
};

/// @brief One shard of the search index and the replicas that serve it.
struct service
{
    std::uint32_t slots = 1;            ///< concurrent requests when warm
    std::uint32_t connection_limit = 1; ///< connections per replica
    std::vector<replica> replicas;
};

/// @brief Services and limits granted to the customers of a plan.
struct plan
{
    std::set<std::string> services;
    double rate = 0;               ///< queries per second
    std::uint32_t burst = 1;       ///< token bucket size, in queries
    std::uint32_t concurrency = 1; ///< concurrent queries
    bool urgent = false;           ///< has priority over other work
};

/// @brief A customer's plan and the credential that identifies it.
struct customer
{
    std::string plan;
    std::string key_sha256; ///< lower-case hexadecimal digest
};

/// @brief An operator, who may change the configuration.
struct admin
{
    std::string key_sha256; ///< lower-case hexadecimal digest
};

/// @brief The configuration set by the operators, at one revision.
struct document
{
    std::map<std::string, service> services;
    std::map<std::string, plan> plans;
    std::map<std::string, customer> customers;
    std::map<std::string, admin> operators;
    std::set<std::string> zones_out;
    std::set<std::string> vms_out;

    std::map<std::string, std::string> customer_by_key;
    std::map<std::string, std::string> operator_by_key;

    /// @brief Tells whether a replica may get new work.
    /// @param target the replica
    /// @return false if it, its VM or its zone is out of service
    [[nodiscard]] bool accepts_work(const replica& target) const
    {
        return !target.leaving && !this->zones_out.contains(target.zone) &&
               !this->vms_out.contains(target.vm);
    }
};

} // namespace hawthornrelay::core::config
