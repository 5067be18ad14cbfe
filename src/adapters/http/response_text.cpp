#include <adapters/http/response_text.hpp>

#include <boost/beast/http/status.hpp>

namespace hawthornrelay::adapters::http
{

namespace bhttp = boost::beast::http;

bool may_have_body(unsigned status)
{
    static constexpr unsigned no_content = 204;
    static constexpr unsigned not_modified = 304;
    return status >= 200 && status != no_content && status != not_modified;
}

void append_field(std::string& head,
                  std::string_view name,
                  std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

std::string write_response_head(const response& reply,
                                const response_framing& framing)
{
    const auto reason =
        bhttp::obsolete_reason(bhttp::int_to_status(reply.status));
    std::string head = framing.version == 10 ? "HTTP/1.0 " : "HTTP/1.1 ";
    head.append(std::to_string(reply.status)).append(" ");
    head.append(reason.data(), reason.size()).append("\r\n");
    if (!reply.content_type.empty())
    {
        append_field(head, "Content-Type", reply.content_type);
    }
    for (const auto& [name, value] : reply.headers)
    {
        append_field(head, name, value);
    }
    for (const auto& [name, value] : reply.fields)
    {
        append_field(head, name, value);
    }
    if (framing.version == 10 && framing.keep_alive)
    {
        append_field(head, "Connection", "keep-alive");
    }
    if (framing.version != 10 && !framing.keep_alive)
    {
        append_field(head, "Connection", "close");
    }
    if (may_have_body(reply.status))
    {
        append_field(head, "Content-Length", std::to_string(reply.body.size()));
    }
    return head.append("\r\n");
}

} // namespace hawthornrelay::adapters::http
