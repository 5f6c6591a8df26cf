#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>

namespace medlarrack::log::detail {

/// Lines on their way to a file descriptor that may take no more for a while. Lines beyond the bound are dropped and
/// counted; nothing waits. Thread-safe.
class bounded_output
{
public:
    /// The descriptor is set not to block.
    bounded_output(int descriptor, std::size_t maxBytes);

    void add(std::string_view line);
    /// Hands over as much as the descriptor takes.
    void flush();
    /// Lines dropped since the last call.
    [[nodiscard]] std::size_t takeDropped();

private:
    int m_descriptor;
    std::size_t m_maxBytes;
    std::mutex m_mutex;
    std::string m_pending;
    std::size_t m_dropped = 0;
};

} // namespace medlarrack::log::detail
