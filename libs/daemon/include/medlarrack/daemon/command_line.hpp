#pragma once

#include <optional>
#include <string>
#include <vector>

namespace medlarrack::daemon {

/// Exit code: the work was done.
inline constexpr int exitOk = 0;
/// Exit code: the work failed.
inline constexpr int exitFailure = 1;
/// Exit code: the command line can't be taken.
inline constexpr int exitUsage = 2;
/// Exit code: the settings file can't be taken.
inline constexpr int exitSettings = 3;

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
