/// @file
/// @brief Switches the store follower between the store and other nodes.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <adapters/relay/peer_feed.hpp>
#include <core/relay/node_directory.hpp>
#include <core/relay/store_follower.hpp>
#include <ports/event_log.hpp>
#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::relay
{

/// @brief Applies the decisions of choose_source() to a follower.
class source_switch
{
  public:
    /// @brief Takes the follower to switch. All references must outlive this
    ///        object.
    source_switch(boost::asio::io_context& io,
                  ports::runtime& runtime,
                  ports::metadata_reader& store,
                  core::relay::store_follower& follower,
                  ports::event_log& log);

    /// @brief Makes the store the source.
    void follow_store();

    /// @brief Chooses the source again and switches if it changed.
    /// @param nodes the known nodes
    /// @param store_answers false while calls of the store fail
    void update(const core::relay::node_directory& nodes, bool store_answers);

    /// @brief True once a source has been chosen.
    [[nodiscard]] bool has_source() const
    {
        return this->is_chosen;
    }

    /// @brief True if the source is the store itself.
    [[nodiscard]] bool reads_store() const
    {
        return this->is_chosen && this->followed.empty();
    }

    /// @brief `ip:port` of the followed node, empty if the source is the store.
    [[nodiscard]] const std::string& address() const
    {
        return this->followed_address;
    }

    /// @brief Age of the source's copy of the store, as its beacons report it.
    /// @return the age, or nothing if the source is the store
    [[nodiscard]] std::optional<core::base::duration>
    age(const core::relay::node_directory& nodes,
        core::base::time_point now) const;

    /// @brief Name of the source, for the log.
    [[nodiscard]] std::string name() const
    {
        return this->reads_store() ? "store" : this->followed;
    }

  private:
    /// Avoids the followed node for a while if its answers are missing.
    void avoid_unreachable_source(core::base::time_point now);

    boost::asio::io_context& io;
    ports::runtime& runtime;
    ports::metadata_reader& store;
    core::relay::store_follower& follower;
    ports::event_log& log;
    bool is_chosen = false;
    std::string followed; ///< name of the node; empty for the store
    std::string followed_address;
    core::base::time_point followed_since{};
    /// Nodes that are not followed again before a time, as they gave no answer.
    std::map<std::string, core::base::time_point> avoided;
    std::unique_ptr<peer_reader> reader;
    /// Readers of earlier sources, kept since calls in flight may use them.
    std::vector<std::unique_ptr<peer_reader>> former_readers;
};

} // namespace hawthornrelay::adapters::relay
