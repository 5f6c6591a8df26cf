#pragma once

#include <medlarrack/core/clock.hpp>

#include <cstdint>

namespace medlarrack::agent {

/// Fencing tokens of the one holder of an engine. A holder keeps nothing over a restart: it starts from the time of
/// day, and climbs where the engine has seen a higher token, as after a time of day that was set back.
class fencing_token_source
{
public:
    explicit fencing_token_source(core::wall_time start);

    [[nodiscard]] std::uint64_t token() const;
    /// The engine refused the token as too low.
    void refused();

private:
    std::uint64_t m_token;
    std::uint64_t m_step;
};

} // namespace medlarrack::agent
