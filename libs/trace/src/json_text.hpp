#pragma once

#include <string>
#include <string_view>

namespace medlarrack::trace::detail {

/// A text as a JSON string; bytes that aren't UTF-8 are replaced.
[[nodiscard]] std::string jsonText(std::string_view text);

} // namespace medlarrack::trace::detail
