/// @file
/// @brief The head of an HTTP response as text.
#pragma once

#include <string>

#include <adapters/http/message.hpp>

namespace hawthornrelay::adapters::http
{

/// @brief Properties of the connection that a response is sent on.
struct response_framing
{
    unsigned version = 11; ///< HTTP version of the request, 11 for HTTP/1.1
    bool keep_alive = true;
};

/// @brief Tells whether a response with a status has a body.
[[nodiscard]] bool may_have_body(unsigned status);

/// @brief Writes the status line and the header fields, with the length of the
///        body, which the response to HEAD names but does not contain.
///
/// Beast's own field container throws if a value has more than 65,533 bytes.
[[nodiscard]] std::string write_response_head(const response& reply,
                                              const response_framing& framing);

/// @brief Appends a header field with its line end.
void append_field(std::string& head,
                  std::string_view name,
                  std::string_view value);

} // namespace hawthornrelay::adapters::http
