#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::ctl {

/// What the command line asks for.
struct arguments
{
    /// "check-settings", "check-ticket", "state", "explain", "route" or "hash-key".
    std::string command;
    /// What follows the command.
    std::vector<std::string> operands;
    /// --url URL, as often as given.
    std::vector<std::string> urls;
    /// --log FILE, as often as given.
    std::vector<std::string> logs;
    /// --salt TEXT; empty for a random one.
    std::string salt;
    /// --header "NAME: VALUE", as often as given.
    std::vector<std::string> headers;
    /// --request FILE; empty without one.
    std::string request;
    /// --tenant NAME; empty without one.
    std::string tenant;
    /// --json: prints JSON in place of text.
    bool json = false;
};

/// Parses the command line by popt. Without a value the program is to exit with the code given.
[[nodiscard]] std::optional<arguments> parseArguments(int argumentCount, const char **texts, const std::string &version,
                                                      std::ostream &out, std::ostream &err, int &exitCode);

} // namespace medlarrack::ctl
