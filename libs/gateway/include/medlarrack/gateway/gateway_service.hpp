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

/// Takes callers' requests, sends each straight to a replica, and passes its answer on. All in one thread.
class gateway_service
{
public:
    /// Formats and clock must outlive the service.
    gateway_service(asio::io_context &context, const gateway_settings &settings, const caller_format &callers,
                    const catalog::store_format &store, const core::clock &clock);
    ~gateway_service();
    gateway_service(const gateway_service &) = delete;
    gateway_service &operator=(const gateway_service &) = delete;

    /// Listens and starts reading the store; false with a reason if an address isn't free.
    [[nodiscard]] bool start(core::reason &why);
    /// Isn't ready any more, finishes running requests, and calls back when all are answered or the time is over.
    void drain(std::function<void()> onDone);
    /// Takes changed settings as far as they can change while running: retries and the time for a drain.
    void reload(const gateway_settings &settings);

    [[nodiscard]] std::uint16_t callersPort() const;
    [[nodiscard]] std::uint16_t adminPort() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::gateway
