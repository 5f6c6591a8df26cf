#pragma once

#include <medlarrack/tickets/objects.hpp>

#include <string_view>

namespace medlarrack::tickets::detail {

/// Whether a bearer key is one of the operator's keys.
[[nodiscard]] bool matchesKey(const operator_state &value, std::string_view bearerKey);

} // namespace medlarrack::tickets::detail
