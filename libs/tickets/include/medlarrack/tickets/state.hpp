#pragma once

#include <medlarrack/tickets/ticket.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::tickets {

/// Returns the lowercase hexadecimal SHA-256 of salt followed by key; key is the complete bearer key
/// "<operator>.<secret>".
[[nodiscard]] std::string hashKey(std::string_view salt, std::string_view key);

/// A page of the tickets in force, in ascending order.
struct text_page
{
    /// Texts of the tickets as published.
    std::vector<std::string> texts;
    /// False when more tickets follow.
    bool complete = true;
    /// Largest number up to which the state that returned the page misses no ticket.
    std::uint64_t contiguous = 0;
};

/// Whether the texts of tickets are kept for replies to peers. They take most of the memory, so a process that no peer
/// queries drops them.
enum class ticket_texts {
    keep,
    drop,
};

/// The published state in force: for each object, the value in the ticket with the largest number. Thread-safe; its
/// mutex is a leaf in the lock order. Returned objects stay valid after later changes.
class state
{
public:
    explicit state(ticket_texts texts = ticket_texts::keep);
    ~state();
    state(const state &) = delete;
    state &operator=(const state &) = delete;

    /// Applies a ticket; tickets may arrive in any order. Returns false when the ticket is already applied or marked as
    /// seen.
    bool apply(const ticket &value);
    /// Marks the tickets from after + 1 to through as seen: each was applied, rejected as malformed, or superseded by
    /// applied tickets.
    void markSeen(std::uint64_t after, std::uint64_t through);

    /// Largest ticket number applied; 0 before the first.
    [[nodiscard]] std::uint64_t newest() const;
    /// Largest number n such that all tickets up to n are applied or marked as seen.
    [[nodiscard]] std::uint64_t contiguous() const;
    /// Returns the texts of the tickets above the number that are still the newest of some object, in ascending order
    /// and at most maxBytes in total, but at least one. Empty when texts are dropped.
    [[nodiscard]] text_page textsAfter(std::uint64_t number, std::size_t maxBytes) const;

    [[nodiscard]] std::shared_ptr<const operator_state> findOperator(std::string_view name) const;
    [[nodiscard]] std::shared_ptr<const adapter_state> findAdapter(std::string_view name) const;
    [[nodiscard]] std::shared_ptr<const service_state> findService(std::string_view name) const;
    [[nodiscard]] std::shared_ptr<const group_state> findGroup(std::string_view name) const;

    /// Returns the operator to which a bearer key of the form "<operator>.<secret>" belongs.
    [[nodiscard]] std::optional<std::string> authenticate(std::string_view bearerKey) const;
    /// Names of an operator's adapters, sorted.
    [[nodiscard]] std::vector<std::string> adaptersOf(std::string_view operatorName) const;
    [[nodiscard]] std::size_t adapterCount() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::tickets
