#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// Adapters that an engine held last: it loads them again from its own memory, ten times as fast as from the weight
/// store. Not thread-safe.
class recent_adapters
{
public:
    /// The engine holds the adapter, or has just unloaded it.
    void add(std::string_view adapter);
    [[nodiscard]] bool contains(std::string_view adapter) const;
    [[nodiscard]] std::size_t size() const;

private:
    /// By adapter, the turn at which it was added last.
    std::map<std::string, std::uint64_t, std::less<>> m_turns;
    std::uint64_t m_turn = 0;
};

} // namespace medlarrack::gateway
