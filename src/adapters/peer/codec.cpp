#include <adapters/peer/codec.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

#include <schemas/generated/peer_generated.h>

namespace hawthornrelay::adapters::peer
{

namespace fb = flatbuffers;
namespace wire = hawthornrelay::schemas;
namespace messages = core::messages;
using core::base::duration;
using core::base::fail;
using core::base::result_code;

namespace
{

using content_offset = std::pair<wire::Content, fb::Offset<void>>;

/// Longer durations in received messages are reduced to this one.
constexpr std::uint64_t max_duration_us = 1'000'000ULL * 3600 * 24 * 365;

constexpr std::size_t initial_buffer_bytes = 1024;

std::uint64_t to_us(duration time)
{
    return static_cast<std::uint64_t>(std::max<duration::rep>(time.count(), 0));
}

duration from_us(std::uint64_t count)
{
    return duration(
        static_cast<duration::rep>(std::min(count, max_duration_us)));
}

std::string text(const fb::String* value)
{
    return value == nullptr ? std::string() : value->str();
}

result_code to_code(std::uint32_t number)
{
    return static_cast<result_code>(number);
}

std::uint32_t to_number(result_code code)
{
    return static_cast<std::uint32_t>(code);
}

fb::Offset<wire::Crash> write_crash(fb::FlatBufferBuilder& out,
                                    const messages::crash_record& crash)
{
    return wire::CreateCrash(out,
                             crash.request,
                             out.CreateString(crash.replica.service),
                             crash.replica.index,
                             crash.event,
                             to_us(crash.age));
}

messages::crash_record read_crash(const wire::Crash* crash)
{
    if (crash == nullptr)
    {
        return {};
    }
    return {crash->request(),
            {text(crash->service()), crash->index()},
            crash->event(),
            from_us(crash->age_us())};
}

/// Encodes messages; one overload per type, for std::visit.
class writer
{
  public:
    explicit writer(fb::FlatBufferBuilder& out) : out(out)
    {
    }

    content_offset operator()(const messages::probe& m) const
    {
        return {wire::Content::Probe,
                wire::CreateProbe(this->out, m.id, m.applied).Union()};
    }

    content_offset operator()(const messages::probe_reply& m) const
    {
        std::vector<fb::Offset<wire::Attestation>> attestations;
        attestations.reserve(m.attestations.size());
        for (const auto& item : m.attestations)
        {
            attestations.push_back(
                wire::CreateAttestation(this->out,
                                        this->out.CreateString(item.node),
                                        item.incarnation,
                                        item.platform_away,
                                        item.stopping,
                                        item.applied,
                                        to_us(item.age)));
        }
        std::vector<fb::Offset<wire::Crash>> crashes;
        crashes.reserve(m.crashes.size());
        for (const auto& item : m.crashes)
        {
            crashes.push_back(write_crash(this->out, item));
        }
        return {wire::Content::ProbeReply,
                wire::CreateProbeReply(this->out,
                                       m.id,
                                       m.applied,
                                       m.verified,
                                       to_us(m.verified_age),
                                       this->out.CreateVector(attestations),
                                       this->out.CreateVector(crashes))
                    .Union()};
    }

    content_offset operator()(const messages::config_pull& m) const
    {
        return {wire::Content::ConfigPull,
                wire::CreateConfigPull(this->out, m.since).Union()};
    }

    content_offset operator()(const messages::config_push& m) const
    {
        std::vector<fb::Offset<wire::Entry>> entries;
        entries.reserve(m.changes.items.size());
        for (const auto& item : m.changes.items)
        {
            entries.push_back(
                wire::CreateEntry(this->out,
                                  this->out.CreateString(item.key),
                                  this->out.CreateString(item.value),
                                  item.modified));
        }
        return {wire::Content::ConfigPush,
                wire::CreateConfigPush(this->out,
                                       m.changes.from,
                                       m.changes.to,
                                       this->out.CreateVector(entries))
                    .Union()};
    }

    content_offset operator()(const messages::share_claim& m) const
    {
        return {wire::Content::ShareClaim,
                wire::CreateShareClaim(this->out,
                                       this->out.CreateString(m.share.service),
                                       m.share.index,
                                       m.epoch)
                    .Union()};
    }

    content_offset operator()(const messages::share_grant& m) const
    {
        return {wire::Content::ShareGrant,
                wire::CreateShareGrant(this->out,
                                       this->out.CreateString(m.share.service),
                                       m.share.index,
                                       m.epoch,
                                       m.granted,
                                       this->out.CreateString(m.moved_to))
                    .Union()};
    }

    content_offset operator()(const messages::work_batch& m) const
    {
        std::vector<fb::Offset<wire::WorkItem>> items;
        items.reserve(m.items.size());
        for (const auto& item : m.items)
        {
            // All parts of a query have the same body: store it once.
            const auto body = this->out.CreateSharedString(item.body);
            items.push_back(wire::CreateWorkItem(
                this->out,
                item.attempt,
                this->out.CreateString(item.replica.service),
                item.replica.index,
                item.version,
                item.request,
                to_us(item.time_left),
                item.urgent,
                item.hedge,
                item.idempotent,
                body,
                this->out.CreateString(item.origin)));
        }
        return {wire::Content::WorkBatch,
                wire::CreateWorkBatch(this->out, this->out.CreateVector(items))
                    .Union()};
    }

    content_offset operator()(const messages::result_batch& m) const
    {
        std::vector<fb::Offset<wire::WorkResult>> items;
        items.reserve(m.items.size());
        for (const auto& item : m.items)
        {
            items.push_back(
                wire::CreateWorkResult(this->out,
                                       item.attempt,
                                       item.replica_index,
                                       to_number(item.code),
                                       item.version,
                                       item.oldest,
                                       item.newest,
                                       to_us(item.wait),
                                       item.busy,
                                       item.limit,
                                       this->out.CreateString(item.body)));
        }
        return {
            wire::Content::ResultBatch,
            wire::CreateResultBatch(this->out, this->out.CreateVector(items))
                .Union()};
    }

    content_offset operator()(const messages::work_slow& m) const
    {
        return {wire::Content::WorkSlow,
                wire::CreateWorkSlow(this->out, m.attempt, m.replica_index)
                    .Union()};
    }

    content_offset operator()(const messages::work_cancel& m) const
    {
        return {wire::Content::WorkCancel,
                wire::CreateWorkCancel(
                    this->out, m.attempt, this->out.CreateString(m.origin))
                    .Union()};
    }

    content_offset operator()(const messages::work_waiting& m) const
    {
        return {
            wire::Content::WorkWaiting,
            wire::CreateWorkWaiting(this->out,
                                    this->out.CreateString(m.replica.service),
                                    m.replica.index,
                                    m.sibling_index)
                .Union()};
    }

    content_offset operator()(const messages::work_wanted& m) const
    {
        return {
            wire::Content::WorkWanted,
            wire::CreateWorkWanted(this->out,
                                   this->out.CreateString(m.replica.service),
                                   m.replica.index,
                                   m.sibling_index)
                .Union()};
    }

    content_offset operator()(const messages::admit_request& m) const
    {
        return {wire::Content::AdmitRequest,
                wire::CreateAdmitRequest(this->out,
                                         m.id,
                                         this->out.CreateString(m.customer),
                                         m.slice,
                                         to_us(m.time_left))
                    .Union()};
    }

    content_offset operator()(const messages::admit_reply& m) const
    {
        return {
            wire::Content::AdmitReply,
            wire::CreateAdmitReply(this->out, m.id, to_number(m.code)).Union()};
    }

    content_offset operator()(const messages::admit_release& m) const
    {
        return {wire::Content::AdmitRelease,
                wire::CreateAdmitRelease(
                    this->out, m.id, this->out.CreateString(m.customer))
                    .Union()};
    }

    content_offset operator()(const messages::keyed_request& m) const
    {
        return {wire::Content::KeyedRequest,
                wire::CreateKeyedRequest(this->out,
                                         m.id,
                                         this->out.CreateString(m.key),
                                         this->out.CreateString(m.customer),
                                         this->out.CreateString(m.service),
                                         this->out.CreateString(m.body),
                                         to_us(m.time_left))
                    .Union()};
    }

    content_offset operator()(const messages::keyed_reply& m) const
    {
        return {wire::Content::KeyedReply,
                wire::CreateKeyedReply(this->out,
                                       m.id,
                                       to_number(m.code),
                                       this->out.CreateString(m.body))
                    .Union()};
    }

    content_offset operator()(const messages::crash_notice& m) const
    {
        return {wire::Content::CrashNotice,
                wire::CreateCrashNotice(
                    this->out, m.id, write_crash(this->out, m.crash))
                    .Union()};
    }

    content_offset operator()(const messages::crash_ack& m) const
    {
        return {wire::Content::CrashAck,
                wire::CreateCrashAck(this->out, m.id).Union()};
    }

    content_offset operator()(const hello& m) const
    {
        return {wire::Content::Hello,
                wire::CreateHello(this->out,
                                  this->out.CreateString(m.node),
                                  m.incarnation,
                                  this->out.CreateVector(m.nonce),
                                  this->out.CreateVector(m.proof))
                    .Union()};
    }

  private:
    fb::FlatBufferBuilder& out;
};

std::string finish(fb::FlatBufferBuilder& out, content_offset content)
{
    out.Finish(wire::CreateFrame(out, content.first, content.second));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()),
            out.GetSize()};
}

messages::probe_reply read(const wire::ProbeReply& m)
{
    messages::probe_reply result{m.id(),
                                 m.applied(),
                                 m.verified(),
                                 from_us(m.verified_age_us()),
                                 {},
                                 {}};
    if (m.attestations() != nullptr)
    {
        for (const auto* item : *m.attestations())
        {
            result.attestations.push_back({text(item->node()),
                                           item->run(),
                                           item->away(),
                                           item->stopping(),
                                           item->applied(),
                                           from_us(item->age_us())});
        }
    }
    if (m.crashes() != nullptr)
    {
        for (const auto* item : *m.crashes())
        {
            result.crashes.push_back(read_crash(item));
        }
    }
    return result;
}

messages::config_push read(const wire::ConfigPush& m)
{
    messages::config_push result{{m.from(), m.to(), {}}};
    if (m.entries() != nullptr)
    {
        for (const auto* item : *m.entries())
        {
            result.changes.items.push_back(
                {text(item->key()), text(item->value()), item->modified()});
        }
    }
    return result;
}

messages::work_batch read(const wire::WorkBatch& m)
{
    messages::work_batch result;
    if (m.items() != nullptr)
    {
        result.items.reserve(m.items()->size());
        for (const auto* item : *m.items())
        {
            result.items.push_back({item->attempt(),
                                    {text(item->service()), item->index()},
                                    item->version(),
                                    item->request(),
                                    from_us(item->time_left_us()),
                                    item->urgent(),
                                    item->hedge(),
                                    item->idempotent(),
                                    text(item->body()),
                                    text(item->origin())});
        }
    }
    return result;
}

messages::result_batch read(const wire::ResultBatch& m)
{
    messages::result_batch result;
    if (m.items() != nullptr)
    {
        result.items.reserve(m.items()->size());
        for (const auto* item : *m.items())
        {
            result.items.push_back({item->attempt(),
                                    item->index(),
                                    to_code(item->code()),
                                    item->version(),
                                    item->oldest(),
                                    item->newest(),
                                    from_us(item->wait_us()),
                                    item->busy(),
                                    item->limit(),
                                    text(item->body())});
        }
    }
    return result;
}

hello read(const wire::Hello& m)
{
    hello result{text(m.node()), m.run(), {}, {}};
    if (m.nonce() != nullptr)
    {
        result.nonce.assign(m.nonce()->begin(), m.nonce()->end());
    }
    if (m.proof() != nullptr)
    {
        result.proof.assign(m.proof()->begin(), m.proof()->end());
    }
    return result;
}

core::base::result<frame> read(const wire::Frame& m)
{
    using messages::peer_message;
    switch (m.content_type())
    {
    case wire::Content::Hello:
        return frame(read(*m.content_as_Hello()));
    case wire::Content::Probe:
    {
        const auto* c = m.content_as_Probe();
        return frame(peer_message(messages::probe{c->id(), c->applied()}));
    }
    case wire::Content::ProbeReply:
        return frame(peer_message(read(*m.content_as_ProbeReply())));
    case wire::Content::ConfigPull:
        return frame(peer_message(
            messages::config_pull{m.content_as_ConfigPull()->since()}));
    case wire::Content::ConfigPush:
        return frame(peer_message(read(*m.content_as_ConfigPush())));
    case wire::Content::ShareClaim:
    {
        const auto* c = m.content_as_ShareClaim();
        return frame(peer_message(
            messages::share_claim{{text(c->name()), c->index()}, c->epoch()}));
    }
    case wire::Content::ShareGrant:
    {
        const auto* c = m.content_as_ShareGrant();
        return frame(
            peer_message(messages::share_grant{{text(c->name()), c->index()},
                                               c->epoch(),
                                               c->granted(),
                                               text(c->moved_to())}));
    }
    case wire::Content::WorkBatch:
        return frame(peer_message(read(*m.content_as_WorkBatch())));
    case wire::Content::ResultBatch:
        return frame(peer_message(read(*m.content_as_ResultBatch())));
    case wire::Content::WorkSlow:
        return frame(peer_message(
            messages::work_slow{m.content_as_WorkSlow()->attempt(),
                                m.content_as_WorkSlow()->index()}));
    case wire::Content::WorkCancel:
        return frame(peer_message(
            messages::work_cancel{m.content_as_WorkCancel()->attempt(),
                                  text(m.content_as_WorkCancel()->origin())}));
    case wire::Content::WorkWaiting:
    {
        const auto* c = m.content_as_WorkWaiting();
        return frame(peer_message(messages::work_waiting{
            {text(c->service()), c->index()}, c->sibling()}));
    }
    case wire::Content::WorkWanted:
    {
        const auto* c = m.content_as_WorkWanted();
        return frame(peer_message(messages::work_wanted{
            {text(c->service()), c->index()}, c->sibling()}));
    }
    case wire::Content::AdmitRequest:
    {
        const auto* c = m.content_as_AdmitRequest();
        return frame(
            peer_message(messages::admit_request{c->id(),
                                                 text(c->customer()),
                                                 c->slice(),
                                                 from_us(c->time_left_us())}));
    }
    case wire::Content::AdmitReply:
    {
        const auto* c = m.content_as_AdmitReply();
        return frame(
            peer_message(messages::admit_reply{c->id(), to_code(c->code())}));
    }
    case wire::Content::AdmitRelease:
    {
        const auto* c = m.content_as_AdmitRelease();
        return frame(peer_message(
            messages::admit_release{c->id(), text(c->customer())}));
    }
    case wire::Content::KeyedRequest:
    {
        const auto* c = m.content_as_KeyedRequest();
        return frame(
            peer_message(messages::keyed_request{c->id(),
                                                 text(c->key()),
                                                 text(c->customer()),
                                                 text(c->service()),
                                                 text(c->body()),
                                                 from_us(c->time_left_us())}));
    }
    case wire::Content::KeyedReply:
    {
        const auto* c = m.content_as_KeyedReply();
        return frame(peer_message(messages::keyed_reply{
            c->id(), to_code(c->code()), text(c->body())}));
    }
    case wire::Content::CrashNotice:
    {
        const auto* c = m.content_as_CrashNotice();
        return frame(peer_message(
            messages::crash_notice{c->id(), read_crash(c->crash())}));
    }
    case wire::Content::CrashAck:
        return frame(
            peer_message(messages::crash_ack{m.content_as_CrashAck()->id()}));
    case wire::Content::NONE:
        break;
    }
    return fail(result_code::frame_malformed, "unknown message type");
}

} // namespace

std::string encode(const core::messages::peer_message& message)
{
    fb::FlatBufferBuilder out(initial_buffer_bytes);
    return finish(out, std::visit(writer(out), message));
}

std::string encode(const hello& message)
{
    fb::FlatBufferBuilder out(initial_buffer_bytes);
    return finish(out, writer(out)(message));
}

core::base::result<frame> decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    fb::Verifier verifier(data, bytes.size());
    if (!wire::VerifyFrameBuffer(verifier))
    {
        return fail(result_code::frame_malformed, "invalid frame");
    }
    const auto* decoded = wire::GetFrame(data);
    if (decoded->content() == nullptr)
    {
        return fail(result_code::frame_malformed, "frame without content");
    }
    return read(*decoded);
}

} // namespace hawthornrelay::adapters::peer
