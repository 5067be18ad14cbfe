#include <adapters/relay/beacon_socket.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <schemas/generated/relay_generated.h>

#include <adapters/asio/socket.hpp>
#include <adapters/relay/quota_wire.hpp>

namespace hawthornrelay::adapters::relay
{

using boost::asio::ip::udp;
using core::base::fail;
using core::base::result_code;

namespace
{

std::string to_string(const flatbuffers::String* text)
{
    return text == nullptr ? std::string() : text->str();
}

std::uint32_t to_age_ms(core::base::duration age)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(age);
    return static_cast<std::uint32_t>(
        std::clamp<std::chrono::milliseconds::rep>(
            ms.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

core::relay::rollout_message read_rollouts(const schemas::Beacon& message)
{
    core::relay::rollout_message result;
    if (const auto* grants = message.rollout_grants(); grants != nullptr)
    {
        for (const auto* grant : *grants)
        {
            // An unknown stage of a later version gives no permission.
            const auto stage =
                grant->stage() <=
                        static_cast<unsigned>(core::relay::rollout_stage::drain)
                    ? static_cast<core::relay::rollout_stage>(grant->stage())
                    : core::relay::rollout_stage::hold;
            result.grants.push_back(
                {grant->service(),
                 grant->order(),
                 grant->term(),
                 stage,
                 std::chrono::milliseconds(grant->age_ms()),
                 std::chrono::milliseconds(grant->order_age_ms()),
                 grant->pending()});
        }
    }
    if (const auto* counts = message.rollout_counts(); counts != nullptr)
    {
        for (const auto* count : *counts)
        {
            result.counts.push_back({count->service(),
                                     count->order(),
                                     count->route(),
                                     count->zone(),
                                     count->replica(),
                                     count->responses(),
                                     count->failed(),
                                     count->timed(),
                                     count->slow()});
        }
    }
    return result;
}

core::base::result<udp::endpoint> parse_udp_endpoint(const std::string& address)
{
    return asio::parse_endpoint(address).map(
        [](const boost::asio::ip::tcp::endpoint& parsed)
        {
            return udp::endpoint(parsed.address(), parsed.port());
        });
}

} // namespace

beacon_socket::beacon_socket(boost::asio::io_context& io,
                             handler on_record,
                             quota_handler on_quota)
    : socket(io), on_record(std::move(on_record)), on_quota(std::move(on_quota))
{
}

core::base::result<void> beacon_socket::open(const std::string& address)
{
    const auto endpoint = parse_udp_endpoint(address);
    if (!endpoint)
    {
        return tl::unexpected(endpoint.error());
    }
    boost::system::error_code error;
    this->socket.open(endpoint->protocol(), error);
    if (!error)
    {
        this->socket.bind(*endpoint, error);
    }
    if (!error)
    {
        this->socket.non_blocking(true, error);
    }
    if (error)
    {
        return fail(result_code::connect_failed,
                    address + ": " + error.message());
    }
    this->receive();
    return {};
}

void beacon_socket::send(const std::string& to,
                         const core::relay::node_record& self)
{
    const auto endpoint = parse_udp_endpoint(to);
    if (!endpoint)
    {
        return;
    }
    flatbuffers::FlatBufferBuilder builder(256);
    std::vector<flatbuffers::Offset<flatbuffers::String>> silent;
    for (const auto& name : self.silent_entries)
    {
        silent.push_back(builder.CreateString(name));
    }
    std::vector<schemas::Crash> crashes;
    for (const auto& crash : self.crashes)
    {
        crashes.emplace_back(crash.request, crash.crash, to_age_ms(crash.age));
    }
    std::vector<schemas::RolloutGrant> grants;
    for (const auto& grant : self.rollouts.grants)
    {
        grants.emplace_back(grant.service,
                            grant.order,
                            grant.term,
                            static_cast<std::uint32_t>(grant.stage),
                            to_age_ms(grant.age),
                            to_age_ms(grant.order_age),
                            grant.pending);
    }
    std::vector<schemas::RolloutCount> counts;
    for (const auto& count : self.rollouts.counts)
    {
        counts.emplace_back(count.service,
                            count.order,
                            count.route,
                            count.zone,
                            count.replica,
                            count.responses,
                            count.failed,
                            count.timed,
                            count.slow);
    }
    builder.Finish(schemas::CreateBeaconDirect(builder,
                                               self.name.c_str(),
                                               self.incarnation,
                                               self.zone.c_str(),
                                               self.caller_address.c_str(),
                                               self.peers.c_str(),
                                               self.is_stopping,
                                               self.is_ready,
                                               self.reads_store,
                                               to_age_ms(self.store_age),
                                               self.millicores,
                                               self.is_entry,
                                               self.wants_reply,
                                               self.referral.c_str(),
                                               &silent,
                                               self.is_cut_off,
                                               &crashes,
                                               &grants,
                                               &counts));
    boost::system::error_code ignored;
    this->socket.send_to(
        boost::asio::buffer(builder.GetBufferPointer(), builder.GetSize()),
        *endpoint,
        0,
        ignored);
}

void beacon_socket::send(const std::string& to,
                         const core::relay::quota_message& message)
{
    const auto endpoint = parse_udp_endpoint(to);
    const auto bytes = write_quota_datagram(message);
    if (!endpoint || bytes.size() > max_datagram)
    {
        return;
    }
    boost::system::error_code ignored;
    this->socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, ignored);
}

void beacon_socket::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->datagram),
        this->sender,
        [this](const boost::system::error_code& error, std::size_t size)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                this->on_datagram(size);
            }
            this->receive();
        });
}

void beacon_socket::on_datagram(std::size_t size)
{
    if (is_quota_datagram(this->datagram.data(), size))
    {
        const auto message = read_quota_datagram(this->datagram.data(), size);
        if (message && this->on_quota)
        {
            this->on_quota(*message);
        }
        return;
    }
    flatbuffers::Verifier verifier(this->datagram.data(), size);
    if (!schemas::VerifyBeaconBuffer(verifier))
    {
        return;
    }
    const auto* message = schemas::GetBeacon(this->datagram.data());
    core::relay::node_record record;
    record.name = to_string(message->node());
    record.incarnation = message->run();
    record.zone = to_string(message->zone());
    record.caller_address = to_string(message->callers());
    record.peers = to_string(message->peers());
    record.is_stopping = message->stopping();
    record.is_ready = message->ready();
    record.reads_store = message->reads_store();
    record.store_age = std::chrono::milliseconds(message->store_age_ms());
    record.millicores = message->millicores();
    record.is_entry = message->entry();
    record.wants_reply = message->asks();
    record.is_cut_off = message->cut_off();
    record.referral = to_string(message->referral());
    if (const auto* silent = message->silent(); silent != nullptr)
    {
        for (const auto* name : *silent)
        {
            record.silent_entries.push_back(name->str());
        }
    }
    if (const auto* crashes = message->crashes(); crashes != nullptr)
    {
        for (const auto* crash : *crashes)
        {
            record.crashes.push_back(
                {crash->request(),
                 crash->crash(),
                 std::chrono::milliseconds(crash->age_ms())});
        }
    }
    record.rollouts = read_rollouts(*message);
    if (!record.name.empty())
    {
        this->on_record(record);
    }
}

void beacon_socket::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

} // namespace hawthornrelay::adapters::relay
