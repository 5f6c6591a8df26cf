#include "adapter_slots.hpp"

#include <algorithm>
#include <utility>

namespace medlarrack::standins {

adapter_slots::adapter_slots(std::size_t slots)
    : m_slots(slots)
{
}

bool adapter_slots::beginLoad(const std::string &name, done_handler done)
{
    const auto found = m_used.find(name);
    if (found != m_used.end()) {
        if (found->second.loaded) {
            done({});
        } else {
            found->second.waiting.push_back(std::move(done));
        }
        return false;
    }
    if (m_used.size() >= m_slots) {
        done({507, "no_slot"});
        return false;
    }
    m_used[name].waiting.push_back(std::move(done));
    return true;
}

void adapter_slots::finishLoad(const std::string &name, const order_result &result)
{
    const auto found = m_used.find(name);
    if (found == m_used.end() || found->second.loaded) {
        return;
    }
    const auto waiting = std::exchange(found->second.waiting, {});
    if (result.code.empty()) {
        found->second.loaded = true;
    } else {
        m_used.erase(found);
    }
    for (const auto &done : waiting) {
        done(result);
    }
}

order_result adapter_slots::unload(const std::string &name, bool inUse)
{
    const auto found = m_used.find(name);
    if (found == m_used.end() || !found->second.loaded) {
        return {404, "unknown_model"};
    }
    if (inUse) {
        return {409, "in_use"};
    }
    m_used.erase(found);
    return {};
}

void adapter_slots::clear()
{
    const auto cleared = std::exchange(m_used, {});
    for (const auto &[name, used] : cleared) {
        for (const auto &done : used.waiting) {
            done({502, "load_failed"});
        }
    }
}

bool adapter_slots::loaded(const std::string &name) const
{
    const auto found = m_used.find(name);
    return found != m_used.end() && found->second.loaded;
}

std::vector<std::string> adapter_slots::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, used] : m_used) {
        if (used.loaded) {
            names.push_back(name);
        }
    }
    return names;
}

fence_check::fence_check(bool enabled)
    : m_enabled(enabled)
{
}

bool fence_check::admit(long long fence)
{
    if (m_enabled && fence < m_newest) {
        return false;
    }
    m_newest = std::max(m_newest, fence);
    return true;
}

} // namespace medlarrack::standins
