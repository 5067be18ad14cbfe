#include <adapters/relay/source_switch.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <core/relay/source_choice.hpp>

namespace hawthornrelay::adapters::relay
{

using core::base::log_event;
using core::relay::node_record;

namespace
{

/// Calls of a reader that is not followed any more have ended by then.
constexpr std::chrono::seconds former_reader_time{10};

} // namespace

source_switch::source_switch(boost::asio::io_context& io,
                             ports::runtime& runtime,
                             ports::metadata_reader& store,
                             core::relay::store_follower& follower,
                             ports::event_log& log)
    : io(io), runtime(runtime), store(store), follower(follower), log(log)
{
}

void source_switch::follow_store()
{
    this->followed.clear();
    this->follower.follow(this->store);
}

void source_switch::update(const core::relay::node_directory& nodes,
                           bool store_answers)
{
    const auto heard = nodes.heard(this->runtime.now());
    const bool may_read = store_answers && (this->follower.is_reachable() ||
                                            !this->reads_store());
    const auto name = core::relay::choose_source(
                          nodes.self(), may_read, heard, this->followed)
                          .value_or("");
    if (name == this->followed)
    {
        return;
    }
    this->followed = name;
    this->log.write(log_event::source_chosen,
                    {{"source", this->name()},
                     {"heard", std::to_string(heard.size())},
                     {"store_answers", store_answers ? "1" : "0"}});
    if (this->reader != nullptr)
    {
        this->former_readers.push_back(std::move(this->reader));
        this->runtime.call_after(former_reader_time,
                                 [this]
                                 {
                                     this->former_readers.erase(
                                         this->former_readers.begin());
                                 });
    }
    if (name.empty())
    {
        this->follow_store();
        return;
    }
    const auto found = std::find_if(heard.begin(),
                                    heard.end(),
                                    [&](const node_record& record)
                                    {
                                        return record.name == name;
                                    });
    this->reader = std::make_unique<peer_reader>(this->io, found->peers);
    this->follower.follow(*this->reader);
}

} // namespace hawthornrelay::adapters::relay
