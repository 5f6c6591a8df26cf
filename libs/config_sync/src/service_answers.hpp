#pragma once

#include <medlarrack/core/reason.hpp>
#include <medlarrack/instances/view.hpp>
#include <medlarrack/peer/messages.hpp>
#include <medlarrack/tickets/state.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reads answers of the platform's service and of peers into the tables.
namespace medlarrack::config_sync::detail {

/// A ticket that was refused, and why.
struct malformed_ticket
{
    std::string text;
    std::vector<tickets::ticket_fault> faults;
};

/// What an answer brought.
struct changes_outcome
{
    /// The tickets that weren't known before.
    std::size_t applied = 0;
    /// Whether more tickets follow these.
    bool more = false;
    std::vector<malformed_ticket> malformed;
};

/// Puts the tickets of a GET /v1/changes answer in force. Nothing, and no change, when the answer has not the form of
/// docs/PROTOCOLS.md.
[[nodiscard]] std::optional<changes_outcome> applyChanges(tickets::state &state, std::uint64_t after,
                                                          std::string_view body, core::reason &why);

/// Puts the tickets of a peer's reply in force. The reply's number is the one below which its sender misses nothing.
[[nodiscard]] changes_outcome applyReply(tickets::state &state, std::uint64_t after, const peer::tickets_reply &reply);

/// The reply of a process to a peer's question. A process that isn't ready sends nothing and says so by an incomplete
/// reply without tickets.
[[nodiscard]] peer::tickets_reply makeReply(const tickets::state &state, bool ready,
                                            const peer::tickets_request &request);

/// Reads a GET /v1/instances answer. Entries that can't be read are left out and counted.
[[nodiscard]] std::optional<instances::instance_list> parseInstances(std::string_view body, std::size_t &leftOut,
                                                                     core::reason &why);

} // namespace medlarrack::config_sync::detail
