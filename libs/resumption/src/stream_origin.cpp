#include <medlarrack/core/hash.hpp>
#include <medlarrack/resumption/stream_origin.hpp>

#include <algorithm>
#include <string>

namespace medlarrack::resumption {

stream_origin originOf(const catalog::replica_record &record)
{
    const std::uint64_t hash = record.softwareVersion.empty()
        ? core::hash64({record.service, "", record.id, std::to_string(record.startedAtMs)})
        : core::hash64({record.service, record.softwareVersion});
    return std::max<std::uint64_t>(hash, uncertainOrigin + 1);
}

} // namespace medlarrack::resumption
