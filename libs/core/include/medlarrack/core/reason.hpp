#pragma once

#include <string>

namespace medlarrack::core {

/// Why the last operation gave no value. Functions that can fail return std::optional and fill in a reason passed by
/// reference; it is left untouched on success.
struct reason
{
    /// Stable, machine-readable code in snake case, for example "unknown_adapter".
    std::string code;
    /// One sentence for people.
    std::string message;
};

} // namespace medlarrack::core
