/// @file
/// @brief The subcommands of the program.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hawthornrelay::commands
{

/// @brief The positional arguments after the command's name.
using arguments = std::vector<std::string>;

/// @brief A command and its help text.
struct command
{
    std::string_view name;
    std::string_view summary;
    std::string_view usage;       ///< shown by --help
    int (*run)(const arguments&); ///< returns the exit status
};

/// @brief Exit status after invalid arguments or settings.
constexpr int exit_usage = 2;

int serve(const arguments& args);
int relay(const arguments& args);
int check_settings(const arguments& args);
int hash_key(const arguments& args);
int addresses(const arguments& args);
int query(const arguments& args);
int request(const arguments& args);
int admin(const arguments& args);
int status(const arguments& args);
int explain(const arguments& args);

} // namespace hawthornrelay::commands
