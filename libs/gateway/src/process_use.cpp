#include "process_use.hpp"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace medlarrack::gateway {

own_use readProcessUse()
{
    own_use use;
    timespec time{};
    if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time) == 0) {
        use.cpuTime = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (std::ifstream("/proc/self/statm") >> totalPages >> residentPages) {
        use.memoryBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return use;
}

} // namespace medlarrack::gateway
