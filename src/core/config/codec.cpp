#include <core/config/codec.hpp>

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>

#include <boost/json.hpp>

namespace hawthornrelay::core::config
{

namespace json = boost::json;
using base::fail;
using base::result;
using base::result_code;

namespace
{

constexpr std::string_view key_root = "config/";
constexpr std::size_t max_name_length = 128;

struct kind_name
{
    item_kind kind;
    std::string_view segment;
};

constexpr std::array kind_names{
    kind_name{item_kind::service, "services"},
    kind_name{item_kind::plan, "plans"},
    kind_name{item_kind::customer, "customers"},
    kind_name{item_kind::admin, "operators"},
    kind_name{item_kind::zone, "zones"},
    kind_name{item_kind::vm, "vms"},
};

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool is_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), is_name_character);
}

/// Reads the members of one JSON object and keeps the first error.
class object_reader
{
  public:
    object_reader(const json::object& object, std::string path)
        : object(object), path(std::move(path))
    {
    }

    void allow_only(std::initializer_list<std::string_view> names)
    {
        for (const auto& member : this->object)
        {
            const std::string_view name{member.key().data(),
                                        member.key().size()};
            if (std::find(names.begin(), names.end(), name) == names.end())
            {
                this->reject(result_code::unknown_field, name, "is unknown");
            }
        }
    }

    std::string text(std::string_view name)
    {
        const auto* value = this->find(name);
        if (value == nullptr || !value->is_string())
        {
            this->reject(result_code::invalid_value, name, "must be a string");
            return {};
        }
        return std::string(value->get_string());
    }

    std::string hash(std::string_view name)
    {
        auto digest = this->text(name);
        const bool valid =
            digest.size() == 64 &&
            digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!valid)
        {
            this->reject(result_code::invalid_value,
                         name,
                         "must be 64 lower-case hexadecimal digits");
        }
        return digest;
    }

    std::uint32_t count(std::string_view name, std::uint32_t minimum)
    {
        const double number = this->number(name);
        const double maximum = 1'000'000;
        if (number < minimum || number > maximum ||
            number != static_cast<double>(static_cast<std::uint32_t>(number)))
        {
            this->reject(result_code::invalid_value,
                         name,
                         "must be a whole number from " +
                             std::to_string(minimum) + " to 1000000");
            return minimum;
        }
        return static_cast<std::uint32_t>(number);
    }

    double number(std::string_view name)
    {
        const auto* value = this->find(name);
        if (value == nullptr || !value->is_number())
        {
            this->reject(result_code::invalid_value, name, "must be a number");
            return 0;
        }
        return value->to_number<double>();
    }

    bool flag(std::string_view name)
    {
        const auto* value = this->find(name);
        if (value == nullptr)
        {
            return false;
        }
        if (!value->is_bool())
        {
            this->reject(
                result_code::invalid_value, name, "must be true or false");
            return false;
        }
        return value->get_bool();
    }

    const json::array& list(std::string_view name)
    {
        static const json::array empty;
        const auto* value = this->find(name);
        if (value == nullptr || !value->is_array())
        {
            this->reject(result_code::invalid_value, name, "must be a list");
            return empty;
        }
        return value->get_array();
    }

    void
    reject(result_code code, std::string_view name, std::string_view reason)
    {
        if (this->first_error.code == result_code::ok)
        {
            this->first_error = {code,
                                 this->path + "." + std::string(name) + " " +
                                     std::string(reason)};
        }
    }

    void adopt_error(const object_reader& inner)
    {
        if (this->first_error.code == result_code::ok)
        {
            this->first_error = inner.first_error;
        }
    }

    [[nodiscard]] result<void> status() const
    {
        if (this->first_error.code == result_code::ok)
        {
            return {};
        }
        return tl::unexpected(this->first_error);
    }

  private:
    const json::value* find(std::string_view name) const
    {
        return this->object.if_contains(
            json::string_view(name.data(), name.size()));
    }

    const json::object& object;
    std::string path;
    base::error first_error;
};

replica read_replica(object_reader& parent, const json::value& value)
{
    static const json::object empty;
    const bool is_object = value.is_object();
    if (!is_object)
    {
        parent.reject(
            result_code::invalid_value, "replicas", "must hold objects");
    }
    object_reader reader(is_object ? value.get_object() : empty, "replica");
    replica decoded;
    if (is_object)
    {
        reader.allow_only({"address", "zone", "vm", "leaving"});
        decoded.address = reader.text("address");
        decoded.zone = reader.text("zone");
        decoded.vm = reader.text("vm");
        decoded.leaving = reader.flag("leaving");
    }
    parent.adopt_error(reader);
    return decoded;
}

result<void> apply_service(const std::string& name,
                           const json::object& object,
                           document& target)
{
    object_reader reader(object, "service");
    reader.allow_only({"slots", "connection_limit", "replicas", "change_id"});
    service decoded;
    decoded.slots = reader.count("slots", 1);
    decoded.connection_limit = reader.count("connection_limit", 1);
    for (const auto& value : reader.list("replicas"))
    {
        decoded.replicas.push_back(read_replica(reader, value));
    }
    return reader.status().map(
        [&]
        {
            target.services[name] = std::move(decoded);
        });
}

result<void> apply_plan(const std::string& name,
                        const json::object& object,
                        document& target)
{
    object_reader reader(object, "plan");
    reader.allow_only(
        {"services", "rate", "burst", "concurrency", "urgent", "change_id"});
    plan decoded;
    for (const auto& value : reader.list("services"))
    {
        if (!value.is_string())
        {
            reader.reject(
                result_code::invalid_value, "services", "must hold strings");
            break;
        }
        decoded.services.emplace(value.get_string());
    }
    decoded.rate = reader.number("rate");
    if (!(decoded.rate > 0))
    {
        reader.reject(result_code::invalid_value, "rate", "must be positive");
    }
    decoded.burst = reader.count("burst", 1);
    decoded.concurrency = reader.count("concurrency", 1);
    decoded.urgent = reader.flag("urgent");
    return reader.status().map(
        [&]
        {
            target.plans[name] = std::move(decoded);
        });
}

result<void> apply_customer(const std::string& name,
                            const json::object& object,
                            document& target)
{
    object_reader reader(object, "customer");
    reader.allow_only({"plan", "key_sha256", "change_id"});
    customer decoded;
    decoded.plan = reader.text("plan");
    decoded.key_sha256 = reader.hash("key_sha256");
    return reader.status().map(
        [&]
        {
            std::erase_if(target.customer_by_key,
                          [&](const auto& pair)
                          {
                              return pair.second == name;
                          });
            target.customer_by_key[decoded.key_sha256] = name;
            target.customers[name] = std::move(decoded);
        });
}

result<void> apply_admin(const std::string& name,
                         const json::object& object,
                         document& target)
{
    object_reader reader(object, "operator");
    reader.allow_only({"key_sha256", "change_id"});
    admin decoded;
    decoded.key_sha256 = reader.hash("key_sha256");
    return reader.status().map(
        [&]
        {
            std::erase_if(target.operator_by_key,
                          [&](const auto& pair)
                          {
                              return pair.second == name;
                          });
            target.operator_by_key[decoded.key_sha256] = name;
            target.operators[name] = std::move(decoded);
        });
}

result<void> apply_out_flag(const std::string& name,
                            const json::object& object,
                            std::set<std::string>& out)
{
    object_reader reader(object, "state");
    reader.allow_only({"out", "change_id"});
    const bool is_out = reader.flag("out");
    return reader.status().map(
        [&]
        {
            if (is_out)
            {
                out.insert(name);
            }
            else
            {
                out.erase(name);
            }
        });
}

void remove_item(const item_key& item, document& target)
{
    switch (item.kind)
    {
    case item_kind::service:
        target.services.erase(item.name);
        return;
    case item_kind::plan:
        target.plans.erase(item.name);
        return;
    case item_kind::customer:
        target.customers.erase(item.name);
        std::erase_if(target.customer_by_key,
                      [&](const auto& pair)
                      {
                          return pair.second == item.name;
                      });
        return;
    case item_kind::admin:
        target.operators.erase(item.name);
        std::erase_if(target.operator_by_key,
                      [&](const auto& pair)
                      {
                          return pair.second == item.name;
                      });
        return;
    case item_kind::zone:
        target.zones_out.erase(item.name);
        return;
    case item_kind::vm:
        target.vms_out.erase(item.name);
        return;
    }
}

result<void>
apply_object(const item_key& item, const json::object& object, document& target)
{
    switch (item.kind)
    {
    case item_kind::service:
        return apply_service(item.name, object, target);
    case item_kind::plan:
        return apply_plan(item.name, object, target);
    case item_kind::customer:
        return apply_customer(item.name, object, target);
    case item_kind::admin:
        return apply_admin(item.name, object, target);
    case item_kind::zone:
        return apply_out_flag(item.name, object, target.zones_out);
    case item_kind::vm:
        return apply_out_flag(item.name, object, target.vms_out);
    }
    return fail(result_code::no_such_item, item.name);
}

} // namespace

result<item_kind> parse_kind(std::string_view segment)
{
    for (const auto& row : kind_names)
    {
        if (row.segment == segment)
        {
            return row.kind;
        }
    }
    return fail(result_code::no_such_item, std::string(segment));
}

result<item_key> parse_key(std::string_view key)
{
    if (!key.starts_with(key_root))
    {
        return fail(result_code::no_such_item, std::string(key));
    }
    key.remove_prefix(key_root.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos || !is_name(key.substr(slash + 1)))
    {
        return fail(result_code::no_such_item, std::string(key));
    }
    return parse_kind(key.substr(0, slash))
        .map(
            [&](item_kind kind)
            {
                return item_key{kind, std::string(key.substr(slash + 1))};
            });
}

std::string format_key(const item_key& item)
{
    for (const auto& row : kind_names)
    {
        if (row.kind == item.kind)
        {
            return std::string(key_root) + std::string(row.segment) + "/" +
                   item.name;
        }
    }
    return {};
}

result<void>
apply_value(const item_key& item, std::string_view value, document& target)
{
    if (value.empty())
    {
        remove_item(item, target);
        return {};
    }
    json::error_code parse_error;
    const auto parsed =
        json::parse(json::string_view(value.data(), value.size()), parse_error);
    if (parse_error || !parsed.is_object())
    {
        return fail(result_code::invalid_value, "value is not a JSON object");
    }
    return apply_object(item, parsed.get_object(), target);
}

result<void> check_value(const item_key& item, std::string_view value)
{
    document scratch;
    return apply_value(item, value, scratch);
}

} // namespace hawthornrelay::core::config
