#include <medlarrack/suspects/crash_batches.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

namespace medlarrack::suspects {

crash_batches::crash_batches(const suspect_table &table)
    : m_table(table)
    , m_fingerprints(table.fingerprints())
{
}

std::optional<core::crash_news> crash_batches::next(core::monotonic_time now)
{
    core::crash_news batch;
    while (m_read < m_fingerprints.size() && batch.crashes.size() < batchSize) {
        const auto records = m_table.recordsOf(m_fingerprints[m_read++], now);
        batch.crashes.insert(batch.crashes.end(), records.begin(), records.end());
    }
    return batch.empty() ? std::nullopt : std::optional(std::move(batch));
}

} // namespace medlarrack::suspects
