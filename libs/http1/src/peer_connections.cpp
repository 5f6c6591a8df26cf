#include <medlarrack/http1/peer_connections.hpp>

#include <algorithm>
#include <sys/resource.h>

namespace medlarrack::http1 {

std::size_t maxPeerConnections()
{
    constexpr std::size_t reservedShareDivisor = 4;
    rlimit limit{};
    const std::size_t descriptors = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : RLIM_INFINITY;
    return std::max<std::size_t>(descriptors - descriptors / reservedShareDivisor, 1);
}

} // namespace medlarrack::http1
