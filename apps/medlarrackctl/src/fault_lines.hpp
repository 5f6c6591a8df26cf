#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace medlarrack::ctl {

class json_lines;

/// A whole file; nothing, with a message, when it can't be read.
[[nodiscard]] std::optional<std::string> readFile(const std::string &path, std::ostream &err);

/// Prints "FILE:LINE: POINTER: MESSAGE", the form that editors understand.
void printFault(std::ostream &err, const std::string &path, const json_lines &lines, const std::string &pointer,
                const std::string &message);

/// Prints a syntax fault as "FILE:LINE:COLUMN: MESSAGE"; false when there is none.
bool printSyntaxFault(std::ostream &err, const std::string &path, const json_lines &lines);

} // namespace medlarrack::ctl
