#pragma once

#include <medlarrack/config_sync/platform_reader.hpp>
#include <medlarrack/core/instance_ref.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/entry/entry_service.hpp>
#include <medlarrack/entry/entry_settings.hpp>
#include <medlarrack/entry/sidecar_link.hpp>
#include <medlarrack/http/client.hpp>
#include <medlarrack/instances/view.hpp>
#include <medlarrack/peer/client.hpp>
#include <medlarrack/tickets/state.hpp>

#include <asio/io_context.hpp>

#include <functional>

namespace medlarrack::entry {

/// Connects an entry with the reader of the platform's service and the client for its peers.
class entry_process
{
public:
    entry_process(asio::io_context &context, const entry_settings &settings);
    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    [[nodiscard]] bool start(core::reason &why);
    /// Starts a graceful shutdown, see entry_service::drain().
    void drain(std::function<void()> onDrained);
    void stop();

    [[nodiscard]] const entry_service &service() const;

private:
    [[nodiscard]] peer::hello hello() const;
    [[nodiscard]] entry_dependencies dependencies();
    [[nodiscard]] config_sync::reader_callbacks callbacks();

    asio::io_context &m_context;
    const core::system_clock m_clock;
    const core::instance_ref m_self;
    const std::string m_dataCentre;
    tickets::state m_tickets{tickets::ticket_texts::drop};
    instances::view m_instances;
    http::client m_http;
    peer::client m_peers;
    peer_link m_link;
    config_sync::platform_reader m_reader;
    entry_service m_service;
};

} // namespace medlarrack::entry
