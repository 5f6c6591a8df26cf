#pragma once

#include <medlarrack/engine/target_driver.hpp>

#include <optional>
#include <string>
#include <string_view>

/// The JSON forms of docs/PROTOCOLS.md, without any transport.
namespace medlarrack::engine::detail {

/// The caller's body with the model resolved and the priority set; nothing when it is no JSON object.
[[nodiscard]] std::optional<std::string> completionBody(const target_call &call);
[[nodiscard]] std::string loadBody(const core::adapter_ref &adapter, const std::string &source, std::uint64_t fence);
[[nodiscard]] std::string unloadBody(const core::adapter_ref &adapter, std::uint64_t fence);
[[nodiscard]] std::string cancelBody(const std::string &requestId);

/// The code within an error answer, or an empty text.
[[nodiscard]] std::string errorCode(std::string_view body);
/// What an answered order says.
[[nodiscard]] order_end orderEnd(int status, std::string_view body);
/// Whether a failed completion was declined before it ran.
[[nodiscard]] bool isDeclined(int status, std::string_view body);
/// A load report; nothing when it isn't one.
[[nodiscard]] std::optional<target_load> parseLoad(std::string_view body);
/// "adapter@version"; nothing when there is no version.
[[nodiscard]] std::optional<core::adapter_ref> parseAdapter(std::string_view text);

} // namespace medlarrack::engine::detail
