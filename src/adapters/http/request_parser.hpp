/// @file
/// @brief Incremental parser of HTTP requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include <adapters/http/message.hpp>

namespace hawthornrelay::adapters::http
{

/// @brief Parses one request into a request structure.
///
/// Beast's own field container throws if a value has more than 65,533 bytes,
/// which the configured limit on headers may allow.
class request_parser final : public boost::beast::http::basic_parser<true>
{
  public:
    using error_code = boost::beast::error_code;

    request_parser() = default;

    /// @brief What has been parsed so far.
    [[nodiscard]] const request& parsed() const
    {
        return this->result;
    }

    /// @brief Takes the request. Requires is_done().
    request release()
    {
        return std::move(this->result);
    }

    /// @brief HTTP version in Beast's form: 11 for HTTP/1.1.
    [[nodiscard]] unsigned version() const
    {
        return this->http_version;
    }

  private:
    using string_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method,
                         string_view method_text,
                         string_view target,
                         int version,
                         error_code& error) override;
    void on_response_impl(int status,
                          string_view reason,
                          int version,
                          error_code& error) override;
    void on_field_impl(boost::beast::http::field name,
                       string_view name_text,
                       string_view value,
                       error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& content_length,
                           error_code& error) override;
    std::size_t on_body_impl(string_view body, error_code& error) override;
    void on_chunk_header_impl(std::uint64_t size,
                              string_view extensions,
                              error_code& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining,
                                   string_view body,
                                   error_code& error) override;
    void on_finish_impl(error_code& error) override;

    request result;
    unsigned http_version = 11;
    bool has_header = false;
};

} // namespace hawthornrelay::adapters::http
