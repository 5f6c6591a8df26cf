#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

/// The sidecar process, which manages one target.
namespace medlarrack::sidecar {

/// A complete sidecar on an io_context that the caller runs: peer and admin servers, dispatcher and target driver.
class sidecar_service
{
public:
    /// The clock must outlive the service.
    sidecar_service(asio::io_context &context, sidecar_settings settings, const core::clock &clock);
    ~sidecar_service();
    sidecar_service(const sidecar_service &) = delete;
    sidecar_service &operator=(const sidecar_service &) = delete;

    /// Opens both ports. Returns false and sets `why` when one can't be bound.
    [[nodiscard]] bool start(core::reason &why);
    [[nodiscard]] std::uint16_t peersPort() const;
    [[nodiscard]] std::uint16_t adminPort() const;
    /// Refuses new requests. Calls back once, when all requests in progress have ended and their answers have been
    /// sent, or when the longest wait is over. Thread-safe; later calls have no effect.
    void drain(std::function<void()> onDrained);
    /// Closes all connections and both ports.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::sidecar
