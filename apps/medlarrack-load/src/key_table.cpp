#include "key_table.hpp"

#include <medlarrack/core/uuid.hpp>

namespace medlarrack::load {

key_table::key_table(const core::clock &clock)
    : m_clock(clock)
{
}

std::string key_table::keyFor(const std::string &label)
{
    if (label.empty()) {
        return {};
    }
    const std::lock_guard lock(m_mutex);
    const auto [entry, isNew] = m_keys.try_emplace(label);
    if (isNew) {
        entry->second = core::makeUuid7(m_clock.wallNow());
    }
    return entry->second;
}

} // namespace medlarrack::load
