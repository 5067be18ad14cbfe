#include <adapters/relay/peer_feed.hpp>

#include <charconv>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

#include <boost/algorithm/hex.hpp>

#include <schemas/generated/relay_generated.h>

#include <adapters/relay/compression.hpp>

namespace hawthornrelay::adapters::relay
{

using core::base::fail;
using core::base::result;
using core::base::result_code;
using ports::store_page;

namespace
{

constexpr std::string_view list_target = "/pages?after=";
constexpr std::string_view watch_target = "/watch?after=";
constexpr std::string_view era_parameter = "&era=";
constexpr std::string_view wait_header = "wait-ms";
constexpr std::string_view age_header = "copy-age-us";

constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;

/// Size of one page of a listing, in bytes. It is below the limit on a
/// response, whatever the size of the whole listing.
constexpr std::size_t page_size = 512U << 10U;

/// Greatest age that is read, in microseconds.
constexpr std::uint64_t max_age = 3'600'000'000;

/// Time for an answer beyond the wait that was requested.
constexpr std::chrono::milliseconds answer_timeout{600};

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Keys may contain any bytes, so they are sent as hexadecimal digits.
std::string write_list_target(const std::string& after)
{
    std::string target(list_target);
    boost::algorithm::hex(after, std::back_inserter(target));
    return target;
}

std::optional<std::string> read_list_target(std::string_view target)
{
    try
    {
        std::string after;
        target.remove_prefix(list_target.size());
        boost::algorithm::unhex(
            target.begin(), target.end(), std::back_inserter(after));
        return after;
    }
    catch (const boost::algorithm::hex_decode_error&)
    {
        return std::nullopt;
    }
}

ports::store_position read_watch_target(std::string_view target)
{
    target.remove_prefix(watch_target.size());
    ports::store_position after{parse_number(target)};
    if (const auto at = target.find(era_parameter);
        at != std::string_view::npos)
    {
        after.era = parse_number(target.substr(at + era_parameter.size()));
    }
    return after;
}

std::string write_watch_target(const ports::store_position& after)
{
    auto target = std::string(watch_target) + std::to_string(after.revision);
    if (after.era)
    {
        target += std::string(era_parameter) + std::to_string(*after.era);
    }
    return target;
}

std::string encode(const store_page& page)
{
    flatbuffers::FlatBufferBuilder builder(1024);
    std::vector<flatbuffers::Offset<schemas::StoreItem>> items;
    for (const auto& item : page.items)
    {
        const auto key = builder.CreateString(item.key);
        const auto value = builder.CreateString(item.value);
        items.push_back(schemas::CreateStoreItem(builder,
                                                 key,
                                                 value,
                                                 item.revision,
                                                 item.is_removed,
                                                 item.may_have_lapsed,
                                                 item.is_unleased));
    }
    const auto era =
        page.era ? flatbuffers::Optional<std::uint64_t>(*page.era)
                 : flatbuffers::Optional<std::uint64_t>(flatbuffers::nullopt);
    builder.Finish(schemas::CreateStorePageDirect(
        builder, &items, page.revision, era, page.has_more));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

/// Compresses the page: registrations are alike and shrink to a tenth.
http::response page_response(const store_page& page)
{
    http::response reply;
    reply.content_type = "application/octet-stream";
    reply.body = compress(encode(page));
    return reply;
}

result<store_page> decode(const std::string& compressed)
{
    const auto plain = decompress(compressed);
    if (!plain)
    {
        return tl::unexpected(plain.error());
    }
    const auto& body = *plain;
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(body.data());
    flatbuffers::Verifier verifier(bytes, body.size());
    if (!verifier.VerifyBuffer<schemas::StorePage>(nullptr))
    {
        return fail(result_code::frame_malformed,
                    "malformed page from another node");
    }
    const auto* from = flatbuffers::GetRoot<schemas::StorePage>(bytes);
    store_page page;
    page.revision = from->revision();
    page.has_more = from->more();
    if (const auto era = from->era())
    {
        page.era = *era;
    }
    if (from->items() == nullptr)
    {
        return page;
    }
    for (const auto* item : *from->items())
    {
        if (item->key() != nullptr && item->value() != nullptr)
        {
            page.items.push_back({item->key()->str(),
                                  item->value()->str(),
                                  item->revision(),
                                  item->removed(),
                                  item->may_have_lapsed(),
                                  false,
                                  item->unleased()});
        }
    }
    return page;
}

/// Reads the age of the copy that a page is from.
std::optional<core::base::duration> read_age(const http::header_map& headers)
{
    const auto text = http::header(headers, age_header);
    return text.empty() ? std::nullopt
                        : std::optional(core::base::duration(
                              std::min(parse_number(text), max_age)));
}

http::response status_response(unsigned status)
{
    http::response reply;
    reply.status = status;
    return reply;
}

} // namespace

peer_feed::peer_feed(ports::runtime& runtime,
                     const core::relay::store_mirror& mirror,
                     const core::relay::store_follower& follower)
    : runtime(runtime), mirror(mirror), follower(follower)
{
}

void peer_feed::handle(const http::request& message,
                       const http::responder& respond)
{
    if (!this->mirror.is_complete())
    {
        respond(status_response(status_unavailable));
        return;
    }
    if (message.target.starts_with(list_target))
    {
        const auto after = read_list_target(message.target);
        respond(after ? this->listing(*after) : status_response(404));
        return;
    }
    if (!message.target.starts_with(watch_target))
    {
        respond(status_response(404));
        return;
    }
    const pending_watch requested{read_watch_target(message.target), respond};
    if (ports::is_earlier(this->mirror.position().era, requested.after.era))
    {
        // This copy lags behind the one of the node that asks.
        respond(status_response(status_unavailable));
        return;
    }
    const auto changes = this->mirror.changes_since(requested.after);
    if (!changes || !changes->items.empty())
    {
        this->answer(requested);
        return;
    }
    const auto id = this->next_watch_id++;
    this->pending[id] = requested;
    const std::chrono::milliseconds wait(
        parse_number(http::header(message.headers, wait_header)));
    this->runtime.call_after(wait,
                             [this, id]
                             {
                                 const auto found = this->pending.find(id);
                                 if (found != this->pending.end())
                                 {
                                     const auto item = found->second;
                                     this->pending.erase(found);
                                     this->answer(item);
                                 }
                             });
}

http::response peer_feed::listing(const std::string& after)
{
    if (this->cached_position != this->mirror.position())
    {
        this->cached_pages.clear();
        this->cached_position = this->mirror.position();
    }
    auto found = this->cached_pages.find(after);
    if (found == this->cached_pages.end())
    {
        auto page = page_response(this->mirror.listing(after, page_size)).body;
        found = this->cached_pages.emplace(after, std::move(page)).first;
    }
    http::response reply;
    reply.content_type = "application/octet-stream";
    reply.body = found->second;
    return this->with_age(std::move(reply));
}

void peer_feed::on_change()
{
    const auto due = std::exchange(this->pending, {});
    for (const auto& [id, item] : due)
    {
        this->answer(item);
    }
}

void peer_feed::answer(const pending_watch& watch)
{
    const auto changes = this->mirror.changes_since(watch.after);
    watch.respond(changes ? this->with_age(page_response(*changes))
                          : status_response(status_gone));
}

http::response peer_feed::with_age(http::response reply) const
{
    if (const auto& at = this->follower.current_at())
    {
        const auto age = this->runtime.now() - *at;
        reply.headers[std::string(age_header)] = std::to_string(age.count());
    }
    return reply;
}

peer_reader::peer_reader(boost::asio::io_context& io, std::string address)
    : io(io), address(std::move(address))
{
}

void peer_reader::list(const std::string& after,
                       ports::store_handler<store_page> done)
{
    this->call(write_list_target(after),
               std::chrono::milliseconds(0),
               std::move(done));
}

void peer_reader::watch(const ports::store_position& after,
                        std::chrono::milliseconds wait,
                        ports::store_handler<store_page> done)
{
    this->call(write_watch_target(after), wait, std::move(done));
}

void peer_reader::call(std::string target,
                       std::chrono::milliseconds wait,
                       ports::store_handler<store_page> done)
{
    if (this->connection == nullptr || !this->connection->is_open())
    {
        this->connection = http::connection::create(this->io, this->address);
    }
    http::request message;
    message.target = std::move(target);
    message.headers[std::string(wait_header)] = std::to_string(wait.count());
    this->connection->send(
        std::move(message),
        wait + answer_timeout,
        [done = std::move(done)](const result<http::response>& answer)
        {
            if (!answer)
            {
                done(fail(answer.error().code == result_code::connect_failed
                              ? result_code::platform_unreachable
                              : result_code::platform_connection_lost,
                          answer.error().detail));
            }
            else if (answer->status == status_gone)
            {
                done(fail(result_code::history_gone,
                          "revision is no longer in the history"));
            }
            else if (answer->status != 200)
            {
                done(fail(result_code::platform_unreachable,
                          "status " + std::to_string(answer->status)));
            }
            else
            {
                auto page = decode(answer->body);
                if (page)
                {
                    page->copy_age = read_age(answer->headers);
                }
                done(std::move(page));
            }
        });
}

} // namespace hawthornrelay::adapters::relay
