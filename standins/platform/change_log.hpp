#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <optional>

namespace medlarrack::standins {

/// Published tickets by number, and those who wait for the next one.
class change_log
{
public:
    /// Number of a ticket; nothing when it is none.
    [[nodiscard]] static std::optional<long long> numberOf(const nlohmann::json &ticket);

    /// False when the ticket has no number or it is taken.
    bool publish(const nlohmann::json &ticket);
    [[nodiscard]] long long newest() const;
    /// {"newest", "tickets", "more"} with the tickets above a number, up to another one, at most a megabyte.
    [[nodiscard]] nlohmann::json after(long long number, long long upTo) const;

private:
    std::map<long long, nlohmann::json> m_tickets;
};

} // namespace medlarrack::standins
