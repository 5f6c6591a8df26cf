#include <medlarrack/engine/fence_source.hpp>

namespace medlarrack::engine {
namespace {

constexpr unsigned counterBits = 12;

} // namespace

fence_source::fence_source(core::wall_time start)
    : m_last(static_cast<std::uint64_t>(start.time_since_epoch().count()) << counterBits)
{
}

std::uint64_t fence_source::next()
{
    return ++m_last;
}

bool fence_source::isNewest(std::uint64_t fence) const
{
    return fence == m_last;
}

void fence_source::supersede()
{
    m_superseded = true;
}

bool fence_source::superseded() const
{
    return m_superseded;
}

} // namespace medlarrack::engine
