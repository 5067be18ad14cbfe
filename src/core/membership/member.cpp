#include <core/membership/member.hpp>

#include <array>

#include <boost/json.hpp>

namespace hawthornrelay::core::membership
{

namespace json = boost::json;

namespace
{

constexpr std::string_view key_prefix = "members/";

constexpr std::array<std::string_view, 3> state_names{
    "active", "leaving", "removed"};

std::string text_of(const json::object& object, std::string_view name)
{
    const auto* value =
        object.if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr || !value->is_string())
    {
        return {};
    }
    return std::string(value->get_string());
}

} // namespace

std::string member_key(const base::node_id& id)
{
    return std::string(key_prefix) + id;
}

base::node_id member_of_key(std::string_view key)
{
    if (!key.starts_with(key_prefix))
    {
        return {};
    }
    return base::node_id(key.substr(key_prefix.size()));
}

std::string encode_member(const member& record)
{
    const auto state = state_names.at(static_cast<std::size_t>(record.state));
    return json::serialize(
        json::object{{"run", record.incarnation},
                     {"zone", record.zone},
                     {"vm", record.vm},
                     {"peer", record.peer_address},
                     {"caller", record.caller_address},
                     {"state", json::string_view(state.data(), state.size())},
                     {"ended", record.has_ended}});
}

base::result<member> decode_member(const base::node_id& id,
                                   std::string_view value)
{
    json::error_code parse_error;
    const auto parsed =
        json::parse(json::string_view(value.data(), value.size()), parse_error);
    if (parse_error || !parsed.is_object())
    {
        return base::fail(base::result_code::invalid_value, id);
    }
    const auto& object = parsed.get_object();
    member record;
    record.id = id;
    if (const auto* run = object.if_contains("run");
        run != nullptr && run->is_number())
    {
        json::error_code number_error;
        record.incarnation = run->to_number<base::incarnation>(number_error);
    }
    record.zone = text_of(object, "zone");
    record.vm = text_of(object, "vm");
    record.peer_address = text_of(object, "peer");
    record.caller_address = text_of(object, "caller");
    const auto* ended = object.if_contains("ended");
    record.has_ended =
        ended != nullptr && ended->is_bool() && ended->get_bool();
    const auto state = text_of(object, "state");
    for (std::size_t i = 0; i < state_names.size(); ++i)
    {
        if (state_names[i] == state)
        {
            record.state = static_cast<member_state>(i);
            return record;
        }
    }
    return base::fail(base::result_code::invalid_value, id + ": state");
}

} // namespace hawthornrelay::core::membership
