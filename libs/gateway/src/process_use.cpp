#include "process_use.hpp"

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <system_error>
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

descriptor_use readDescriptorUse()
{
    descriptor_use use;
    std::error_code error;
    for (std::filesystem::directory_iterator it("/proc/self/fd", error), end; !error && it != end;
         it.increment(error)) {
        ++use.open;
    }
    // The one by which they are listed.
    use.open -= std::min<std::size_t>(use.open, 1);
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
        use.limit = limit.rlim_cur;
    }
    return use;
}

} // namespace medlarrack::gateway
