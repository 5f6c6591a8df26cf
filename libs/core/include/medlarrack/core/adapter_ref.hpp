#pragma once

#include <compare>
#include <string>

namespace medlarrack::core {

/// One version of one adapter. The adapter's name is "<operator>/<name>".
struct adapter_ref
{
    std::string adapter;
    std::string version;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported of the generated comparison with 0.
    auto operator<=>(const adapter_ref &) const = default;

    /// "adapter@version", the form used by callers and engines.
    [[nodiscard]] std::string toString() const
    {
        return adapter + "@" + version;
    }
};

} // namespace medlarrack::core
