/// @file
/// @brief Incremental parser of HTTP requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

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

    /// @brief Asked before memory is allocated.
    /// @param total the bytes that the request will take in all
    /// @return false to refuse the request
    using allocation_check = std::function<bool(std::size_t total)>;

    request_parser() = default;

    /// @brief Limits what a request allocates.
    /// @param check asked before each allocation
    /// @param max_fields the number of header fields; a larger one fails with
    ///        header_limit
    void limit_allocation(allocation_check check, std::size_t max_fields)
    {
        this->may_allocate = std::move(check);
        this->max_fields = max_fields;
    }

    /// @brief The memory that the request takes.
    [[nodiscard]] std::size_t allocated() const
    {
        return this->allocated_bytes;
    }

    /// @brief True after an allocation was refused.
    [[nodiscard]] bool is_out_of_memory() const
    {
        return this->is_refused;
    }

    /// @brief True after a header had too many fields.
    [[nodiscard]] bool has_too_many_fields() const
    {
        return this->result.fields.size() >= this->max_fields;
    }

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

    bool allocate(std::size_t bytes, error_code& error);

    allocation_check may_allocate;
    std::size_t max_fields = SIZE_MAX;
    std::size_t allocated_bytes = 0;
    bool is_refused = false;
    request result;
    unsigned http_version = 11;
    bool has_header = false;
};

} // namespace hawthornrelay::adapters::http
