#include <adapters/http/request_parser.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace hawthornrelay::adapters::http
{

namespace bhttp = boost::beast::http;

namespace
{

/// A field takes a node of the map and an element of the list, whose capacity
/// doubles while the old one is still in use, apart from its text.
constexpr std::size_t field_overhead =
    sizeof(header_map::value_type) + 64 + 3 * sizeof(field_list::value_type);

/// Growth of a body: half as much again wastes less than doubling.
constexpr std::size_t min_body_capacity = 4096;

std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(),
                   result.end(),
                   result.begin(),
                   [](unsigned char c)
                   {
                       return std::tolower(c);
                   });
    return result;
}

} // namespace

void request_parser::on_request_impl(bhttp::verb /*method*/,
                                     string_view method_text,
                                     string_view target,
                                     int version,
                                     error_code& error)
{
    if (!this->allocate(method_text.size() + target.size(), error))
    {
        return;
    }
    this->result.method = std::string(method_text);
    this->result.target = std::string(target);
    this->http_version = static_cast<unsigned>(version);
}

void request_parser::on_response_impl(int /*status*/,
                                      string_view /*reason*/,
                                      int /*version*/,
                                      error_code& /*error*/)
{
}

void request_parser::on_field_impl(bhttp::field /*name*/,
                                   string_view name_text,
                                   string_view value,
                                   error_code& error)
{
    // Fields of a trailer are dropped: they concern one connection only, and
    // must not replace those of the header.
    if (!this->has_header)
    {
        if (this->has_too_many_fields())
        {
            error = bhttp::error::header_limit;
            return;
        }
        if (!this->allocate(
                field_overhead + 2 * (name_text.size() + value.size()), error))
        {
            return;
        }
        std::string name(name_text);
        this->result.headers[to_lower(name)] = std::string(value);
        this->result.fields.emplace_back(std::move(name), std::string(value));
    }
}

void request_parser::on_header_impl(error_code& /*error*/)
{
    this->has_header = true;
}

void request_parser::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*content_length*/,
    error_code& /*error*/)
{
}

std::size_t request_parser::on_body_impl(string_view body, error_code& error)
{
    auto& text = this->result.body;
    const auto size = text.size() + body.size();
    if (size > text.capacity())
    {
        const auto capacity = std::max(
            {size, text.capacity() + text.capacity() / 2, min_body_capacity});
        if (!this->allocate(capacity - text.capacity(), error))
        {
            return 0;
        }
        text.reserve(capacity);
    }
    this->result.body.append(body.data(), body.size());
    return body.size();
}

void request_parser::on_chunk_header_impl(std::uint64_t /*size*/,
                                          string_view /*extensions*/,
                                          error_code& /*error*/)
{
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t /*remaining*/,
                                               string_view body,
                                               error_code& error)
{
    return this->on_body_impl(body, error);
}

void request_parser::on_finish_impl(error_code& /*error*/)
{
}

bool request_parser::allocate(std::size_t bytes, error_code& error)
{
    if (this->may_allocate &&
        !this->may_allocate(this->allocated_bytes + bytes))
    {
        this->is_refused = true;
        error = boost::system::errc::make_error_code(
            boost::system::errc::not_enough_memory);
        return false;
    }
    this->allocated_bytes += bytes;
    return true;
}

} // namespace hawthornrelay::adapters::http
