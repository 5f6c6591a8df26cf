#pragma once

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace medlarrack::ctl {

/// Prints the members of a daemon's page line by line, and each entry of a list on a line of its own.
void printAsText(const nlohmann::json &page, std::ostream &out);

} // namespace medlarrack::ctl
