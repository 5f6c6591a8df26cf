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

/// Parses answers of the platform's service and of peers and applies them to the ticket tables.
namespace medlarrack::config_sync::detail {

/// A rejected ticket and its faults.
struct malformed_ticket
{
    std::string text;
    std::vector<tickets::ticket_fault> faults;
};

/// Outcome of applying an answer.
struct changes_outcome
{
    /// Number of tickets that weren't known before.
    std::size_t applied = 0;
    /// Whether more tickets follow these.
    bool more = false;
    std::vector<malformed_ticket> malformed;
};

/// Applies the tickets of a GET /v1/changes answer. Returns nullopt and changes nothing when the answer doesn't conform
/// to docs/PROTOCOLS.md.
[[nodiscard]] std::optional<changes_outcome> applyChanges(tickets::state &state, std::uint64_t after,
                                                          std::string_view body, core::reason &why);

/// Applies the tickets of a peer's reply. The reply's newestTicket is the contiguous position of its sender.
[[nodiscard]] changes_outcome applyReply(tickets::state &state, std::uint64_t after, const peer::tickets_reply &reply);

/// Builds the reply to a peer's query. A process that isn't ready sends an incomplete reply without tickets.
[[nodiscard]] peer::tickets_reply makeReply(const tickets::state &state, bool ready,
                                            const peer::tickets_request &request);

/// Parses a GET /v1/instances answer. Malformed entries are skipped and counted.
[[nodiscard]] std::optional<instances::instance_list> parseInstances(std::string_view body, std::size_t &skippedCount,
                                                                     core::reason &why);

} // namespace medlarrack::config_sync::detail
