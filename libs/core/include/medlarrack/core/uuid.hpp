#pragma once

#include <medlarrack/core/clock.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::core {

/// Makes a UUID of version 7 (RFC 9562) whose first 48 bits are the given wall-clock time in milliseconds.
[[nodiscard]] std::string makeUuid7(wall_time birth);

/// The time within a UUID of version 7 in its canonical text form; nothing for any other text.
[[nodiscard]] std::optional<wall_time> uuid7Time(std::string_view text);

} // namespace medlarrack::core
