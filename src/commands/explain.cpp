// The command that reconstructs what happened to a request from logs.
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <commands/command.hpp>
#include <core/timeline/request_timeline.hpp>

namespace hawthornrelay::commands
{

int explain(const arguments& args)
{
    if (args.size() != 1)
    {
        fmt::print(stderr, "usage: hawthornrelay explain ID < LOGS\n");
        return exit_usage;
    }
    std::vector<core::timeline::log_line> lines;
    std::string text;
    while (std::getline(std::cin, text))
    {
        if (auto line = core::timeline::parse_log_line(text))
        {
            lines.push_back(std::move(*line));
        }
    }
    const auto timeline = core::timeline::build_timeline(lines, args.front());
    fmt::print("{}", core::timeline::format_timeline(timeline, args.front()));
    return timeline.steps.empty() ? 1 : 0;
}

} // namespace hawthornrelay::commands
