#include <medlarrack/core/system_clock.hpp>

#include <ctime>

namespace medlarrack::core {

monotonic_time system_clock::now() const
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return monotonic_time(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

wall_time system_clock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace medlarrack::core
