#include <core/timeline/log_line.hpp>

#include <algorithm>
#include <charconv>

namespace hawthornrelay::core::timeline
{

namespace
{

using timestamp = std::chrono::sys_time<std::chrono::microseconds>;

/// Length of `2026-01-31T23:59:59.123456Z`.
constexpr std::size_t timestamp_length = 27;

std::optional<int> parse_int(std::string_view digits)
{
    int value = 0;
    const auto* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, value);
    return read.ec == std::errc() && read.ptr == end ? std::optional(value)
                                                     : std::nullopt;
}

std::optional<timestamp> parse_timestamp(std::string_view text)
{
    using namespace std::chrono;
    const bool has_format = text.size() == timestamp_length && text[4] == '-' &&
                            text[10] == 'T' && text.back() == 'Z';
    if (!has_format)
    {
        return std::nullopt;
    }
    const auto y = parse_int(text.substr(0, 4));
    const auto mon = parse_int(text.substr(5, 2));
    const auto d = parse_int(text.substr(8, 2));
    const auto h = parse_int(text.substr(11, 2));
    const auto min = parse_int(text.substr(14, 2));
    const auto s = parse_int(text.substr(17, 2));
    const auto us = parse_int(text.substr(20, 6));
    if (!y || !mon || !d || !h || !min || !s || !us)
    {
        return std::nullopt;
    }
    const year_month_day date{year(*y),
                              month(static_cast<unsigned>(*mon)),
                              day(static_cast<unsigned>(*d))};
    if (!date.ok())
    {
        return std::nullopt;
    }
    return sys_days(date) + hours(*h) + minutes(*min) + seconds(*s) +
           microseconds(*us);
}

/// Removes and returns the next token, unquoted; quotes may contain spaces.
std::string take_token(std::string_view& text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    std::string word;
    bool is_quoted = false;
    std::size_t i = 0;
    for (; i < text.size() && (is_quoted || text[i] != ' '); ++i)
    {
        if (text[i] == '\\' && is_quoted && i + 1 < text.size())
        {
            word += text[++i];
        }
        else if (text[i] == '"')
        {
            is_quoted = !is_quoted;
        }
        else
        {
            word += text[i];
        }
    }
    text.remove_prefix(i);
    return word;
}

} // namespace

std::string_view log_line::field(std::string_view name) const
{
    const auto found = std::find_if(this->fields.begin(),
                                    this->fields.end(),
                                    [name](const auto& item)
                                    {
                                        return item.first == name;
                                    });
    return found == this->fields.end() ? std::string_view() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    std::optional<timestamp> time;
    while (!time && !text.empty())
    {
        time = parse_timestamp(take_token(text));
    }
    if (!time)
    {
        return std::nullopt;
    }
    log_line line;
    line.time = *time;
    take_token(text); // the level
    const auto code = take_token(text);
    line.event = take_token(text);
    if (!parse_int(code) || line.event.empty())
    {
        return std::nullopt;
    }
    while (!text.empty())
    {
        const auto token = take_token(text);
        const auto equals = token.find('=');
        if (equals == std::string::npos)
        {
            continue;
        }
        auto name = token.substr(0, equals);
        auto value = token.substr(equals + 1);
        if (name == "node")
        {
            line.node = std::move(value);
            continue;
        }
        line.fields.emplace_back(std::move(name), std::move(value));
    }
    return line;
}

} // namespace hawthornrelay::core::timeline
