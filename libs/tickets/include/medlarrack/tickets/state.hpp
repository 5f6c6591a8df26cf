#pragma once

#include <medlarrack/tickets/ticket.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::tickets {

/// Lowercase hexadecimal SHA-256 of salt followed by key; the key is the whole bearer key "<operator>.<secret>".
[[nodiscard]] std::string hashKey(std::string_view salt, std::string_view key);

/// Some of the tickets in force, in ascending order.
struct text_page
{
    /// Each as published.
    std::vector<std::string> texts;
    /// False when more follow.
    bool complete = true;
    /// No ticket up to this number is missing at the state that made the page.
    std::uint64_t contiguous = 0;
};

/// Whether the texts of tickets are kept for peers. They are most of the memory; a process that no peer asks needs
/// none.
enum class ticket_texts {
    keep,
    drop,
};

/// The published state in force: per object, what the ticket with the largest number says. Thread-safe; its one mutex
/// is a leaf in the lock order. Looked-up objects stay valid after later changes.
class state
{
public:
    explicit state(ticket_texts texts = ticket_texts::keep);
    ~state();
    state(const state &) = delete;
    state &operator=(const state &) = delete;

    /// Puts a ticket in force, in whatever order tickets arrive. False when it was known already.
    bool apply(const ticket &value);
    /// Notes that nothing is left to learn of the tickets after one number up to and including another: each was
    /// applied, refused as malformed, or superseded by tickets that were applied.
    void markSeen(std::uint64_t after, std::uint64_t through);

    /// Largest ticket number applied; 0 before the first.
    [[nodiscard]] std::uint64_t newest() const;
    /// Largest number n such that all tickets up to n are applied or marked as seen.
    [[nodiscard]] std::uint64_t contiguous() const;
    /// Published texts of the tickets that are still the newest of some object and have a number above the given one,
    /// ascending, at most maxBytes in sum (at least one). None when texts are dropped.
    [[nodiscard]] text_page textsAfter(std::uint64_t number, std::size_t maxBytes) const;

    [[nodiscard]] std::shared_ptr<const operator_state> findOperator(std::string_view name) const;
    [[nodiscard]] std::shared_ptr<const adapter_state> findAdapter(std::string_view name) const;
    [[nodiscard]] std::shared_ptr<const service_state> findService(std::string_view name) const;
    [[nodiscard]] std::shared_ptr<const group_state> findGroup(std::string_view name) const;

    /// The operator that a bearer key of the form "<operator>.<secret>" belongs to.
    [[nodiscard]] std::optional<std::string> authenticate(std::string_view bearerKey) const;
    /// Names of an operator's adapters, sorted.
    [[nodiscard]] std::vector<std::string> adaptersOf(std::string_view operatorName) const;
    [[nodiscard]] std::size_t adapterCount() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::tickets
