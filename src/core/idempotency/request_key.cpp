#include <core/idempotency/request_key.hpp>

#include <charconv>

namespace hawthornrelay::core::idempotency
{

namespace
{

constexpr char separator = '.';
constexpr std::size_t max_key_length = 256;

/// Parses the last field of @p rest and removes it.
bool take_number(std::string_view& rest, std::uint64_t& number, int base)
{
    const auto at = rest.rfind(separator);
    if (at == std::string_view::npos)
    {
        return false;
    }
    const auto field = rest.substr(at + 1);
    const auto* end = field.data() + field.size();
    const auto parsed = std::from_chars(field.data(), end, number, base);
    rest = rest.substr(0, at);
    return !field.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

std::string format(const request_key& key)
{
    std::string keyed_hash(16, '0');
    const auto written = std::to_chars(keyed_hash.data(),
                                       keyed_hash.data() + keyed_hash.size(),
                                       key.keyed_hash,
                                       16);
    keyed_hash.resize(
        static_cast<std::size_t>(written.ptr - keyed_hash.data()));
    return key.node + separator + std::to_string(key.incarnation) + separator +
           std::to_string(key.number) + separator +
           std::to_string(key.expires.time_since_epoch().count()) + separator +
           keyed_hash;
}

base::result<request_key> parse_request_key(std::string_view text)
{
    request_key key;
    std::uint64_t expires = 0;
    auto rest = text;
    const bool is_valid =
        text.size() <= max_key_length &&
        take_number(rest, key.keyed_hash, 16) &&
        take_number(rest, expires, 10) && take_number(rest, key.number, 10) &&
        take_number(rest, key.incarnation, 10) && !rest.empty();
    if (!is_valid)
    {
        return base::fail(base::result_code::key_malformed,
                          "not a key issued by this system");
    }
    key.node = base::node_id(rest);
    key.expires = base::time_point(
        base::duration(static_cast<base::duration::rep>(expires)));
    return key;
}

} // namespace hawthornrelay::core::idempotency
