#pragma once

#include <medlarrack/catalog/store_format.hpp>
#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/gateway/caller_format.hpp>
#include <medlarrack/gateway/gateway_settings.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace medlarrack::gateway {

/// Accepts callers' requests, sends each directly to a replica and relays the response. Runs in one thread.
class gateway_service
{
public:
    /// The formats and the clock must outlive the service.
    gateway_service(asio::io_context &context, const gateway_settings &settings, const caller_format &callers,
                    const catalog::store_format &store, const core::clock &clock);
    ~gateway_service();
    gateway_service(const gateway_service &) = delete;
    gateway_service &operator=(const gateway_service &) = delete;

    /// Starts listening and reading the store; false with a reason if an address is invalid or in use.
    [[nodiscard]] bool start(core::reason &why);
    /// Fails the readiness probe from now on, completes the requests in progress, and calls back when all of them have
    /// ended or the grace is nearly over. The others are answered before it calls back.
    void drain(std::function<void()> onDone);
    /// Applies the settings that can change at run time: retry bound and the grace of a later stop.
    void reload(const gateway_settings &settings);

    [[nodiscard]] std::uint16_t callersPort() const;
    [[nodiscard]] std::uint16_t adminPort() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::gateway
