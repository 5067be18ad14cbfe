#include <adapters/relay/store_change_handler.hpp>

#include <memory>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include <adapters/asio/socket.hpp>
#include <core/relay/quarantine_writer.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>

namespace hawthornrelay::adapters::relay
{

namespace json = boost::json;
namespace names = platform::names;
using core::base::log_event;
using core::base::result;
using core::base::result_code;
using core::relay::node_record;

namespace
{

bool is_reachable_address(const std::string& text)
{
    const auto endpoint = asio::parse_endpoint(text);
    return endpoint && endpoint->port() > 0;
}

result<node_record> read_node_registration(std::string name,
                                           const std::string& value)
{
    json::error_code error;
    const auto parsed = json::parse(value, error);
    try
    {
        const auto& from = parsed.as_object();
        node_record record;
        record.name = std::move(name);
        record.incarnation = from.at("run").to_number<std::uint64_t>();
        record.zone = from.at("zone").as_string();
        record.caller_address = from.at("callers").as_string();
        record.peers = from.at("peers").as_string();
        if (const auto* millicores = from.if_contains("millicores"))
        {
            record.millicores = millicores->to_number<unsigned>();
        }
        record.is_entry = true;
        if (record.name.empty() ||
            !is_reachable_address(record.caller_address) ||
            !is_reachable_address(record.peers))
        {
            throw std::invalid_argument("invalid name or address");
        }
        return record;
    }
    catch (const std::exception& exception)
    {
        return core::base::fail(result_code::invalid_value, exception.what());
    }
}

/// A replica that does not renew its registration is removed after this many
/// heartbeat intervals, and a little later by the time that nodes know.
constexpr int lapse_in_heartbeats = 3;
constexpr std::chrono::milliseconds lapse_margin{400};

/// Returns the key without the prefix, or nothing if it does not match.
std::optional<std::string> strip_prefix(const std::string& key,
                                        std::string_view prefix)
{
    if (!key.starts_with(prefix))
    {
        return std::nullopt;
    }
    return key.substr(prefix.size());
}

} // namespace

std::string write_node_registration(const node_record& self)
{
    return json::serialize(json::object{{"run", self.incarnation},
                                        {"zone", self.zone},
                                        {"callers", self.caller_address},
                                        {"peers", self.peers},
                                        {"millicores", self.millicores}});
}

store_change_handler::store_change_handler(
    ports::runtime& runtime,
    core::relay::request_engine& engine,
    core::relay::node_directory& nodes,
    ports::event_log& log,
    std::chrono::milliseconds heartbeat_interval,
    limits_handler on_limits)
    : runtime(runtime), engine(engine), nodes(nodes), log(log),
      restored_item_delay(heartbeat_interval * lapse_in_heartbeats +
                          lapse_margin),
      on_limits(std::move(on_limits))
{
}

void store_change_handler::apply(const ports::store_item& item)
{
    this->deferred.erase(item.key);
    this->dispatch(item);
}

void store_change_handler::apply_due()
{
    const auto now = this->runtime.now();
    for (auto next = this->deferred.begin(); next != this->deferred.end();)
    {
        const auto current = next++;
        if (current->second.due_at <= now)
        {
            auto item = std::move(current->second.item);
            this->deferred.erase(current);
            item.is_restored = false;
            this->dispatch(item);
        }
    }
}

void store_change_handler::on_unreadable(log_event event,
                                         const ports::store_item& item,
                                         const ports::log_field& subject,
                                         const core::base::error& error)
{
    this->engine.counters.add(core::relay::relay_counter::unreadable_items);
    if (this->unreadable.add(item.key))
    {
        this->log.write(event, {subject, {"error", error.detail}});
    }
}

void store_change_handler::defer(const ports::store_item& item)
{
    this->deferred[item.key] = {
        item, this->runtime.now() + this->restored_item_delay};
    this->log.write(
        log_event::change_deferred,
        {{"key", item.key},
         {"revision", std::to_string(item.revision)},
         {"delay_ms", std::to_string(this->restored_item_delay.count())}});
}

void store_change_handler::dispatch(const ports::store_item& item)
{
    if (item.is_removed)
    {
        this->unreadable.remove(item.key);
    }
    if (item.key == names::configuration_key)
    {
        this->on_configuration(item);
    }
    else if (const auto zone = strip_prefix(item.key, names::zone_out_prefix))
    {
        this->on_zone(*zone, item);
    }
    else if (const auto id = strip_prefix(item.key, names::replica_prefix))
    {
        this->on_replica(*id, item);
    }
    else if (const auto name = strip_prefix(item.key, names::node_prefix))
    {
        this->on_node(*name, item);
    }
    else if (const auto text = strip_prefix(item.key, names::quarantine_prefix))
    {
        this->on_quarantine(*text, item);
    }
    else if (this->rollouts != nullptr)
    {
        this->dispatch_rollout(item);
    }
}

void store_change_handler::dispatch_rollout(const ports::store_item& item)
{
    if (item.key == names::rollout_decider_key)
    {
        // Nodes bind this key to a lease; any other value names no decider.
        const bool is_foreign = !item.is_removed && item.is_unleased;
        this->rollouts->on_decider(item.is_removed || is_foreign ? std::string()
                                                                 : item.value,
                                   is_foreign ? item.revision : 0);
    }
    else if (const auto ordered =
                 strip_prefix(item.key, names::rollout_order_prefix))
    {
        this->on_rollout_order(*ordered, item);
    }
    else if (const auto service =
                 strip_prefix(item.key, names::rollout_status_prefix))
    {
        this->on_rollout_status(*service, item);
    }
}

void store_change_handler::on_rollout_order(const std::string& service,
                                            const ports::store_item& item)
{
    if (item.is_removed)
    {
        if (item.is_restored)
        {
            // The copy may have been made before the order.
            this->defer(item);
            return;
        }
        this->rollouts->on_order(service, std::nullopt);
        return;
    }
    auto order = platform::decode_rollout_order(service, item.value);
    if (!order)
    {
        this->log.write(log_event::rollout_unreadable,
                        {{"key", item.key}, {"error", order.error().detail}});
        return;
    }
    order->revision = item.revision;
    this->rollouts->on_order(service, std::move(*order));
}

void store_change_handler::on_rollout_status(const std::string& service,
                                             const ports::store_item& item)
{
    if (item.is_removed)
    {
        this->rollouts->on_status(service, std::nullopt, item.is_restored);
        return;
    }
    auto status = platform::decode_rollout_status(item.value);
    if (!status)
    {
        this->on_unreadable(log_event::rollout_unreadable,
                            item,
                            {"key", item.key},
                            status.error());
        this->rollouts->on_unreadable_status(service, item.revision);
        return;
    }
    status->revision = item.revision;
    this->rollouts->on_status(service, std::move(*status), item.is_restored);
}

void store_change_handler::on_zone(const std::string& zone,
                                   const ports::store_item& item)
{
    if (item.is_restored && item.is_removed)
    {
        // Operators may have taken it out since the copy was made.
        this->defer(item);
        return;
    }
    this->engine.registry.set_zone_out(zone, !item.is_removed);
    this->log.write(
        item.is_removed ? log_event::zone_back : log_event::zone_out,
        {{"zone", zone}, {"revision", std::to_string(item.revision)}});
}

void store_change_handler::on_quarantine(const std::string& text,
                                         const ports::store_item& item)
{
    const auto refused = core::relay::read_quarantine_key(text);
    if (!refused)
    {
        this->on_unreadable(
            log_event::bad_input, item, {"key", item.key}, refused.error());
        return;
    }
    if (item.is_restored && item.is_removed)
    {
        if (this->engine.is_quarantined(*refused) && this->on_refusal_lost)
        {
            this->on_refusal_lost(*refused);
        }
        return;
    }
    this->engine.set_quarantined(*refused, !item.is_removed);
    this->log.write(item.is_removed ? log_event::quarantine_ended
                                    : log_event::quarantine_known,
                    {{"fingerprint", std::to_string(*refused)},
                     {"revision", std::to_string(item.revision)}});
}

void store_change_handler::on_configuration(const ports::store_item& item)
{
    if (item.is_removed)
    {
        return;
    }
    auto decoded = platform::decode_configuration(item.value);
    if (!decoded)
    {
        this->log.write(log_event::configuration_unreadable,
                        {{"revision", std::to_string(item.revision)},
                         {"error", decoded.error().detail}});
        return;
    }
    const auto& current = this->engine.configuration_in_force();
    if (current != nullptr && decoded->version <= current->version)
    {
        return;
    }
    const auto config =
        std::make_shared<const core::relay::configuration>(std::move(*decoded));
    this->engine.set_configuration(config);
    this->on_limits(config->limits);
    this->log.write(log_event::configuration_in_force,
                    {{"version", std::to_string(config->version)},
                     {"revision", std::to_string(item.revision)},
                     {"routes", std::to_string(config->routes.size())}});
    if (const auto& directory = config->organisations)
    {
        this->log.write(log_event::organisations_in_force,
                        {{"version", std::to_string(config->version)},
                         {"organisations", std::to_string(directory->size())},
                         {"keys", std::to_string(directory->key_count())}});
    }
}

void store_change_handler::on_replica(const std::string& id,
                                      const ports::store_item& item)
{
    const auto now = this->runtime.now();
    if (item.is_removed)
    {
        if (this->engine.registry.remove(id, item.may_have_lapsed, now))
        {
            this->log.write(
                item.may_have_lapsed ? log_event::replica_lapsing
                                     : log_event::replica_removed,
                {{"replica", id}, {"revision", std::to_string(item.revision)}});
        }
        return;
    }
    if (item.is_restored && !this->engine.registry.all().contains(id))
    {
        // It may have left; its lease in the copy ends if it has.
        this->defer(item);
        return;
    }
    const auto record = platform::decode_replica(id, item.value);
    if (!record)
    {
        this->engine.registry.remove_unreadable(id, now);
        this->on_unreadable(log_event::replica_unreadable,
                            item,
                            {"replica", id},
                            record.error());
        return;
    }
    this->unreadable.remove(item.key);
    if (this->engine.registry.put(*record, now))
    {
        this->log.write(log_event::replica_listed,
                        {{"replica", id},
                         {"service", record->service},
                         {"address", record->address},
                         {"zone", record->zone},
                         {"state", record->is_draining ? "draining" : "ready"},
                         {"revision", std::to_string(item.revision)}});
    }
}

void store_change_handler::on_node(const std::string& name,
                                   const ports::store_item& item)
{
    const auto now = this->runtime.now();
    if (item.is_removed)
    {
        this->nodes.on_unregistered(name, now);
        this->log.write(log_event::node_unlisted, {{"peer", name}});
    }
    else
    {
        const auto record = read_node_registration(name, item.value);
        if (!record)
        {
            this->on_unreadable(
                log_event::bad_input, item, {"key", item.key}, record.error());
            return;
        }
        this->unreadable.remove(item.key);
        this->nodes.on_registered(*record, now);
        this->log.write(log_event::node_listed,
                        {{"peer", name}, {"callers", record->caller_address}});
    }
}

} // namespace hawthornrelay::adapters::relay
