#include <adapters/relay/source_switch.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include <core/relay/source_choice.hpp>

namespace hawthornrelay::adapters::relay
{

using core::base::log_event;
using core::relay::node_record;

namespace
{

/// How long a former reader is kept; longer than any of its calls lasts.
constexpr std::chrono::seconds former_reader_lifetime{10};

/// A followed node whose answers are missing for this long is replaced. It may
/// still send beacons that say that its own copy is current.
constexpr std::chrono::milliseconds max_source_silence{1000};

/// How long a node without answers is not followed again.
constexpr std::chrono::seconds avoid_duration{5};

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
    this->is_chosen = true;
    this->followed.clear();
    this->followed_address.clear();
    this->follower.follow(this->store);
}

std::optional<core::base::duration>
source_switch::age(const core::relay::node_directory& nodes,
                   core::base::time_point now) const
{
    if (this->followed.empty())
    {
        return std::nullopt;
    }
    auto age = nodes.store_age_of(this->followed, now);
    if (!this->follower.is_reachable())
    {
        age = std::max(age, now - this->follower.answered_at());
    }
    return age;
}

void source_switch::avoid_unreachable_source(core::base::time_point now)
{
    std::erase_if(this->avoided,
                  [now](const auto& item)
                  {
                      return item.second <= now;
                  });
    const bool is_silent =
        !this->followed.empty() && !this->follower.is_reachable() &&
        now - std::max(this->followed_since, this->follower.answered_at()) >
            max_source_silence;
    if (is_silent)
    {
        this->avoided[this->followed] = now + avoid_duration;
        this->log.write(
            log_event::source_avoided,
            {{"source", this->followed},
             {"for_ms",
              std::to_string(
                  std::chrono::milliseconds(avoid_duration).count())}});
    }
}

void source_switch::update(const core::relay::node_directory& nodes,
                           bool store_answers)
{
    const auto now = this->runtime.now();
    this->avoid_unreachable_source(now);
    const auto running = nodes.recent_nodes(now);
    auto answering = running;
    std::erase_if(answering,
                  [this](const node_record& node)
                  {
                      return this->avoided.contains(node.name);
                  });
    const bool may_read_store =
        store_answers &&
        (this->follower.is_reachable() || !this->reads_store());
    const auto choose = [&](const std::vector<node_record>& candidates)
    {
        return core::relay::choose_source(
                   nodes.self(), may_read_store, candidates, this->followed)
            .value_or("");
    };
    auto name = choose(answering);
    if (name.empty() && !may_read_store)
    {
        name = choose(running);
    }
    const bool is_same = this->is_chosen && name == this->followed;
    const bool has_no_source = name.empty() && !may_read_store;
    if (is_same || (has_no_source && !this->is_chosen))
    {
        return;
    }
    this->is_chosen = true;
    this->followed = name;
    this->followed_since = now;
    this->log.write(log_event::source_chosen,
                    {{"source", this->name()},
                     {"heard", std::to_string(running.size())},
                     {"store_answers", store_answers ? "1" : "0"}});
    if (this->reader != nullptr)
    {
        this->former_readers.push_back(std::move(this->reader));
        this->runtime.call_after(former_reader_lifetime,
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
    const auto source = std::find_if(running.begin(),
                                     running.end(),
                                     [&](const node_record& record)
                                     {
                                         return record.name == name;
                                     });
    this->followed_address = source->peers;
    this->reader = std::make_unique<peer_reader>(this->io, source->peers);
    this->follower.follow(*this->reader);
}

} // namespace hawthornrelay::adapters::relay
