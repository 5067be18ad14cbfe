// Runs one node until SIGTERM or SIGINT; checks settings files.
#include <commands/command.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>
#include <utility>

#include <absl/flags/flag.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <adapters/api/api.hpp>
#include <adapters/asio/asio_runtime.hpp>
#include <adapters/crypto/digest.hpp>
#include <adapters/http/server.hpp>
#include <adapters/log/stdout_log.hpp>
#include <adapters/peer/tcp_peers.hpp>
#include <adapters/platform/http_platform.hpp>
#include <adapters/settings/settings.hpp>
#include <adapters/target/http_targets.hpp>
#include <core/node/node.hpp>

ABSL_FLAG(std::string, settings, "", "the node's settings file");

namespace hawthornrelay::commands
{

namespace
{

using adapters::settings::settings;

/// Returns the current time in microseconds, so that a later incarnation of the
/// node has a greater number.
core::base::incarnation new_incarnation()
{
    return static_cast<core::base::incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

core::node::node_settings to_node_settings(const settings& from,
                                           core::base::incarnation incarnation)
{
    core::node::node_settings result;
    result.self.id = from.node_name;
    result.self.incarnation = incarnation;
    result.self.zone = from.zone;
    result.self.vm = from.vm;
    result.self.peer_address = from.peers.text();
    result.self.caller_address = from.callers.text();
    result.seeds = from.seeds;
    result.operator_key_sha256 = from.operator_key_sha256;
    result.secret = adapters::crypto::random_number();
    result.address_time_to_live = from.address_time_to_live;
    result.max_stop_time = from.max_stop_time;
    return result;
}

/// Owns the parts of a running node. The declaration order is the order of
/// construction.
class node_process
{
  public:
    explicit node_process(const settings& from)
        : from(from), incarnation(new_incarnation()), runtime(this->io),
          log(from.node_name, from.level, from.decision_sample),
          platform(this->io, from.platform.text()),
          targets(this->io, this->runtime), signals(this->io)
    {
    }

    int serve()
    {
        if (!this->open_links() || !this->open_api())
        {
            return 1;
        }
        this->signals.add(SIGTERM);
        this->signals.add(SIGINT);
        this->signals.async_wait(
            [this](const boost::system::error_code& error, int)
            {
                if (!error)
                {
                    this->node->stop(
                        [this]
                        {
                            this->io.stop();
                        });
                }
            });
        this->node->start();
        this->io.run();
        this->server->close();
        this->peers->close();
        return 0;
    }

  private:
    bool open_links()
    {
        auto opened =
            adapters::peer::tcp_peers::listen(this->io,
                                              {this->from.node_name,
                                               this->incarnation,
                                               this->from.cluster_secret,
                                               this->from.peers.ip,
                                               this->from.peers.port},
                                              this->log);
        if (!opened)
        {
            fmt::print(stderr, "{}\n", opened.error().detail);
            return false;
        }
        this->peers = std::move(*opened);
        this->node = std::make_unique<core::node::node>(
            to_node_settings(this->from, this->incarnation),
            core::node::node_ports{this->runtime,
                                   this->platform,
                                   this->targets,
                                   *this->peers,
                                   this->log});
        this->peers->set_handlers(
            [this](const core::base::node_id& peer,
                   core::messages::peer_message message)
            {
                this->node->on_message(peer, std::move(message));
            },
            [this](const core::base::node_id& peer)
            {
                this->node->on_link_down(peer);
            },
            [this](const core::base::node_id& peer)
            {
                this->node->on_peer_refused(peer);
            });
        return true;
    }

    bool open_api()
    {
        this->api = std::make_unique<adapters::api::api>(*this->node);
        adapters::http::server_handlers handlers;
        handlers.on_request = [this](const adapters::http::request& message,
                                     const adapters::http::responder& respond)
        {
            this->api->handle(message, respond);
        };
        handlers.on_bad_input =
            [this](core::base::result_code code, const std::string& detail)
        {
            this->log.write(core::base::log_event::bad_input,
                            {{"error", detail}});
            return adapters::api::api::error_response(code, detail);
        };
        adapters::http::server_limits limits;
        limits.body_bytes = this->from.body_bytes;
        auto opened = adapters::http::server::listen(this->io,
                                                     this->from.callers.ip,
                                                     this->from.callers.port,
                                                     std::move(handlers),
                                                     limits);
        if (!opened)
        {
            fmt::print(stderr, "{}\n", opened.error().detail);
            return false;
        }
        this->server = std::move(*opened);
        return true;
    }

    const settings& from;
    core::base::incarnation incarnation;
    boost::asio::io_context io{1};
    adapters::asio::asio_runtime runtime;
    adapters::log::stdout_log log;
    adapters::platform::http_platform platform;
    adapters::target::http_targets targets;
    boost::asio::signal_set signals;
    std::unique_ptr<adapters::peer::tcp_peers> peers;
    std::unique_ptr<core::node::node> node;
    std::unique_ptr<adapters::api::api> api;
    std::unique_ptr<adapters::http::server> server;
};

} // namespace

int serve(const arguments& /*args*/)
{
    const auto path = absl::GetFlag(FLAGS_settings);
    const auto loaded = adapters::settings::load_settings(path);
    for (const auto& error : loaded.errors)
    {
        fmt::print(
            stderr, "{}\n", adapters::settings::format_error(path, error));
    }
    if (!loaded.errors.empty())
    {
        return exit_usage;
    }
    node_process running(loaded.value);
    return running.serve();
}

int check_settings(const arguments& args)
{
    if (args.size() != 1)
    {
        fmt::print(stderr, "check-settings requires exactly one file\n");
        return exit_usage;
    }
    const auto loaded = adapters::settings::load_settings(args.front());
    for (const auto& error : loaded.errors)
    {
        fmt::print("{}\n",
                   adapters::settings::format_error(args.front(), error));
    }
    if (loaded.errors.empty())
    {
        fmt::print("{}: valid\n", args.front());
        return 0;
    }
    return 1;
}

} // namespace hawthornrelay::commands
