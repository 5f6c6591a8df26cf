#pragma once

#include "summary.hpp"

#include <string>

namespace medlarrack::load {

/// The summary as a table for people.
[[nodiscard]] std::string toTable(const summary &figures);

/// The summary as JSON; fields in docs/LOAD.md.
[[nodiscard]] std::string toJson(const summary &figures);

} // namespace medlarrack::load
