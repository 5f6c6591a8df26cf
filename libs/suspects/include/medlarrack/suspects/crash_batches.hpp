#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/crash_record.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlarrack::suspects {

class suspect_table;

/// Reads the crashes of a table in batches of bounded size, each as of the time when it is read.
class crash_batches
{
public:
    /// A batch has at most the crashes of one fingerprint more than this.
    static constexpr std::size_t batchSize = 1'024;

    /// Covers the fingerprints that the table has now. It must outlive the batches.
    explicit crash_batches(const suspect_table &table);

    /// The next batch; nothing behind the last one.
    [[nodiscard]] std::optional<core::crash_news> next(core::monotonic_time now);

private:
    const suspect_table &m_table;
    std::vector<std::uint64_t> m_fingerprints;
    std::size_t m_read = 0;
};

} // namespace medlarrack::suspects
