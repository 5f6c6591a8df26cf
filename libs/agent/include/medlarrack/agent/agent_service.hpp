#pragma once

#include <medlarrack/agent/agent_settings.hpp>
#include <medlarrack/agent/engine_format.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>

#include <asio/io_context.hpp>

#include <memory>

namespace medlarrack::agent {

/// Manages the engine on the same machine: it alone sends the engine orders to load and unload adapters, and it
/// publishes the engine's status to the gateways.
class agent_service
{
public:
    /// Format and clock must outlive the service.
    agent_service(asio::io_context &context, const agent_settings &settings, const engine_format &format,
                  const core::clock &clock);
    ~agent_service();
    agent_service(const agent_service &) = delete;
    agent_service &operator=(const agent_service &) = delete;

    /// Listens for gateways and starts polling the engine; false with a reason if an address is invalid or in use.
    [[nodiscard]] bool start(core::reason &why);
    /// Closes all links and sends no more orders.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::agent
