#include <medlarrack/agent/fencing_token_source.hpp>

#include <algorithm>

namespace medlarrack::agent {

namespace {

/// First step up, in milliseconds of the time of day: a jump of a minute is passed at once, one of a day in 12 steps.
constexpr std::uint64_t firstStep = 60'000;

} // namespace

fencing_token_source::fencing_token_source(core::wall_time start)
    : m_token(static_cast<std::uint64_t>(std::max<std::int64_t>(start.time_since_epoch().count(), 1)))
    , m_step(firstStep)
{
}

std::uint64_t fencing_token_source::token() const
{
    return m_token;
}

void fencing_token_source::refused()
{
    m_token += m_step;
    m_step *= 2;
}

} // namespace medlarrack::agent
