#include "replica_usability.hpp"

#include <algorithm>
#include <chrono>

namespace medlarrack::gateway {

namespace {

/// Minimum gain in expected time for which a request goes to another data centre: traffic between them is expensive.
constexpr std::chrono::milliseconds remotePenalty{60};
/// Expected time to an answer before the first latency sample.
constexpr std::chrono::milliseconds assumedLatency{60};
/// Time for which the reported load of other processes counts. Requests of plain services take about 60 ms.
constexpr std::chrono::milliseconds reportedLoadLifetime{300};

std::uint32_t currentLoad(const replica &candidate, core::monotonic_time now)
{
    return now - candidate.loadReportedAt <= reportedLoadLifetime ? candidate.load() : candidate.outstanding;
}

std::chrono::nanoseconds expectedTime(const replica &candidate, core::monotonic_time now)
{
    const auto latency =
        candidate.health.latency().count() == 0 ? std::chrono::nanoseconds(assumedLatency) : candidate.health.latency();
    const std::uint32_t slots = std::max(1U, candidate.record.slots);
    const std::uint32_t load = currentLoad(candidate, now);
    // A free slot serves at once. The fuller the replica, the more likely a request not known here takes the last slot.
    const double waiting = load >= slots ? 1.0 + static_cast<double>(load - slots + 1) / slots
                                         : 1.0 + 0.3 * static_cast<double>(load) / slots;
    const auto time = std::chrono::nanoseconds(
        static_cast<std::chrono::nanoseconds::rep>(static_cast<double>(latency.count()) * waiting));
    return candidate.local ? time : time + remotePenalty;
}

} // namespace

replica_choice choosePlain(const replica_table &table, const choice_query &query, core::monotonic_time now)
{
    replica_choice chosen;
    std::chrono::nanoseconds best{0};
    for (const replica_ptr &candidate : table.findByService(query.service)) {
        if (isExcluded(query, *candidate)) {
            continue;
        }
        if (!isUsable(*candidate, now)) {
            chosen.hindered = chosen.hindered || isUsableLater(query, *candidate, now);
            continue;
        }
        const auto time = expectedTime(*candidate, now);
        if (chosen.target == nullptr || time < best) {
            chosen.target = candidate;
            best = time;
        }
    }
    chosen.why = chosen.target == nullptr ? "no usable replica" : "shortest expected time";
    return chosen;
}

} // namespace medlarrack::gateway
