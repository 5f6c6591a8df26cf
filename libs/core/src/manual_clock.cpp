#include <medlarrack/core/manual_clock.hpp>

namespace medlarrack::core {

manual_clock::manual_clock(wall_time start)
    : m_wallOffset(start.time_since_epoch().count())
{
}

monotonic_time manual_clock::now() const
{
    return monotonic_time(std::chrono::nanoseconds(m_elapsed.load()));
}

wall_time manual_clock::wallNow() const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch());
    return wall_time(elapsed + std::chrono::milliseconds(m_wallOffset.load()));
}

void manual_clock::advance(std::chrono::nanoseconds by)
{
    m_elapsed += by.count();
}

void manual_clock::skewWall(std::chrono::milliseconds by)
{
    m_wallOffset += by.count();
}

} // namespace medlarrack::core
