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

/// Lets requests in up to the limits of the entry and of each operator. Thread-safe; its mutex is a leaf in the lock
/// order. Must outlive its permits.
class admission
{
public:
    /// Counts a request as in flight until it is destroyed.
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

    /// A permit, or nothing with the error filled in.
    [[nodiscard]] std::unique_ptr<permit> admit(const std::string &operatorName, const tickets::operator_state &limits,
                                                core::request_class priority, core::monotonic_time now,
                                                error_response &error);
    /// Requests in flight.
    [[nodiscard]] std::size_t inFlight() const;
    /// Requests in flight of each operator that has any.
    [[nodiscard]] std::map<std::string, std::size_t> inFlightByOperator() const;

private:
    struct operator_use
    {
        std::size_t inFlight = 0;
        token_bucket rate;
        core::monotonic_time usedAt{};
    };

    void release(const std::string &operatorName);
    /// Forgets operators without requests for some time.
    void forgetIdle(core::monotonic_time now);

    const std::size_t m_maxInFlight;
    mutable std::mutex m_mutex;
    std::size_t m_inFlight = 0;
    std::map<std::string, operator_use, std::less<>> m_operators;
    core::monotonic_time m_forgotAt{};
};

} // namespace medlarrack::entry
