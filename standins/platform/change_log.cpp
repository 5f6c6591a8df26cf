#include "change_log.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace medlarrack::standins {

namespace {

constexpr std::size_t maxAnswerBytes = 1'000'000;

} // namespace

std::optional<long long> change_log::numberOf(const nlohmann::json &ticket)
{
    if (!ticket.is_object()) {
        return std::nullopt;
    }
    const auto found = ticket.find("ticket");
    if (found == ticket.end() || !found->is_number_integer()) {
        return std::nullopt;
    }
    return found->get<long long>();
}

bool change_log::publish(const nlohmann::json &ticket)
{
    const auto number = numberOf(ticket);
    return number && m_tickets.emplace(*number, ticket).second;
}

long long change_log::newest() const
{
    return m_tickets.empty() ? 0 : m_tickets.rbegin()->first;
}

nlohmann::json change_log::after(long long number, long long upTo) const
{
    auto tickets = nlohmann::json::array();
    std::size_t bytes = 0;
    auto next = m_tickets.upper_bound(number);
    const auto end = m_tickets.upper_bound(upTo);
    for (; number < upTo && next != end; ++next) {
        const std::size_t size = next->second.dump().size();
        if (!tickets.empty() && bytes + size > maxAnswerBytes) {
            break;
        }
        bytes += size;
        tickets.push_back(next->second);
    }
    const bool more = number < upTo && next != end;
    return {{"newest", std::min(upTo, newest())}, {"tickets", std::move(tickets)}, {"more", more}};
}

} // namespace medlarrack::standins
