#pragma once

#include <optional>
#include <string>
#include <vector>

namespace medlarrack::daemon {

/// Exit codes of all programs.
enum exit_code : int {
    exitOk = 0,
    /// The work failed.
    exitFailure = 1,
    /// The command line can't be taken.
    exitUsage = 2,
    /// The settings file can't be taken.
    exitSettings = 3,
};

/// What a daemon's command line says.
struct command_line
{
    /// --settings FILE
    std::string settingsPath;
    /// --check: check the settings and exit.
    bool checkOnly = false;
    /// --print-port: write "listening <name> ADDRESS:PORT" lines to standard output once ready.
    bool printPort = false;
};

/// Parses --settings, --check, --print-port, --help and --version by popt. Without a value the process is to exit with
/// the code given (0 after --help and --version).
[[nodiscard]] std::optional<command_line> parseCommandLine(int argumentCount, const char **arguments,
                                                           const std::string &program, const std::string &version,
                                                           int &exitCode);

} // namespace medlarrack::daemon
