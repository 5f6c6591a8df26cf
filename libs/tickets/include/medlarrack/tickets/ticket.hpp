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

/// Largest number a ticket may have; larger ones would lose precision in other programs' JSON.
inline constexpr std::uint64_t maxTicketNumber = 9'007'199'254'740'991;

/// One thing wrong with a ticket.
struct ticket_fault
{
    /// JSON pointer of the faulty value.
    std::string pointer;
    std::string message;
};

/// Whole new states by object name; a null pointer removes the object.
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
    /// The ticket as published, passed on to peers unchanged.
    std::string text;
};

/// Parses and checks a ticket whole. On failure there is no value and at least one fault.
[[nodiscard]] std::optional<ticket> parseTicket(std::string_view text, std::vector<ticket_fault> &faults);

} // namespace medlarrack::tickets
