/// @file
/// @brief The HTTP interface for callers and operators.
#pragma once

#include <string>
#include <string_view>

#include <adapters/http/message.hpp>
#include <adapters/http/server.hpp>
#include <core/base/result.hpp>
#include <core/node/node.hpp>

namespace hawthornrelay::adapters::api
{

/// @brief Routes HTTP requests to a node and builds the responses.
class api
{
  public:
    /// @brief Creates the interface of a node.
    /// @param node the node; it must outlive this object
    explicit api(core::node::node& node);

    /// @brief Handles one request.
    /// @param message the request
    /// @param respond receives the response, exactly once
    void handle(const http::request& message, const http::responder& respond);

    /// @brief Builds the response to a failed request.
    /// @param code the error code
    /// @param detail the error in words, or the name it is about
    /// @return a response with the matching HTTP status
    static http::response error_response(core::base::result_code code,
                                         const std::string& detail);

  private:
    void handle_caller(const http::request& message,
                       const std::string& path,
                       const http::responder& respond);
    void handle_operator(const http::request& message,
                         const std::string& path,
                         const std::string& query,
                         const http::responder& respond);
    void addresses(const http::request& message,
                   const http::responder& respond);
    void query(const http::request& message, const http::responder& respond);
    void issue_key(const http::request& message,
                   const http::responder& respond);
    void keyed_request(const http::request& message,
                       const http::responder& respond);
    void read_item(const std::string& item, const http::responder& respond);
    void change_item(const http::request& message,
                     const std::string& item,
                     const std::string& query,
                     const http::responder& respond);
    void list_items(const http::responder& respond);
    void status(const http::responder& respond);
    void metrics(const http::responder& respond);
    void ready(const http::responder& respond);

    core::node::node& node;
};

/// @brief Maps a result code to an HTTP status.
/// @param code the code
/// @return the status; 503 for codes without a mapping of their own
unsigned http_status(core::base::result_code code);

} // namespace hawthornrelay::adapters::api
