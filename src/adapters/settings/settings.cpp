#include <adapters/settings/settings.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <sstream>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace hawthornrelay::adapters::settings
{

using core::base::log_level;
using core::base::result_code;

namespace
{

constexpr std::size_t min_secret_length = 16;
constexpr std::uint64_t max_milliseconds = 3'600'000;
constexpr std::uint64_t min_body_bytes = 1024;
constexpr std::uint64_t max_body_bytes = 8U << 20U;
constexpr std::uint64_t max_decision_sample = 1'000'000;

constexpr std::array<std::pair<std::string_view, log_level>, 4> level_names{{
    {"debug", log_level::debug},
    {"info", log_level::info},
    {"warning", log_level::warning},
    {"error", log_level::error},
}};

/// Reads a YAML tree and collects all errors instead of stopping at the first.
class reader
{
  public:
    std::vector<settings_error> errors;

    void reject(const YAML::Node& where, std::string message)
    {
        this->reject_at(where.Mark(), std::move(message));
    }

    YAML::Node section(const YAML::Node& parent,
                       const char* name,
                       std::initializer_list<std::string_view> known_keys)
    {
        auto node = parent[name];
        if (!node)
        {
            this->reject(parent, std::string(name) + " is missing");
            return node;
        }
        this->check_keys(node, name, known_keys);
        return node;
    }

    void check_keys(const YAML::Node& node,
                    const std::string& name,
                    std::initializer_list<std::string_view> known_keys)
    {
        if (!node.IsMap())
        {
            this->reject(node, name + " must be a mapping");
            return;
        }
        for (const auto& item : node)
        {
            const auto key = item.first.Scalar();
            const bool is_known =
                std::find(known_keys.begin(), known_keys.end(), key) !=
                known_keys.end();
            if (!is_known)
            {
                this->reject(
                    item.first,
                    fmt::format("{} is not a known key of {}", key, name));
            }
        }
    }

    std::string text(const YAML::Node& parent, const char* name)
    {
        const auto node = this->child(parent, name, true);
        if (!node)
        {
            return {};
        }
        if (!node.IsScalar() || node.Scalar().empty())
        {
            this->reject(node,
                         std::string(name) + " must be a non-empty string");
            return {};
        }
        return node.Scalar();
    }

    std::string identifier(const YAML::Node& parent, const char* name)
    {
        auto value = this->text(parent, name);
        const bool is_valid =
            std::all_of(value.begin(),
                        value.end(),
                        [](unsigned char c)
                        {
                            return std::isalnum(c) != 0 || c == '-' || c == '_';
                        });
        if (!is_valid)
        {
            this->reject(parent[name],
                         std::string(name) + " may contain only letters, "
                                             "digits, - and _");
        }
        return value;
    }

    endpoint address(const YAML::Node& parent, const char* name)
    {
        const auto value = this->text(parent, name);
        if (value.empty())
        {
            return {};
        }
        auto parsed = parse_endpoint(value);
        if (parsed.ip.empty())
        {
            this->reject(parent[name],
                         std::string(name) +
                             " must be an IP address and a port, such as "
                             "127.0.0.1:7001");
        }
        return parsed;
    }

    std::vector<std::string> addresses(const YAML::Node& parent,
                                       const char* name)
    {
        std::vector<std::string> result;
        const auto node = this->child(parent, name, false);
        if (!node)
        {
            return result;
        }
        if (!node.IsSequence())
        {
            this->reject(node, std::string(name) + " must be a list");
            return result;
        }
        for (const auto& item : node)
        {
            const bool is_valid =
                item.IsScalar() && !parse_endpoint(item.Scalar()).ip.empty();
            if (is_valid)
            {
                result.push_back(item.Scalar());
            }
            else
            {
                this->reject(item,
                             std::string(name) +
                                 " must contain IP addresses with ports");
            }
        }
        return result;
    }

    std::uint64_t number(const YAML::Node& parent,
                         const char* name,
                         std::uint64_t fallback,
                         std::uint64_t min,
                         std::uint64_t max)
    {
        const auto node = this->child(parent, name, false);
        if (!node)
        {
            return fallback;
        }
        std::uint64_t value = 0;
        const auto& scalar = node.IsScalar() ? node.Scalar() : std::string();
        const auto* end = scalar.data() + scalar.size();
        const auto parsed = std::from_chars(scalar.data(), end, value);
        const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                              value >= min && value <= max;
        if (!is_valid)
        {
            this->reject(node,
                         std::string(name) + " must be a whole number from " +
                             std::to_string(min) + " to " +
                             std::to_string(max));
            return fallback;
        }
        return value;
    }

    log_level level(const YAML::Node& parent, const char* name)
    {
        const auto node = this->child(parent, name, false);
        if (!node)
        {
            return log_level::info;
        }
        for (const auto& [level_name, value] : level_names)
        {
            if (node.IsScalar() && node.Scalar() == level_name)
            {
                return value;
            }
        }
        this->reject(
            node, std::string(name) + " must be debug, info, warning or error");
        return log_level::info;
    }

    YAML::Node child(const YAML::Node& parent, const char* name, bool required)
    {
        if (!parent || !parent.IsMap())
        {
            return YAML::Node(YAML::NodeType::Undefined);
        }
        auto node = parent[name];
        if (!node && required)
        {
            this->reject(parent, std::string(name) + " is missing");
        }
        return node;
    }

  private:
    static endpoint parse_endpoint(const std::string& value)
    {
        const auto colon = value.rfind(':');
        if (colon == std::string::npos)
        {
            return {};
        }
        endpoint result{value.substr(0, colon), 0};
        const auto* end = value.data() + value.size();
        const auto parsed =
            std::from_chars(value.data() + colon + 1, end, result.port);
        boost::system::error_code error;
        boost::asio::ip::make_address(result.ip, error);
        const bool is_valid =
            !error && parsed.ec == std::errc() && parsed.ptr == end;
        return is_valid ? result : endpoint{};
    }

    void reject_at(const YAML::Mark& mark, std::string message)
    {
        const bool is_known = mark.line >= 0 && mark.column >= 0;
        this->errors.push_back(
            {result_code::settings_invalid,
             is_known ? static_cast<std::size_t>(mark.line) + 1 : 0,
             is_known ? static_cast<std::size_t>(mark.column) + 1 : 0,
             std::move(message)});
    }
};

void read_node(reader& in, const YAML::Node& root, settings& value)
{
    const auto node = in.section(root, "node", {"name", "zone", "vm"});
    value.node_name = in.identifier(node, "name");
    value.zone = in.identifier(node, "zone");
    value.vm = in.identifier(node, "vm");
}

void read_listen(reader& in, const YAML::Node& root, settings& value)
{
    const auto node = in.section(root, "listen", {"callers", "peers"});
    value.callers = in.address(node, "callers");
    value.peers = in.address(node, "peers");
}

void read_cluster(reader& in, const YAML::Node& root, settings& value)
{
    const auto platform = in.section(root, "platform", {"address"});
    value.platform = in.address(platform, "address");
    const auto node = in.section(root, "cluster", {"secret", "seeds"});
    value.cluster_secret = in.text(node, "secret");
    if (!value.cluster_secret.empty() &&
        value.cluster_secret.size() < min_secret_length)
    {
        in.reject(node["secret"],
                  "secret must have at least " +
                      std::to_string(min_secret_length) + " characters");
    }
    value.seeds = in.addresses(node, "seeds");
}

void read_operator(reader& in, const YAML::Node& root, settings& value)
{
    const auto node = in.child(root, "operator_key_sha256", false);
    if (!node)
    {
        return;
    }
    const bool is_valid = node.IsScalar() && node.Scalar().size() == 64 &&
                          node.Scalar().find_first_not_of("0123456789abcdef") ==
                              std::string::npos;
    if (!is_valid)
    {
        in.reject(node,
                  "operator_key_sha256 must be 64 lower-case "
                  "hexadecimal digits");
        return;
    }
    value.operator_key_sha256 = node.Scalar();
}

void read_log(reader& in, const YAML::Node& root, settings& value)
{
    const auto node = in.child(root, "log", false);
    if (!node)
    {
        return;
    }
    in.check_keys(node, "log", {"level", "decision_sample"});
    value.level = in.level(node, "level");
    value.decision_sample = static_cast<std::uint32_t>(
        in.number(node, "decision_sample", 1, 1, max_decision_sample));
}

void read_limits(reader& in, const YAML::Node& root, settings& value)
{
    const auto node = in.child(root, "limits", false);
    if (!node)
    {
        return;
    }
    in.check_keys(node,
                  "limits",
                  {"address_time_to_live_ms", "longest_stop_ms", "body_bytes"});
    value.address_time_to_live = std::chrono::milliseconds(in.number(
        node,
        "address_time_to_live_ms",
        static_cast<std::uint64_t>(value.address_time_to_live.count()),
        1,
        max_milliseconds));
    value.max_stop_time = std::chrono::milliseconds(
        in.number(node,
                  "longest_stop_ms",
                  static_cast<std::uint64_t>(value.max_stop_time.count()),
                  1,
                  max_milliseconds));
    value.body_bytes = in.number(
        node, "body_bytes", value.body_bytes, min_body_bytes, max_body_bytes);
}

} // namespace

settings_result parse_settings(std::string_view yaml)
{
    settings_result result;
    YAML::Node root;
    try
    {
        root = YAML::Load(std::string(yaml));
    }
    catch (const YAML::Exception& error)
    {
        result.errors.push_back(
            {result_code::settings_syntax,
             static_cast<std::size_t>(error.mark.line + 1),
             static_cast<std::size_t>(error.mark.column + 1),
             error.msg});
        return result;
    }
    reader in;
    in.check_keys(root,
                  "the file",
                  {"node",
                   "listen",
                   "platform",
                   "cluster",
                   "operator_key_sha256",
                   "log",
                   "limits"});
    if (in.errors.empty() || root.IsMap())
    {
        read_node(in, root, result.value);
        read_listen(in, root, result.value);
        read_cluster(in, root, result.value);
        read_operator(in, root, result.value);
        read_log(in, root, result.value);
        read_limits(in, root, result.value);
    }
    result.errors = std::move(in.errors);
    return result;
}

settings_result load_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        settings_result result;
        result.errors.push_back({result_code::settings_unreadable,
                                 0,
                                 0,
                                 "the file cannot be read"});
        return result;
    }
    std::ostringstream contents;
    contents << file.rdbuf();
    return parse_settings(contents.str());
}

std::string format_error(const std::string& path, const settings_error& error)
{
    std::string location = path;
    if (error.line != 0)
    {
        location += ":" + std::to_string(error.line) + ":" +
                    std::to_string(error.column);
    }
    return location + ": error " +
           std::to_string(static_cast<int>(error.code)) + " " +
           std::string(core::base::name_of(error.code)) + ": " + error.message;
}

} // namespace hawthornrelay::adapters::settings
