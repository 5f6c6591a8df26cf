#pragma once

#include <cstdint>
#include <string>

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
    /// Engine group or service.
    std::string group;
    std::string dataCentre;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;

    bool operator==(const instance &) const = default;
};

} // namespace medlarrack::instances
