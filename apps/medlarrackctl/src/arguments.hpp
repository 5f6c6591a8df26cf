#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::ctl {

/// What the command line asks for.
struct arguments
{
    /// "check-settings", "check-ticket", "state", "explain" or "hash-key".
    std::string command;
    /// What follows the command.
    std::vector<std::string> operands;
    /// --url URL, as often as given.
    std::vector<std::string> urls;
    /// --log FILE, as often as given.
    std::vector<std::string> logs;
    /// --salt TEXT; empty for a random one.
    std::string salt;
};

/// Parses the command line by popt. Without a value the program is to exit with the code given.
[[nodiscard]] std::optional<arguments> parseArguments(int argumentCount, const char **texts, const std::string &version,
                                                      std::ostream &out, std::ostream &err, int &exitCode);

} // namespace medlarrack::ctl
