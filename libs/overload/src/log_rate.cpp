#include <medlarrack/overload/log_rate.hpp>

#include <utility>

namespace medlarrack::overload {

log_rate::log_rate(double linesPerSecond, double burst, core::monotonic_time now)
    : m_limiter(linesPerSecond, burst, now)
{
}

std::optional<std::uint64_t> log_rate::tryWrite(core::monotonic_time now)
{
    if (!m_limiter.tryAcquire(now)) {
        ++m_leftOut;
        return std::nullopt;
    }
    return std::exchange(m_leftOut, 0);
}

} // namespace medlarrack::overload
