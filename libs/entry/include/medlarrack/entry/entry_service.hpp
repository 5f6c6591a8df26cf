#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/reason.hpp>
#include <medlarrack/entry/entry_settings.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::instances {
class view;
}
namespace medlarrack::tickets {
class state;
}

namespace medlarrack::entry {

class sidecar_link;

/// Objects that an entry depends on; all of them must outlive it.
struct entry_dependencies
{
    asio::io_context &context;
    const core::clock &clock;
    const tickets::state &tickets;
    instances::view &instances;
    sidecar_link &link;
    /// Called when a sidecar reports a ticket number newer than the one applied here. May be empty.
    std::function<void(std::uint64_t number, std::string_view instanceId)> onNewerTicket;
    /// Returns whether the current state has been loaded. If empty, it is taken as loaded.
    std::function<bool()> isStateLoaded;
    /// Returns the state of the reader of tickets and instances as a JSON object, for /debug/state. May be empty.
    std::function<std::string()> readerState;
};

/// An entry: accepts callers' requests over HTTP and has sidecars run them. Runs on the io_context's threads.
class entry_service
{
public:
    entry_service(entry_settings settings, const entry_dependencies &dependencies);
    ~entry_service();
    entry_service(const entry_service &) = delete;
    entry_service &operator=(const entry_service &) = delete;

    /// Starts to listen. Returns false with a reason if an address can't be bound.
    [[nodiscard]] bool start(core::reason &why);
    [[nodiscard]] std::uint16_t callersPort() const;
    /// The port of /metrics and /debug if they have a separate one.
    [[nodiscard]] std::optional<std::uint16_t> adminPort() const;
    /// Starts a graceful shutdown: readiness is withdrawn at once, new requests are refused after the grace period, and
    /// onDrained is called when all requests have ended. Those left after the maximum time are ended with an error that
    /// says what is known of them. Further calls have no effect.
    void drain(std::function<void()> onDrained);
    /// Closes all listeners, connections and load streams.
    void stop();
    /// Number of requests in flight.
    [[nodiscard]] std::size_t inFlight() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::entry
