// Entry point; dispatches to the commands.
#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <commands/command.hpp>

namespace
{

using hawthornrelay::commands::command;

constexpr std::array commands{
    command{"serve",
            "run one node",
            "hawthornrelay serve --settings=FILE\n\n"
            "Runs until SIGTERM, then completes open requests and exits.\n",
            hawthornrelay::commands::serve},
    command{"relay",
            "run one node on the users' platform",
            "hawthornrelay relay [FILE]\n\n"
            "Reads its settings from FILE, or from the file named by the "
            "platform's\nenvironment variable.\n"
            "Runs until SIGTERM, then completes open requests and exits.\n",
            hawthornrelay::commands::relay},
    command{"check-settings",
            "check a settings file",
            "hawthornrelay check-settings FILE\n\n"
            "Prints every error with its line and column. Exits with 1 if "
            "there are any.\n",
            hawthornrelay::commands::check_settings},
    command{"hash-key",
            "print the digest of a key",
            "hawthornrelay hash-key KEY\n\n"
            "Prints the digest that the configuration stores instead of the "
            "key.\n",
            hawthornrelay::commands::hash_key},
    command{"addresses",
            "list the node addresses to use",
            "hawthornrelay addresses --via=IP:PORT --key=KEY\n",
            hawthornrelay::commands::addresses},
    command{"query",
            "send a query",
            "hawthornrelay query --via=IP:PORT --key=KEY --body=TEXT\n"
            "    [--services=A,B,...] [--deadline_ms=N]\n\n"
            "Asks --via which addresses to use and sends the query there.\n",
            hawthornrelay::commands::query},
    command{
        "request",
        "send a request that runs at most once",
        "hawthornrelay request --via=IP:PORT --key=KEY --services=ONE\n"
        "    --body=TEXT [--request_key=KEY] [--deadline_ms=N]\n\n"
        "Prints the request key if it issued one. A request sent again with "
        "the same\nkey does not run twice.\n",
        hawthornrelay::commands::request},
    command{"admin",
            "read or change the configuration",
            "hawthornrelay admin list --via=IP:PORT --key=KEY\n"
            "hawthornrelay admin get ITEM ...\n"
            "hawthornrelay admin put ITEM VALUE --revision=N [--wait_ms=N] "
            "...\n"
            "hawthornrelay admin delete ITEM --revision=N [--wait_ms=N] "
            "...\n\n"
            "ITEM is KIND/NAME with KIND one of services, plans, customers, "
            "operators, zones, vms.\n",
            hawthornrelay::commands::admin},
    command{"status",
            "show the state of one node",
            "hawthornrelay status --via=IP:PORT --key=KEY\n",
            hawthornrelay::commands::status},
    command{"explain",
            "explain from logs what happened to a request",
            "hawthornrelay explain ID < LOGS\n\n"
            "Reads the log lines of any nodes and prints those of the request "
            "with this id,\nearlier events on its node, and the cause of its "
            "outcome. Exits with 1 when no\nline contains the id.\n",
            hawthornrelay::commands::explain},
};

void print_commands(std::FILE* to)
{
    fmt::print(to, "hawthornrelay COMMAND [FLAGS]\n\n");
    for (const auto& item : commands)
    {
        fmt::print(to, "  {:<16}{}\n", item.name, item.summary);
    }
    fmt::print(to, "\nhawthornrelay COMMAND --help explains a command.\n");
}

bool is_help_requested(int argc, char** argv)
{
    return std::any_of(argv + 1,
                       argv + argc,
                       [](std::string_view argument)
                       {
                           return argument == "--help" || argument == "-h" ||
                                  argument == "help";
                       });
}

int run(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    const auto* found = std::find_if(commands.begin(),
                                     commands.end(),
                                     [name](const command& item)
                                     {
                                         return item.name == name;
                                     });
    const bool help = is_help_requested(argc, argv);
    if (found == commands.end())
    {
        print_commands(help ? stdout : stderr);
        return help ? 0 : hawthornrelay::commands::exit_usage;
    }
    if (help)
    {
        fmt::print("{}", found->usage);
        return 0;
    }
    absl::SetProgramUsageMessage(std::string(found->usage));
    const auto positional = absl::ParseCommandLine(argc, argv);
    return found->run({positional.begin() + 2, positional.end()});
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
}
