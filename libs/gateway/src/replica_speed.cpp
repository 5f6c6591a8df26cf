#include <medlarrack/gateway/replica_speed.hpp>

#include <algorithm>
#include <cmath>

namespace medlarrack::gateway {

namespace {

/// Weight of a stated percentage. Replicas state it with each answer, and it changes many times a second: three answers
/// follow seven eighths of a change.
constexpr double percentWeight = 0.75;
/// Weight of an answer's time at a replica that states no percentage: four answers follow more than four fifths of a
/// change.
constexpr double timeWeight = 0.35;
/// The same at a replica that states it: its usual duration seldom changes.
constexpr double usualTimeWeight = 0.125;
/// Largest change by a single answer, as the logarithm of a factor: an answer may be late for another reason, such as a
/// pause of the replica.
const double maxStep = std::log(8.0);
/// The stated multiple counts for this long; after it, it falls to its square root in each further such time. Slow
/// replicas are asked about once a second (see plain_choice.cpp).
constexpr std::chrono::duration<double> percentWindow{2.0};

} // namespace

void replica_speed::recordPercent(std::uint32_t percent, core::monotonic_time now)
{
    if (percent == 0) {
        return;
    }
    constexpr double usualPercent = 100;
    const double stated = std::log(percent / usualPercent);
    m_slowdown = m_slowdown ? *m_slowdown + percentWeight * (stated - *m_slowdown) : stated;
    m_lastStated = stated;
    m_heardAt = now;
}

void replica_speed::recordAnswer(std::chrono::nanoseconds time, double waitFactor, core::monotonic_time now)
{
    m_heardAt = now;
    const double sample = std::log(static_cast<double>(std::max<std::chrono::nanoseconds::rep>(time.count(), 1)))
        - std::log(std::max(waitFactor, 1.0)) - m_lastStated;
    if (!m_usual) {
        m_usual = sample;
        return;
    }
    const double weight = m_slowdown ? usualTimeWeight : timeWeight;
    *m_usual += weight * std::clamp(sample - *m_usual, -maxStep, maxStep);
}

std::optional<std::chrono::nanoseconds> replica_speed::usualTime() const
{
    return m_usual ? std::optional(std::chrono::nanoseconds(std::llround(std::exp(*m_usual)))) : std::nullopt;
}

std::optional<std::chrono::nanoseconds> replica_speed::workTime(core::monotonic_time now) const
{
    return m_usual ? std::optional(workTime(*usualTime(), now)) : std::nullopt;
}

std::chrono::nanoseconds replica_speed::workTime(std::chrono::nanoseconds prior, core::monotonic_time now) const
{
    const std::chrono::nanoseconds usual = usualTime().value_or(prior);
    return std::chrono::nanoseconds(std::llround(static_cast<double>(usual.count()) * slowdown(now)));
}

double replica_speed::slowdown(core::monotonic_time now) const
{
    if (!m_slowdown) {
        return 1;
    }
    const double windows = std::chrono::duration<double>(silence(now)) / percentWindow;
    return std::exp(*m_slowdown * std::exp2(-std::max(0.0, windows - 1)));
}

std::chrono::nanoseconds replica_speed::silence(core::monotonic_time now) const
{
    return now - m_heardAt;
}

void replica_speed::reset()
{
    *this = {};
}

} // namespace medlarrack::gateway
