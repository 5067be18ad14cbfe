// The command that reconstructs what happened to a request from logs.
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <commands/command.hpp>
#include <core/story/request_story.hpp>

namespace hawthornrelay::commands
{

int explain(const arguments& args)
{
    if (args.size() != 1)
    {
        fmt::print(stderr, "usage: hawthornrelay explain ID < LOGS\n");
        return exit_usage;
    }
    std::vector<core::story::log_line> lines;
    std::string text;
    while (std::getline(std::cin, text))
    {
        if (auto line = core::story::parse_log_line(text))
        {
            lines.push_back(std::move(*line));
        }
    }
    const auto story = core::story::tell_story(lines, args.front());
    fmt::print("{}", core::story::write_story(story, args.front()));
    return story.steps.empty() ? 1 : 0;
}

} // namespace hawthornrelay::commands
