#include "bounded_output.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace medlarrack::log::detail {

bounded_output::bounded_output(int descriptor, std::size_t maxBytes)
    : m_descriptor(descriptor)
    , m_maxBytes(maxBytes)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_output::add(std::string_view line)
{
    const std::lock_guard lock(m_mutex);
    if (m_pending.size() + line.size() > m_maxBytes) {
        ++m_dropped;
        return;
    }
    m_pending.append(line);
    m_pending += '\n';
}

void bounded_output::flush()
{
    const std::lock_guard lock(m_mutex);
    if (m_pending.empty()) {
        return;
    }
    const ssize_t written = ::write(m_descriptor, m_pending.data(), m_pending.size());
    if (written > 0) {
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

std::size_t bounded_output::takeDropped()
{
    const std::lock_guard lock(m_mutex);
    const std::size_t dropped = m_dropped;
    m_dropped = 0;
    return dropped;
}

} // namespace medlarrack::log::detail
