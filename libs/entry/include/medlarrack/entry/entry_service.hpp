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

/// What an entry works with; all of it outlives the entry.
struct entry_parts
{
    asio::io_context &context;
    const core::clock &clock;
    const tickets::state &tickets;
    instances::view &instances;
    sidecar_link &link;
    /// Told when a sidecar mentions a ticket number newer than the one in force here. May be empty.
    std::function<void(std::uint64_t number, std::string_view instanceId)> ticketHeard;
    /// Whether the state in force has been learnt. Empty for always.
    std::function<bool()> stateKnown;
    /// State of the reader of tickets and instances as a JSON object, for /debug/state. May be empty.
    std::function<std::string()> readerState;
};

/// An entry: answers callers over HTTP by having sidecars run their requests. Runs on the io_context's threads.
class entry_service
{
public:
    entry_service(entry_settings settings, const entry_parts &parts);
    ~entry_service();
    entry_service(const entry_service &) = delete;
    entry_service &operator=(const entry_service &) = delete;

    /// Starts to listen. False with a reason when an address can't be bound.
    [[nodiscard]] bool start(core::reason &why);
    [[nodiscard]] std::uint16_t callersPort() const;
    /// The port of /metrics and /debug when it differs.
    [[nodiscard]] std::optional<std::uint16_t> adminPort() const;
    /// Readiness goes at once, new requests are refused after the grace time; calls back when all have ended. Further
    /// calls change nothing.
    void drain(std::function<void()> done);
    /// Closes everything.
    void stop();
    /// Requests in flight.
    [[nodiscard]] std::size_t inFlight() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarrack::entry
