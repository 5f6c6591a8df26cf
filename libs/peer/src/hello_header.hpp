#pragma once

#include <medlarrack/core/reason.hpp>
#include <medlarrack/peer/messages.hpp>

#include <optional>
#include <string>
#include <string_view>

/// The hello as a header field. It stands in the head of every request and response; HPACK sends it as one byte while
/// it doesn't change.
namespace medlarrack::peer::detail {

/// Name of the header field.
inline constexpr std::string_view helloHeaderName = "medlarrack-hello";

/// The encoded hello in hexadecimal digits.
[[nodiscard]] std::string toHeader(const hello &value);

/// Inverse of toHeader(); nothing with a reason for any other text.
[[nodiscard]] std::optional<hello> fromHeader(std::string_view text, core::reason &why);

/// True when both speak at least one common version.
[[nodiscard]] bool versionsOverlap(const hello &left, const hello &right);

} // namespace medlarrack::peer::detail
