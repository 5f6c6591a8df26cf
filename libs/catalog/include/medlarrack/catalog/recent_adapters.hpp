#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::catalog {

/// The adapters that an engine has loaded most recently, including unloaded ones: the engine reloads those that its
/// memory still has much faster than from the weight store. How many it keeps is learned from how fast loads were. Not
/// thread-safe.
class recent_adapters
{
public:
    /// Marks an adapter that the engine holds or has just unloaded as the most recent one.
    void add(std::string_view adapter);
    /// Whether the engine's memory is expected to have the adapter.
    [[nodiscard]] bool contains(std::string_view adapter) const;
    /// Number of adapters that were added after this one; nothing if it isn't known.
    [[nodiscard]] std::optional<std::size_t> rank(std::string_view adapter) const;

    /// The adapters that the engine's memory is expected to have, the most recent one last.
    [[nodiscard]] std::vector<std::string> inMemory() const;

    /// Learns from a load whether the engine's memory had the adapter; to be called before add().
    void recordLoad(std::string_view adapter, bool fromMemory);
    /// Number of adapters that the engine's memory is expected to keep.
    [[nodiscard]] std::size_t capacity() const;
    void setCapacity(std::size_t capacity);

private:
    std::size_t m_capacity = 90;
    /// Sequence number of each adapter's latest add().
    std::map<std::string, std::uint64_t, std::less<>> m_lastAdded;
    std::uint64_t m_sequence = 0;
};

} // namespace medlarrack::catalog
