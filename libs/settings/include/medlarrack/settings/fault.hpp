#pragma once

#include <string>
#include <vector>

namespace medlarrack::settings {

/// One thing wrong with a document.
struct fault
{
    /// JSON pointer of the faulty value; empty for the whole document.
    std::string pointer;
    /// What was found and what was expected.
    std::string message;
};

using fault_list = std::vector<fault>;

/// One line per fault: "<source>: <pointer>: <message>".
[[nodiscard]] std::string toText(const fault_list &faults, const std::string &source);

} // namespace medlarrack::settings
