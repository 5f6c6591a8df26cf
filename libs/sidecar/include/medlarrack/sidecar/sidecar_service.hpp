#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

/// The process beside one target.
namespace medlarrack::sidecar {

/// A whole sidecar on an io_context that the caller runs: peers' and admin servers, dispatcher, target.
class sidecar_service
{
public:
    /// The clock must outlive the service.
    sidecar_service(asio::io_context &context, sidecar_settings settings, const core::clock &clock);
    ~sidecar_service();
    sidecar_service(const sidecar_service &) = delete;
    sidecar_service &operator=(const sidecar_service &) = delete;

    /// Opens both ports. False with a reason when one can't be bound.
    [[nodiscard]] bool start(core::reason &why);
    [[nodiscard]] std::uint16_t peersPort() const;
    [[nodiscard]] std::uint16_t adminPort() const;
    /// Takes no new work; calls back once when all work in progress has ended and its answers have been sent, or the
    /// longest wait is over. Thread-safe; later calls change nothing.
    void drain(std::function<void()> onDrained);
    /// Closes everything.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::sidecar
