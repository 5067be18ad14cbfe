#include <core/story/log_line.hpp>

#include <algorithm>
#include <charconv>

namespace hawthornrelay::core::story
{

namespace
{

using micros_time = std::chrono::sys_time<std::chrono::microseconds>;

/// Length of `2026-01-31T23:59:59.123456Z`.
constexpr std::size_t time_length = 27;

std::optional<int> number(std::string_view digits)
{
    int value = 0;
    const auto* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, value);
    return read.ec == std::errc() && read.ptr == end ? std::optional(value)
                                                     : std::nullopt;
}

std::optional<micros_time> parse_time(std::string_view text)
{
    using namespace std::chrono;
    const bool has_form = text.size() == time_length && text[4] == '-' &&
                          text[10] == 'T' && text.back() == 'Z';
    if (!has_form)
    {
        return std::nullopt;
    }
    const auto y = number(text.substr(0, 4));
    const auto mon = number(text.substr(5, 2));
    const auto d = number(text.substr(8, 2));
    const auto h = number(text.substr(11, 2));
    const auto min = number(text.substr(14, 2));
    const auto s = number(text.substr(17, 2));
    const auto us = number(text.substr(20, 6));
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

/// Takes the next word; a blank within quotes does not end it.
std::string take_word(std::string_view& text)
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
    std::optional<micros_time> time;
    while (!time && !text.empty())
    {
        time = parse_time(take_word(text));
    }
    if (!time)
    {
        return std::nullopt;
    }
    log_line line;
    line.time = *time;
    take_word(text); // the level
    const auto code = take_word(text);
    line.event = take_word(text);
    if (!number(code) || line.event.empty())
    {
        return std::nullopt;
    }
    while (!text.empty())
    {
        const auto word = take_word(text);
        const auto equals = word.find('=');
        if (equals == std::string::npos)
        {
            continue;
        }
        auto name = word.substr(0, equals);
        auto value = word.substr(equals + 1);
        if (name == "node")
        {
            line.node = std::move(value);
            continue;
        }
        line.fields.emplace_back(std::move(name), std::move(value));
    }
    return line;
}

} // namespace hawthornrelay::core::story
