/// @file
/// @brief Switches a follower between the store and mirrors of other nodes.
#pragma once

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

/// @brief Puts the decisions of choose_source() into effect.
class source_switch
{
  public:
    /// @brief Attaches to a follower.
    source_switch(boost::asio::io_context& io,
                  ports::runtime& runtime,
                  ports::metadata_reader& store,
                  core::relay::store_follower& follower,
                  ports::event_log& log);

    /// @brief Follows the store, as at the start.
    void follow_store();

    /// @brief Chooses again from what is known of other nodes.
    /// @param nodes the nodes
    /// @param store_answers false while the store does not answer this node
    void update(const core::relay::node_directory& nodes, bool store_answers);

    /// @brief False until the first source is chosen.
    [[nodiscard]] bool has_source() const
    {
        return this->is_chosen;
    }

    /// @brief True while the node reads the store itself.
    [[nodiscard]] bool reads_store() const
    {
        return this->is_chosen && this->followed.empty();
    }

    /// @brief `ip:port` of the node that is followed, empty if none is.
    [[nodiscard]] const std::string& address() const
    {
        return this->followed_address;
    }

    /// @brief How long ago the source knew the store's state, as it said
    ///        itself; nothing when the source is the store.
    [[nodiscard]] std::optional<core::base::duration>
    age(const core::relay::node_directory& nodes,
        core::base::time_point now) const;

    /// @brief The source's name, for the log.
    [[nodiscard]] std::string name() const
    {
        return this->reads_store() ? "store" : this->followed;
    }

  private:
    boost::asio::io_context& io;
    ports::runtime& runtime;
    ports::metadata_reader& store;
    core::relay::store_follower& follower;
    ports::event_log& log;
    bool is_chosen = false;
    std::string followed; ///< empty: the store
    std::string followed_address;
    std::unique_ptr<peer_reader> reader;
    /// Calls under way may still use a reader that is not followed any more.
    std::vector<std::unique_ptr<peer_reader>> former_readers;
};

} // namespace hawthornrelay::adapters::relay
