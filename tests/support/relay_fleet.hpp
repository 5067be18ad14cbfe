/// @file
/// @brief Several relay engines whose clocks advance together.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <core/base/hash.hpp>
#include <support/relay_simulation.hpp>

namespace hawthornrelay::tests::support
{

/// @brief The relay engines of several nodes in front of the same replicas.
class relay_fleet
{
  public:
    /// @brief Decides how a replica replies to a request of a node.
    using script = std::function<scripted_reply(
        std::size_t node, const relay::replica&, const std::string& request)>;

    static constexpr std::chrono::milliseconds step{1};

    relay_fleet(std::size_t count, script behaviour)
        : behaviour(std::move(behaviour))
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->nodes.push_back(this->make_node(i));
            this->nodes.back()->engine.set_division(
                static_cast<unsigned>(count), true);
        }
    }

    /// @brief Replaces a node by one that knows nothing.
    void restart_node(std::size_t index)
    {
        auto started = this->make_node(index);
        started->loop.run_until(this->now());
        started->engine.set_division(static_cast<unsigned>(this->nodes.size()),
                                     true);
        this->nodes[index] = std::move(started);
    }

    [[nodiscard]] time_point now() const
    {
        return this->nodes.front()->loop.now();
    }

    void run_for(duration length)
    {
        const auto end = this->now() + length;
        while (this->now() < end)
        {
            const auto next = this->now() + step;
            for (const auto& node : this->nodes)
            {
                node->loop.run_until(next);
            }
            if (this->on_step)
            {
                this->on_step(next);
            }
        }
    }

    /// True once every `interval`, if asked at each step.
    static bool is_due(time_point now, duration interval)
    {
        return now.time_since_epoch() % interval == duration(0);
    }

    std::vector<std::unique_ptr<relay_simulation>> nodes;
    std::function<void(time_point)> on_step;

  private:
    std::unique_ptr<relay_simulation> make_node(std::size_t index)
    {
        return std::make_unique<relay_simulation>(
            [this, index](const relay::replica& replica,
                          const std::string& request)
            {
                return this->behaviour(index, replica, request);
            },
            20,
            56,
            core::base::hash_of("node", index));
    }

    script behaviour;
};

} // namespace hawthornrelay::tests::support
