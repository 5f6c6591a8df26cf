#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/instance_ref.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::idempotency {

/// Longest idempotency key taken, in bytes, without its scope.
inline constexpr std::size_t maxKeyBytes = 256;

/// What an idempotency key says of itself. Three forms are known: a key bound to one incarnation of one sidecar
/// ("<UUIDv7>~<instance id>.<incarnation>"), a UUIDv7, and any other text, which carries no birth time.
struct request_key
{
    std::string text;
    /// When the key was made; nothing for keys without a birth time.
    std::optional<core::wall_time> createdAt;
    /// The only incarnation that may run it; nothing for unbound keys.
    std::optional<core::instance_ref> boundInstance;
};

/// Puts an operator before its key, so that equal keys of two operators are two keys. parseKey() reads both forms.
[[nodiscard]] std::string scopedKey(std::string_view operatorName, std::string_view key);

/// Parses a key. Nothing when it is empty, too long or has characters outside printable ASCII, or when it has the
/// bound form with a broken part.
[[nodiscard]] std::optional<request_key> parseKey(std::string_view text);

/// Makes a key bound to a sidecar's incarnation.
[[nodiscard]] std::string makeBoundKey(core::wall_time createdAt, const core::instance_ref &boundInstance);

} // namespace medlarrack::idempotency
