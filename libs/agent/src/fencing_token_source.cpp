#include <medlarrack/agent/fencing_token_source.hpp>

#include <algorithm>

namespace medlarrack::agent {

namespace {

/// First increment of a rejected token; each further one doubles. Passes a clock that was ahead by a minute in one
/// step, by a day in at most 12.
constexpr std::uint64_t firstStepMs = 60'000;

} // namespace

fencing_token_source::fencing_token_source(core::wall_time start)
    : m_token(static_cast<std::uint64_t>(std::max<std::int64_t>(start.time_since_epoch().count(), 1)))
    , m_stepMs(firstStepMs)
{
}

std::uint64_t fencing_token_source::current() const
{
    return m_token;
}

void fencing_token_source::advance()
{
    m_token += m_stepMs;
    m_stepMs *= 2;
}

} // namespace medlarrack::agent
