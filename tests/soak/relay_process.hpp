/// @file
/// @brief A relay process that is started and then controlled by signals.
#pragma once

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

namespace hawthornrelay::tests::soak
{

using std::chrono::steady_clock;

/// @brief A relay process with its own IP address, and the times of the faults
///        injected into it.
class relay_process
{
  public:
    relay_process(std::string name,
                  std::string zone,
                  std::string ip,
                  std::string store,
                  std::vector<std::string> seeds,
                  std::string folder)
        : name(std::move(name)), zone(std::move(zone)), ip(std::move(ip)),
          store(std::move(store)), seeds(std::move(seeds)),
          folder(std::move(folder))
    {
    }

    ~relay_process()
    {
        this->kill();
    }

    relay_process(const relay_process&) = delete;
    relay_process& operator=(const relay_process&) = delete;

    void start(bool is_bootstrap)
    {
        this->write_settings(is_bootstrap);
        const auto file = this->settings_path();
        const std::string node_file = "HAWTHORNRELAY_NODE_FILE=" + file;
        std::string path = "build/hawthornrelay";
        std::string command = "relay";
        const std::vector<char*> arguments{
            path.data(), command.data(), nullptr};
        std::string home = "HOME=/tmp";
        std::string node_file_variable = node_file;
        const std::vector<char*> environment{
            node_file_variable.data(), home.data(), nullptr};
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        const auto log = this->folder + "/" + this->name + ".log";
        posix_spawn_file_actions_addopen(
            &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&this->pid,
                        path.c_str(),
                        &actions,
                        nullptr,
                        arguments.data(),
                        environment.data()) != 0)
        {
            std::abort();
        }
        posix_spawn_file_actions_destroy(&actions);
        ++this->incarnation;
        this->is_stopping = false;
        this->is_paused = false;
        this->last_fault_at = steady_clock::now();
    }

    /// Requests a graceful stop; the soak kills a process that exceeds the
    /// grace period.
    void terminate()
    {
        this->signal(SIGTERM);
        this->is_stopping = true;
        this->stopped_at = steady_clock::now();
    }

    void kill()
    {
        if (this->pid > 0)
        {
            this->signal(SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
            this->on_exit();
        }
    }

    void pause()
    {
        this->signal(SIGSTOP);
        this->is_paused = true;
    }

    void resume()
    {
        this->signal(SIGCONT);
        this->is_paused = false;
    }

    /// Rewrites the settings file and, if asked, sends SIGHUP.
    void reload(bool with_signal)
    {
        this->write_settings(false);
        if (with_signal)
        {
            ::kill(this->pid, SIGHUP);
        }
    }

    /// @brief Reaps the process if it has exited.
    /// @return true if it exited without a stop request or with an error
    bool has_failed()
    {
        int status = 0;
        if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) == 0)
        {
            return false;
        }
        const bool is_expected =
            this->is_stopping && WIFEXITED(status) && WEXITSTATUS(status) == 0;
        this->on_exit();
        return !is_expected;
    }

    [[nodiscard]] bool is_running() const
    {
        return this->pid > 0;
    }

    /// @brief Tells whether the process has run without a fault for @p time.
    [[nodiscard]] bool is_undisturbed(std::chrono::milliseconds time) const
    {
        return this->is_running() && !this->is_paused && !this->is_stopping &&
               steady_clock::now() - this->last_fault_at > time;
    }

    void record_fault()
    {
        this->last_fault_at = steady_clock::now();
    }

    [[nodiscard]] std::string caller_address() const
    {
        return this->ip + ":8104";
    }

    [[nodiscard]] std::string directory_address() const
    {
        return this->ip + ":8100";
    }

    const std::string name;
    const std::string zone;
    const std::string ip;
    unsigned incarnation = 0;
    bool is_stopping = false;
    bool is_paused = false;
    steady_clock::time_point stopped_at{};
    steady_clock::time_point exited_at{};

  private:
    void signal(int number)
    {
        this->record_fault();
        ::kill(this->pid, number);
    }

    void on_exit()
    {
        this->pid = 0;
        this->exited_at = steady_clock::now();
        this->record_fault();
    }

    [[nodiscard]] std::string settings_path() const
    {
        return this->folder + "/" + this->name + ".yaml";
    }

    void write_settings(bool is_bootstrap) const
    {
        std::ofstream out(this->settings_path());
        out << "nodeName: \"" << this->name << "\"\nzone: \"" << this->zone
            << "\"\nipAddress: \"" << this->ip << "\"\nlistenAddresses:\n"
            << "  frontend: \"" << this->ip << ":8104\"\n  ready: \""
            << this->ip << ":8108\"\n  directory: \"" << this->ip
            << ":8100\"\ninternalPortRange: [7380, 7395]\nseedNodes:\n";
        for (const auto& seed : this->seeds)
        {
            out << "  - \"" << seed << ":8106\"\n";
        }
        out << "bootstrap: " << (is_bootstrap ? "true" : "false")
            << "\nzones: {north: region, south: region, west: region}\n"
               "limits: {cpuShare: 0.25, cpuCores: 1}\nplatform:\n  address: "
               "\""
            << this->store << "\"\n  minTtlMs: 1000\nbounds:\n"
            << "  gracePeriodS: 6\n  ttl_max_s: 5\n  retryBudgetRatio: 0.2\n"
            << "  retryBudgetSlack: 56\n  budgetWindowS: 10\n"
            << "  warmupOvershoot: 1.5\n  warmupSlack: 5\n";
    }

    std::string store;
    std::vector<std::string> seeds;
    std::string folder;
    pid_t pid = 0;
    steady_clock::time_point last_fault_at{};
};

} // namespace hawthornrelay::tests::soak
