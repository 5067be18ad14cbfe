/// @file
/// @brief Reads and writes the JSON bodies of the HTTP interface.
#pragma once

#include <string>
#include <string_view>

#include <adapters/http/message.hpp>
#include <core/base/result.hpp>
#include <core/idempotency/idempotency_table.hpp>
#include <core/node/node.hpp>
#include <core/query/query.hpp>

namespace hawthornrelay::adapters::api
{

/// @brief Reads the body of `POST /v1/query`.
/// @param text the JSON text
/// @return the call, or malformed_request, unknown_field or deadline_expired
core::base::result<core::node::query_call> read_query(std::string_view text);

/// @brief Reads the body of `POST /v1/requests`.
/// @param text the JSON text
/// @return the call, or malformed_request, unknown_field or deadline_expired
core::base::result<core::node::keyed_call>
read_keyed_call(std::string_view text);

/// @brief Writes the answer to a query with its coverage.
/// @param answer the answer
/// @return the JSON text
std::string write_answer(const core::query::query_answer& answer);

/// @brief Writes the outcome of a request that runs at most once.
/// @param outcome the outcome
/// @return the JSON text
std::string write_outcome(const core::idempotency::keyed_outcome& outcome);

/// @brief Writes the status of a node for operators.
/// @param node the node
/// @return the JSON text
std::string write_status(const core::node::node& node);

/// @brief Writes an error.
/// @param code the error code
/// @param detail the error in words, or the name it is about
/// @return the JSON text
std::string write_error(core::base::result_code code,
                        const std::string& detail);

} // namespace hawthornrelay::adapters::api
