#pragma once

#include <medlarrack/tickets/objects.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::tickets {

/// Largest ticket number, 2^53 - 1; larger integers lose precision in JSON parsers that use doubles.
inline constexpr std::uint64_t maxTicketNumber = 9'007'199'254'740'991;

/// A fault in a ticket.
struct ticket_fault
{
    /// JSON pointer of the faulty value.
    std::string pointer;
    std::string message;
};

/// Complete new values by object name; a null pointer removes the object.
template<typename T>
using object_changes = std::map<std::string, std::shared_ptr<const T>, std::less<>>;

/// A parsed change ticket.
struct ticket
{
    std::uint64_t number = 0;
    object_changes<operator_state> operators;
    object_changes<adapter_state> adapters;
    object_changes<service_state> services;
    object_changes<group_state> groups;
    /// The ticket as published, forwarded to peers unchanged.
    std::string text;
};

/// Parses and validates a ticket. On failure returns nullopt and adds at least one fault.
[[nodiscard]] std::optional<ticket> parseTicket(std::string_view text, std::vector<ticket_fault> &faults);

} // namespace medlarrack::tickets
