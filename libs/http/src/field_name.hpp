#pragma once

#include <string_view>

namespace medlarrack::http::detail {

/// Whether two header field names are the same, without regard to the case of ASCII letters.
[[nodiscard]] bool sameFieldName(std::string_view left, std::string_view right);

} // namespace medlarrack::http::detail
