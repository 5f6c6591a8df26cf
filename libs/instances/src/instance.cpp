#include <medlarrack/instances/instance.hpp>

namespace medlarrack::instances {

std::string_view toString(instance_kind value)
{
    return value == instance_kind::entry ? "entry" : "sidecar";
}

std::string_view toString(target_kind value)
{
    switch (value) {
    case target_kind::engine:
        return "engine";
    case target_kind::service:
        return "service";
    case target_kind::none:
        break;
    }
    return "";
}

std::optional<instance_kind> instanceKindFromString(std::string_view text)
{
    for (const instance_kind value : {instance_kind::entry, instance_kind::sidecar}) {
        if (text == toString(value)) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<target_kind> targetKindFromString(std::string_view text)
{
    for (const target_kind value : {target_kind::none, target_kind::engine, target_kind::service}) {
        if (text == toString(value)) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace medlarrack::instances
