/// @file
/// @brief A caller's query and its answer.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>

namespace hawthornrelay::core::query
{

/// @brief A request to one or more services.
struct query_request
{
    std::string customer;
    std::vector<std::string> services; ///< without duplicates
    std::string body;
    base::duration time_left{};
    bool urgent = false;
    bool idempotent = true; ///< false only for a single service
};

/// @brief Outcome of one service's part of a query.
struct shard_answer
{
    std::string service;
    base::result_code code = base::result_code::ok;
    std::string body;
};

/// @brief The merged answer; all parts have the same index version.
struct query_answer
{
    base::result_code code = base::result_code::ok;
    base::index_version version = 0;
    std::vector<shard_answer> shards; ///< in the order of the request
    std::size_t answered = 0;         ///< shards whose code is ok
};

/// @brief Receives the answer, exactly once.
using answer_handler = std::function<void(query_answer)>;

} // namespace hawthornrelay::core::query
