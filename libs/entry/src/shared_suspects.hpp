#pragma once

#include <medlarrack/suspects/suspect_table.hpp>

#include <mutex>

namespace medlarrack::entry {

/// The suspect table shared by all requests. Thread-safe; no other lock is taken while its mutex is held.
class shared_suspects
{
public:
    explicit shared_suspects(suspects::suspect_limits limits)
        : m_table(limits)
    {
    }

    [[nodiscard]] suspects::suspect_status standingOf(std::uint64_t fingerprint, core::monotonic_time now) const
    {
        const std::lock_guard lock(m_mutex);
        return m_table.statusOf(fingerprint, now);
    }

    [[nodiscard]] std::uint32_t crashes(std::uint64_t fingerprint, core::monotonic_time now) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::uint32_t>(m_table.crashCount(fingerprint, now));
    }

    void crashed(std::uint64_t fingerprint, const core::instance_ref &target, core::monotonic_time now)
    {
        const std::lock_guard lock(m_mutex);
        m_table.recordCrash(fingerprint, target, now);
    }

    void answered(std::uint64_t fingerprint, core::monotonic_time now)
    {
        const std::lock_guard lock(m_mutex);
        m_table.recordAnswer(fingerprint, now);
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_table.size();
    }

private:
    mutable std::mutex m_mutex;
    suspects::suspect_table m_table;
};

} // namespace medlarrack::entry
