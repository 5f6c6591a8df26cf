#pragma once

#include <cstddef>
#include <string_view>

namespace medlarrack::core {

/// End of the first server-sent event from a position, behind its closing empty line; npos if it isn't whole.
[[nodiscard]] std::size_t eventEnd(std::string_view text, std::size_t from);

} // namespace medlarrack::core
