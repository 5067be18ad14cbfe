// Runs one node on the users' platform until SIGTERM or SIGINT.
#include <commands/command.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>
#include <system_error>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// Reloads the settings file on request and when its modification time changes.
class settings_watcher
{
  public:
    settings_watcher(boost::asio::io_context& io,
                     std::string path,
                     adapters::relay::relay_node& node)
        : path(std::move(path)), node(node), timer(io),
          loaded_time(this->modification_time())
    {
        this->wait();
    }

    void reload()
    {
        this->loaded_time = this->modification_time();
        const auto changed = platform::decode_settings(this->path);
        if (changed)
        {
            this->node.reload(*changed);
        }
        else
        {
            // The node keeps its current settings.
            report(changed.error());
        }
    }

  private:
    /// The file may change without a SIGHUP, and a change must be in force
    /// within 3 s.
    static constexpr std::chrono::seconds poll_interval{2};

    using file_time = std::filesystem::file_time_type;

    [[nodiscard]] file_time modification_time() const
    {
        std::error_code error;
        const auto time = std::filesystem::last_write_time(this->path, error);
        return error ? file_time::min() : time;
    }

    void wait()
    {
        this->timer.expires_after(poll_interval);
        this->timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (error)
                {
                    return;
                }
                if (this->modification_time() != this->loaded_time)
                {
                    this->reload();
                }
                this->wait();
            });
    }

    std::string path;
    adapters::relay::relay_node& node;
    boost::asio::steady_timer timer;
    file_time loaded_time;
};

} // namespace

int relay(const arguments& args)
{
    // Caught before anything else: signals that arrive during the start are
    // handled after it instead of ending the process.
    boost::asio::io_context io{1};
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    std::signal(SIGPIPE, SIG_IGN);
    const auto path = settings_path(args);
    auto settings = platform::decode_settings(path);
    if (!settings)
    {
        return report(settings.error());
    }
    const auto node =
        adapters::relay::relay_node::create(io, std::move(*settings));
    const auto started = node->start();
    if (!started)
    {
        return report(started.error());
    }
    settings_watcher watch(io, path, *node);
    std::function<void()> wait_for_signal = [&]
    {
        signals.async_wait(
            [&](const boost::system::error_code& error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    watch.reload();
                }
                else
                {
                    node->stop(
                        [&io]
                        {
                            io.stop();
                        });
                }
                wait_for_signal();
            });
    };
    wait_for_signal();
    io.run();
    return 0;
}

} // namespace hawthornrelay::commands
