#pragma once

#include <medlarrack/core/clock.hpp>

#include <cstdint>
#include <optional>

namespace medlarrack::gateway {

/// Tells whether an answer of the store belongs to the era that is being read. A new era begins when the store comes
/// back from a backup: what was written after the backup is lost, and its revisions are assigned to other changes, so
/// that revisions of different eras can't be compared. Not thread-safe.
class store_era
{
public:
    enum class verdict {
        /// Of the era that is being read.
        current,
        /// Of another era, which is now the current one: all has to be read anew.
        changed,
        /// Of an earlier era: the answer is to be dropped.
        outdated,
    };

    /// Takes the era of the next answer; nothing if the answer has none or a malformed one. Such an answer counts as
    /// one of the current era, since the store marks all of its own.
    [[nodiscard]] verdict observe(std::optional<std::uint64_t> era, core::monotonic_time now);
    /// The current era; nothing before the first answer that has one.
    [[nodiscard]] std::optional<std::uint64_t> value() const;

private:
    std::optional<std::uint64_t> m_era;
    /// Latest answer of the current era.
    core::monotonic_time m_confirmedAt{};
    /// Answers without an era were taken before the first one with an era.
    bool m_readWithoutEra = false;
};

} // namespace medlarrack::gateway
