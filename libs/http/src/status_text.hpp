#pragma once

#include <string_view>

namespace medlarrack::http::detail {

/// Reason phrase of a status code; "Unknown" for codes without one.
[[nodiscard]] std::string_view statusText(int status);

} // namespace medlarrack::http::detail
