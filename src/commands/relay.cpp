// Runs one node on the users' platform until SIGTERM.
#include <commands/command.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <adapters/relay/relay_node.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>

namespace hawthornrelay::commands
{

namespace
{

std::string settings_path(const arguments& args)
{
    if (!args.empty())
    {
        return args.front();
    }
    const char* path = std::getenv(platform::names::settings_file_variable);
    return path == nullptr ? std::string() : path;
}

int report(const core::base::error& error)
{
    fmt::print(stderr,
               "{} {}: {}\n",
               static_cast<int>(error.code),
               core::base::name_of(error.code),
               error.detail);
    return exit_usage;
}

} // namespace

int relay(const arguments& args)
{
    const auto path = settings_path(args);
    auto settings = platform::decode_settings(path);
    if (!settings)
    {
        return report(settings.error());
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io{1};
    const auto node =
        adapters::relay::relay_node::create(io, std::move(*settings));
    const auto started = node->start();
    if (!started)
    {
        return report(started.error());
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait_for_signal = [&]
    {
        signals.async_wait(
            [&](const boost::system::error_code& error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal != SIGHUP)
                {
                    node->stop(
                        [&io]
                        {
                            io.stop();
                        });
                }
                else if (const auto changed = platform::decode_settings(path))
                {
                    node->reload(*changed);
                }
                else
                {
                    report(changed.error());
                }
                wait_for_signal();
            });
    };
    wait_for_signal();
    io.run();
    return 0;
}

} // namespace hawthornrelay::commands
