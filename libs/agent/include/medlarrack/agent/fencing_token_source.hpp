#pragma once

#include <medlarrack/core/clock.hpp>

#include <cstdint>

namespace medlarrack::agent {

/// Generates the fencing tokens for orders to an engine. Nothing is persisted over a restart: tokens start from the
/// wall clock, and are raised if the engine has already seen a higher one, for example after the clock was set back.
class fencing_token_source
{
public:
    explicit fencing_token_source(core::wall_time start);

    [[nodiscard]] std::uint64_t current() const;
    /// Raises the token after the engine has rejected it as too low.
    void advance();

private:
    std::uint64_t m_token;
    std::uint64_t m_stepMs;
};

} // namespace medlarrack::agent
