#include "entry_process.hpp"

#include <medlarrack/config_sync/peer_query.hpp>
#include <medlarrack/log/log.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace medlarrack::entry {

namespace {

constexpr std::chrono::milliseconds peerQuestionTimeout{2'000};

core::instance_ref makeSelf(const entry_settings &settings, const core::clock &clock)
{
    return {settings.instanceId, static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count())};
}

peer::client_limits clientLimits(const entry_settings &settings)
{
    peer::client_limits limits;
    limits.maxConnections = settings.routing.maxPeerConnections;
    return limits;
}

config_sync::reader_settings readerSettings(const entry_settings &settings)
{
    config_sync::reader_settings result;
    result.platformUrl = settings.platform.url;
    result.self.id = settings.instanceId;
    result.self.kind = instances::instance_kind::entry;
    result.self.dataCentre = settings.dataCentre;
    for (const seed_settings &seed : settings.platform.seeds) {
        result.seeds.push_back({seed.id, seed.address, seed.port});
    }
    return result;
}

void logMalformed(std::string_view /*text*/, const std::vector<tickets::ticket_fault> &faults)
{
    for (const tickets::ticket_fault &fault : faults) {
        log::write(log::level::error, "rejected a malformed change ticket",
                   {{"pointer", fault.pointer}, {"fault", fault.message}});
    }
}

} // namespace

entry_process::entry_process(asio::io_context &context, const entry_settings &settings)
    : m_context(context)
    , m_self(makeSelf(settings, m_clock))
    , m_dataCentre(settings.dataCentre)
    , m_http(context)
    , m_peers(context, clientLimits(settings),
              [this] {
                  return hello();
              })
    , m_link(m_peers)
    , m_reader(context, m_http, readerSettings(settings), m_tickets, m_instances, m_clock, callbacks())
    , m_service(settings, dependencies())
{
    m_peers.onHello([this](const peer::endpoint & /*from*/, const peer::hello &message) {
        if (message.newestTicket > m_tickets.newest()) {
            m_reader.noteNewest(message.newestTicket, message.sender.id);
        }
    });
}

bool entry_process::start(core::reason &why)
{
    if (!m_service.start(why)) {
        return false;
    }
    m_reader.start();
    return true;
}

void entry_process::drain(std::function<void()> onDrained)
{
    m_service.drain(std::move(onDrained));
}

void entry_process::stop()
{
    m_service.stop();
    m_reader.stop();
    m_peers.stop();
    m_http.stop();
}

const entry_service &entry_process::service() const
{
    return m_service;
}

peer::hello entry_process::hello() const
{
    peer::hello message;
    message.sender = m_self;
    message.dataCentre = m_dataCentre;
    message.newestTicket = m_tickets.newest();
    return message;
}

entry_dependencies entry_process::dependencies()
{
    return {m_context,
            m_clock,
            m_tickets,
            m_instances,
            m_link,
            [this](std::uint64_t number, std::string_view instanceId) {
                m_reader.noteNewest(number, instanceId);
            },
            [this] {
                return m_reader.ready();
            },
            [this] {
                return config_sync::toJson(m_reader.status(), m_clock.now()).dump();
            }};
}

config_sync::reader_callbacks entry_process::callbacks()
{
    config_sync::reader_callbacks result;
    result.onMalformed = logMalformed;
    result.queryPeer = config_sync::makePeerQuery(m_context, m_peers, peerQuestionTimeout);
    return result;
}

} // namespace medlarrack::entry
