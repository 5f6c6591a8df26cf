#include "platform_link.hpp"

#include <medlarrack/config_sync/peer_query.hpp>
#include <medlarrack/log/log.hpp>

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace medlarrack::sidecar::detail {
namespace {

/// Time limit for a peer to send its tickets.
constexpr std::chrono::milliseconds peerTimeout{2'000};

void logMalformed(std::string_view /*text*/, const std::vector<tickets::ticket_fault> &faults)
{
    for (const tickets::ticket_fault &fault : faults) {
        log::write(log::level::warning, "ticket refused", {{"pointer", fault.pointer}, {"fault", fault.message}});
    }
}

} // namespace

platform_link::platform_link(asio::io_context &context, const sidecar_settings &settings, const core::clock &clock,
                             http::client &client, peer::client &peers)
    : m_context(context)
    , m_settings(settings)
    , m_clock(clock)
    , m_client(client)
    , m_peers(peers)
{
}

void platform_link::start(std::uint16_t peersPort)
{
    config_sync::reader_callbacks callbacks;
    callbacks.onMalformed = logMalformed;
    callbacks.queryPeer = config_sync::makePeerQuery(m_context, m_peers, peerTimeout);
    m_reader = std::make_unique<config_sync::platform_reader>(m_context, m_client, readerSettings(peersPort), m_state,
                                                              m_view, m_clock, std::move(callbacks));
    m_reader->start();
    m_started = true;
}

void platform_link::stop()
{
    if (m_started) {
        m_reader->stop();
    }
}

const tickets::state &platform_link::state() const
{
    return m_state;
}

const instances::view &platform_link::view() const
{
    return m_view;
}

void platform_link::noteNewest(std::uint64_t newestTicket, std::string_view senderId)
{
    if (m_started && newestTicket > m_state.newest()) {
        m_reader->noteNewest(newestTicket, senderId);
    }
}

peer::tickets_reply platform_link::answer(const peer::tickets_request &request) const
{
    if (!m_started) {
        peer::tickets_reply reply;
        reply.complete = false;
        return reply;
    }
    return m_reader->answer(request);
}

std::optional<group_view> platform_link::takeChangedGroup()
{
    const auto list = m_view.current();
    if (list->asOf == m_lastReturned) {
        return std::nullopt;
    }
    m_lastReturned = list->asOf;
    group_view group;
    group.asOf = list->asOf;
    group.activeCount = 0;
    for (const instances::instance &one : list->instances) {
        if (one.kind != instances::instance_kind::sidecar || one.group != m_settings.group) {
            continue;
        }
        group.members.push_back(one.id);
        group.activeCount += one.leaving ? 0 : 1;
        group.selfLeaving = group.selfLeaving || (one.leaving && one.id == m_settings.instanceId);
    }
    return group;
}

std::string platform_link::statusJson() const
{
    return !m_started ? "{}" : config_sync::toJson(m_reader->status(), m_clock.now()).dump();
}

config_sync::reader_settings platform_link::readerSettings(std::uint16_t peersPort) const
{
    config_sync::reader_settings result;
    result.platformUrl = m_settings.platformUrl;
    result.self.id = m_settings.instanceId;
    result.self.kind = instances::instance_kind::sidecar;
    result.self.target = m_settings.isEngine() ? instances::target_kind::engine : instances::target_kind::service;
    result.self.group = m_settings.group;
    result.self.dataCentre = m_settings.dataCentre;
    result.self.address = m_settings.peers.address;
    result.self.port = peersPort;
    return result;
}

} // namespace medlarrack::sidecar::detail
