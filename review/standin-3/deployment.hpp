// A small deployment of the rig: zones, nodes, replicas and a steady load.
#pragma once

#include <rig.hpp>

namespace rig
{

/// Eight nodes in four zones, as on the smallest site, and their platform.
class deployment
{
  public:
    explicit deployment(recorder& record)
        : record(record), prefix(free_prefix(node_count)),
          platform(io, "127.0.0.1"), callers(io)
    {
    }

    /// Starts the nodes; false if one cannot be started.
    bool start_nodes()
    {
        if (this->prefix.empty() || this->folder.path.empty())
        {
            return false;
        }
        std::vector<std::string> seeds;
        for (int i = 1; i <= 3; ++i)
        {
            seeds.push_back(fmt::format("{}.{}", this->prefix, i));
        }
        for (int i = 0; i < node_count; ++i)
        {
            const auto ip = fmt::format("{}.{}", this->prefix, i + 1);
            const auto zone = this->zones[i % this->zones.size()];
            const auto name = fmt::format("frontend-{}-{}", zone, i / 4 + 1);
            this->nodes.push_back(
                std::make_unique<node>(name,
                                       zone,
                                       ip,
                                       this->folder.path,
                                       settings_of(name,
                                                   zone,
                                                   ip,
                                                   this->zones,
                                                   seeds,
                                                   this->platform.address())));
            if (!this->nodes.back()->start())
            {
                return false;
            }
        }
        return true;
    }

    replica& add_replica(const std::string& service,
                         const std::string& zone,
                         milliseconds work = milliseconds(10))
    {
        const auto index = this->replicas.size() + 1;
        this->replicas.push_back(
            std::make_unique<replica>(this->io,
                                      this->platform,
                                      "127.0.0.1",
                                      fmt::format("i-{:04x}", 0x7100 + index),
                                      service,
                                      zone,
                                      work));
        return *this->replicas.back();
    }

    /// Runs the stand-ins for a time.
    void run(milliseconds time)
    {
        bool is_over = false;
        after(this->io,
              time,
              [&is_over]
              {
                  is_over = true;
              });
        while (!is_over)
        {
            this->io.run_one();
        }
    }

    /// True if a node has ended by itself.
    bool has_ended_node()
    {
        bool result = false;
        for (const auto& item : this->nodes)
        {
            if (item->has_ended())
            {
                this->record.say("{} has ended", item->name);
                result = true;
            }
        }
        return result;
    }

    static constexpr int node_count = 8;

    recorder& record;
    boost::asio::io_context io;
    std::string prefix;
    temporary_folder folder;
    store platform;
    client callers;
    std::vector<std::string> zones{"zone-a", "zone-b", "zone-c", "zone-d"};
    std::vector<std::unique_ptr<replica>> replicas;
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace rig
