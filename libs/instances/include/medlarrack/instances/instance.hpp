#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::instances {

enum class instance_kind {
    entry,
    sidecar,
};

enum class target_kind {
    none,
    engine,
    service,
};

/// An entry of the platform's instance list.
struct instance
{
    std::string id;
    instance_kind kind = instance_kind::sidecar;
    target_kind target = target_kind::none;
    /// Name of the target's engine group or service.
    std::string group;
    std::string dataCentre;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;

    bool operator==(const instance &) const = default;
};

/// "entry" or "sidecar".
[[nodiscard]] std::string_view toString(instance_kind value);
/// "engine", "service" or "" for none.
[[nodiscard]] std::string_view toString(target_kind value);
/// Inverses of toString(); nullopt for any other text.
[[nodiscard]] std::optional<instance_kind> instanceKindFromString(std::string_view text);
[[nodiscard]] std::optional<target_kind> targetKindFromString(std::string_view text);

} // namespace medlarrack::instances
