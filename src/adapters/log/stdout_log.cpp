#include <adapters/log/stdout_log.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace hawthornrelay::adapters::log
{

using core::base::log_event;
using core::base::log_level;

namespace
{

constexpr std::array<std::string_view, 4> level_names{
    "debug", "info", "warning", "error"};

/// Quotes a value that is empty or would break the `key=value` format.
std::string quote_if_needed(const std::string& value)
{
    const bool is_unquoted =
        !value.empty() &&
        value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (is_unquoted)
    {
        return value;
    }
    std::string result = "\"";
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            result += '\\';
        }
        const bool is_control = static_cast<unsigned char>(c) < ' ';
        result += is_control ? ' ' : c;
    }
    return result + "\"";
}

} // namespace

stdout_log::stdout_log(std::string node,
                       log_level min_level,
                       std::uint32_t decision_sample)
    : node(std::move(node)), min_level(min_level),
      decision_sample(decision_sample)
{
}

bool stdout_log::is_enabled(log_event event)
{
    const auto level = core::base::level_of(event);
    if (level < this->min_level)
    {
        return false;
    }
    if (level != log_level::debug)
    {
        return true;
    }
    this->debug_lines = (this->debug_lines + 1) % this->decision_sample;
    return this->debug_lines == 0;
}

void stdout_log::write(log_event event,
                       std::initializer_list<ports::log_field> fields)
{
    const auto level = core::base::level_of(event);
    if (level < this->min_level)
    {
        return;
    }
    const auto now = std::chrono::system_clock::now();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                            now.time_since_epoch())
                            .count() %
                        1'000'000;
    auto line =
        fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z {} {} {} node={}",
                    fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                    micros,
                    level_names.at(static_cast<std::size_t>(level)),
                    static_cast<int>(event),
                    core::base::name_of(event),
                    this->node);
    for (const auto& field : fields)
    {
        line += fmt::format(" {}={}", field.name, quote_if_needed(field.value));
    }
    this->sink.write(line);
}

} // namespace hawthornrelay::adapters::log
