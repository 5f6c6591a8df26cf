#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// The adapters that an engine has loaded most recently, including unloaded ones: the engine reloads these from its own
/// memory, ten times as fast as from the weight store. Not thread-safe.
class recent_adapters
{
public:
    /// Marks an adapter that the engine holds or has just unloaded as the most recent one.
    void add(std::string_view adapter);
    [[nodiscard]] bool contains(std::string_view adapter) const;
    [[nodiscard]] std::size_t size() const;

private:
    /// Sequence number of each adapter's latest add().
    std::map<std::string, std::uint64_t, std::less<>> m_lastAdded;
    std::uint64_t m_sequence = 0;
};

} // namespace medlarrack::gateway
