#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace medlarrack::core {

/// One run of one process: the instance's name in the platform's list and a number that grows with every start of its
/// process (milliseconds of wall-clock time at start).
struct instance_ref
{
    std::string id;
    std::uint64_t incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported of the generated comparison with 0.
    auto operator<=>(const instance_ref &) const = default;
};

} // namespace medlarrack::core
