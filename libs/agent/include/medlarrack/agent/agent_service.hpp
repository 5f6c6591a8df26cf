#pragma once

#include <medlarrack/agent/agent_settings.hpp>
#include <medlarrack/agent/engine_format.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>

#include <asio/io_context.hpp>

#include <memory>

namespace medlarrack::agent {

/// The only holder of orders to the engine beside it: keeps its adapters, and tells gateways what it holds.
class agent_service
{
public:
    /// Format and clock must outlive the service.
    agent_service(asio::io_context &context, const agent_settings &settings, const engine_format &format,
                  const core::clock &clock);
    ~agent_service();
    agent_service(const agent_service &) = delete;
    agent_service &operator=(const agent_service &) = delete;

    /// Listens and starts asking the engine; false with a reason if the address isn't free.
    [[nodiscard]] bool start(core::reason &why);
    /// Closes all links and gives no more orders.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::agent
