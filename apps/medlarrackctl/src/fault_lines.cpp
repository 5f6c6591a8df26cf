#include "fault_lines.hpp"

#include "json_lines.hpp"

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>

namespace medlarrack::ctl {

std::optional<std::string> readFile(const std::string &path, std::ostream &err)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file.is_open() || file.bad()) {
        err << path << ": " << std::generic_category().message(errno) << "\n";
        return std::nullopt;
    }
    return text;
}

void printFault(std::ostream &err, const std::string &path, const json_lines &lines, const std::string &pointer,
                const std::string &message)
{
    err << path << ":" << lines.lineOf(pointer) << ": " << (pointer.empty() ? "whole document" : pointer) << ": "
        << message << "\n";
}

bool printSyntaxFault(std::ostream &err, const std::string &path, const json_lines &lines)
{
    const auto &fault = lines.syntaxFault();
    if (fault) {
        err << path << ":" << fault->line << ":" << fault->column << ": " << fault->message << "\n";
    }
    return fault.has_value();
}

} // namespace medlarrack::ctl
