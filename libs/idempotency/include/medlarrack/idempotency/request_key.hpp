#pragma once

#include <medlarrack/core/clock.hpp>
#include <medlarrack/core/instance_ref.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::idempotency {

/// Maximum length of an idempotency key in bytes, without its scope.
inline constexpr std::size_t maxKeyBytes = 256;

/// A parsed idempotency key. There are three forms: a key bound to one incarnation of one sidecar
/// ("<UUIDv7>~<instance id>.<incarnation>"), a UUIDv7, and any other text (opaque key), which has no creation time.
struct request_key
{
    std::string text;
    /// Creation time, from the UUIDv7. Not set for opaque keys.
    std::optional<core::wall_time> createdAt;
    /// The only incarnation that may run the key. Not set for unbound keys.
    std::optional<core::instance_ref> boundInstance;
};

/// Prefixes a key with its operator, so that equal keys of different operators don't collide. parseKey() accepts keys
/// with and without this prefix.
[[nodiscard]] std::string scopedKey(std::string_view operatorName, std::string_view key);

/// Parses a key. Returns no value if the key is empty, is too long, contains characters outside printable ASCII, or is
/// a malformed bound key.
[[nodiscard]] std::optional<request_key> parseKey(std::string_view scopedText);

/// Creates a key bound to an incarnation of a sidecar.
[[nodiscard]] std::string makeBoundKey(core::wall_time createdAt, const core::instance_ref &boundInstance);

} // namespace medlarrack::idempotency
