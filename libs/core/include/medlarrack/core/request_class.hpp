#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace medlarrack::core {

/// Priority class of a request, highest first.
enum class request_class {
    control,
    interactive,
    bulk,
};

/// All classes, highest priority first.
inline constexpr std::array<request_class, 3> allRequestClasses = {request_class::control, request_class::interactive,
                                                                   request_class::bulk};

/// "control", "interactive" or "bulk".
[[nodiscard]] std::string_view toString(request_class value);

/// Inverse of toString(); nothing for any other text.
[[nodiscard]] std::optional<request_class> requestClassFromString(std::string_view text);

} // namespace medlarrack::core
