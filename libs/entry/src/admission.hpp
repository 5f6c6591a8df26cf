#pragma once

#include "error_response.hpp"
#include "token_bucket.hpp"

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/request_class.hpp>
#include <medlarrack/tickets/objects.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace medlarrack::entry {

/// Admits requests up to the limits of the entry and of each operator. Thread-safe; no other lock is taken while its
/// mutex is held. Must outlive its permits.
class admission
{
public:
    /// The request counts as in flight until its permit is destroyed.
    class permit
    {
    public:
        permit(admission &owner, std::string operatorName);
        ~permit();
        permit(const permit &) = delete;
        permit &operator=(const permit &) = delete;

    private:
        admission &m_owner;
        std::string m_operator;
    };

    explicit admission(std::size_t maxInFlight);

    /// Returns a permit, or null with the error filled in.
    [[nodiscard]] std::unique_ptr<permit> admit(const std::string &operatorName, const tickets::operator_state &limits,
                                                core::request_class priority, core::monotonic_time now,
                                                error_response &error);
    /// Number of requests in flight.
    [[nodiscard]] std::size_t inFlight() const;
    /// Number of requests in flight by operator, without operators that have none.
    [[nodiscard]] std::map<std::string, std::size_t> inFlightByOperator() const;

private:
    struct operator_usage
    {
        std::size_t inFlight = 0;
        token_bucket rate;
        core::monotonic_time lastUsedAt{};
    };

    void release(const std::string &operatorName);
    /// Removes operators that have had no requests for a while.
    void evictIdleOperators(core::monotonic_time now);

    const std::size_t m_maxInFlight;
    mutable std::mutex m_mutex;
    std::size_t m_inFlight = 0;
    std::map<std::string, operator_usage, std::less<>> m_operators;
    core::monotonic_time m_lastEvictionAt{};
};

} // namespace medlarrack::entry
