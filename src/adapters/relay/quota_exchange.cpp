#include <adapters/relay/quota_exchange.hpp>

#include <string>
#include <utility>
#include <vector>

namespace hawthornrelay::adapters::relay
{

using core::base::log_event;
using core::relay::relay_counter;

quota_exchange::quota_exchange(core::relay::quota_settings settings,
                               ports::runtime& runtime,
                               ports::event_log& log,
                               membership& members,
                               core::relay::relay_counters& counters)
    : ledger(
          std::move(settings),
          [this](const std::string& to,
                 const core::relay::quota_message& message)
          {
              this->members.send_quota(to, message);
          },
          runtime.now()),
      runtime(runtime), log(log), members(members), counters(counters)
{
}

void quota_exchange::start()
{
    this->run_round();
}

void quota_exchange::on_message(const core::relay::quota_message& message)
{
    this->ledger.on_message(message, this->runtime.now());
}

void quota_exchange::run_round()
{
    this->update_division();
    this->ledger.exchange(this->runtime.now());
    this->log_share();
    this->count_messages();
    this->runtime.call_after(core::relay::quota_interval,
                             [this]
                             {
                                 this->run_round();
                             });
}

void quota_exchange::update_division()
{
    const auto now = this->runtime.now();
    auto& nodes = this->members.nodes;
    std::vector<std::string> heard;
    for (auto& node : nodes.recent_nodes(now))
    {
        if (node.is_entry)
        {
            heard.push_back(std::move(node.name));
        }
    }
    this->entry_count = nodes.entry_count(now);
    const bool is_holder =
        nodes.self().is_entry &&
        nodes.rank_among_entries(std::string(core::relay::quota_rank_key),
                                 now) < core::relay::max_quota_holders;
    this->ledger.set_heard_entries(std::move(heard), now);
    this->ledger.set_division(
        this->entry_count, is_holder, nodes.has_earlier_incarnation(), now);
}

void quota_exchange::log_share()
{
    const bool holds = this->ledger.holds_share(this->runtime.now());
    if (holds != this->held_share)
    {
        this->held_share = holds;
        this->log.write(holds ? log_event::quota_share_held
                              : log_event::quota_share_lost,
                        {{"entries", std::to_string(this->entry_count)}});
    }
    const auto& now = this->ledger.counters;
    const auto refused = now.refused - this->counted.refused;
    const bool is_short = refused > 0;
    if (is_short != this->was_short)
    {
        this->was_short = is_short;
        this->log.write(is_short ? log_event::quota_exceeded
                                 : log_event::quota_kept,
                        {{"refused", std::to_string(refused)}});
    }
}

void quota_exchange::count_messages()
{
    const auto& now = this->ledger.counters;
    this->counters.add(relay_counter::quota_asks,
                       now.asks - this->counted.asks);
    this->counters.add(relay_counter::quota_messages,
                       now.messages_sent - this->counted.messages_sent);
    this->counted = now;
}

} // namespace hawthornrelay::adapters::relay
