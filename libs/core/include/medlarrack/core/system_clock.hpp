#pragma once

#include <medlarrack/core/clock.hpp>

namespace medlarrack::core {

/// The machine's clocks.
class system_clock final : public clock
{
public:
    [[nodiscard]] monotonic_time now() const override;
    [[nodiscard]] wall_time wallNow() const override;
};

} // namespace medlarrack::core
