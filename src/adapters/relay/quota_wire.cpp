#include <adapters/relay/quota_wire.hpp>

#include <algorithm>
#include <cmath>
#include <string>

#include <core/relay/quota_shares.hpp>
#include <schemas/generated/relay_generated.h>

namespace hawthornrelay::adapters::relay
{

using core::base::duration;
using core::relay::quota_message;

namespace
{

constexpr const char* identifier = "QUOT";

/// The least size of a buffer that can have an identifier.
constexpr std::size_t header_size = 8;

/// Durations above this are not distinguished.
constexpr std::uint64_t max_duration_us = 3'600'000'000;

std::string to_string(const flatbuffers::String* text)
{
    return text == nullptr ? std::string() : text->str();
}

duration to_duration(std::uint64_t us)
{
    return duration(static_cast<duration::rep>(std::min(us, max_duration_us)));
}

std::uint64_t to_us(duration value)
{
    return std::min(
        static_cast<std::uint64_t>(std::max<duration::rep>(0, value.count())),
        max_duration_us);
}

/// Amounts that are not numbers or are negative count as none.
double to_amount(double value)
{
    return std::isfinite(value) && value > 0 ? value : 0.0;
}

} // namespace

bool is_quota_datagram(const std::uint8_t* data, std::size_t size)
{
    return size >= header_size &&
           flatbuffers::BufferHasIdentifier(data, identifier);
}

std::optional<quota_message> read_quota_datagram(const std::uint8_t* data,
                                                 std::size_t size)
{
    flatbuffers::Verifier verifier(data, size);
    if (!is_quota_datagram(data, size) ||
        !verifier.VerifyBuffer<schemas::QuotaMessage>(identifier))
    {
        return std::nullopt;
    }
    const auto* read = flatbuffers::GetRoot<schemas::QuotaMessage>(data);
    quota_message result;
    result.node = to_string(read->node());
    result.incarnation = read->run();
    result.sent_at = read->sent_at();
    result.heard_incarnation = read->heard_run();
    result.heard_at = read->heard_at();
    result.divisor = read->divisor();
    result.lent_slots = read->lent_slots();
    result.idle = to_duration(read->idle_us());
    result.last_use_age = to_duration(read->use_age_us());
    if (const auto* asks = read->asks(); asks != nullptr)
    {
        for (const auto* ask : *asks)
        {
            result.asks.push_back(
                {.organisation = to_string(ask->organisation()),
                 .limit = {to_amount(ask->rate()), to_amount(ask->burst())},
                 .wanted = to_amount(ask->wanted()),
                 .returned = to_amount(ask->returned()),
                 .last_granted = ask->last_granted()});
        }
    }
    if (const auto* grants = read->grants(); grants != nullptr)
    {
        for (const auto* grant : *grants)
        {
            result.grants.push_back(
                {.organisation = to_string(grant->organisation()),
                 .credit = to_amount(grant->credit()),
                 .wait = to_duration(grant->wait_us()),
                 .is_pool_growing = grant->growing(),
                 .asked_at = grant->asked_at()});
        }
    }
    return result.node.empty() ? std::nullopt : std::optional(result);
}

std::vector<std::uint8_t> write_quota_datagram(const quota_message& message)
{
    static_assert(core::relay::quota_slot_count <= 16,
                  "lent_slots has 16 bits");
    flatbuffers::FlatBufferBuilder builder(256);
    std::vector<flatbuffers::Offset<schemas::QuotaAsk>> asks;
    for (const auto& ask : message.asks)
    {
        asks.push_back(schemas::CreateQuotaAskDirect(builder,
                                                     ask.organisation.c_str(),
                                                     ask.limit.rate_per_second,
                                                     ask.limit.burst,
                                                     ask.wanted,
                                                     ask.returned,
                                                     ask.last_granted));
    }
    std::vector<flatbuffers::Offset<schemas::QuotaGrant>> grants;
    for (const auto& grant : message.grants)
    {
        grants.push_back(
            schemas::CreateQuotaGrantDirect(builder,
                                            grant.organisation.c_str(),
                                            grant.credit,
                                            to_us(grant.wait),
                                            grant.is_pool_growing,
                                            grant.asked_at));
    }
    builder.Finish(schemas::CreateQuotaMessageDirect(
                       builder,
                       message.node.c_str(),
                       message.incarnation,
                       message.sent_at,
                       message.heard_incarnation,
                       message.heard_at,
                       static_cast<std::uint16_t>(message.divisor),
                       static_cast<std::uint16_t>(message.lent_slots),
                       to_us(message.idle),
                       to_us(message.last_use_age),
                       asks.empty() ? nullptr : &asks,
                       grants.empty() ? nullptr : &grants),
                   identifier);
    return {builder.GetBufferPointer(),
            builder.GetBufferPointer() + builder.GetSize()};
}

} // namespace hawthornrelay::adapters::relay
