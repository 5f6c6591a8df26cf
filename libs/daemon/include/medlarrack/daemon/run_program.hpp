#pragma once

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/daemon/heap.hpp>
#include <medlarrack/daemon/signals.hpp>
#include <medlarrack/settings/fault.hpp>

#include <iostream>
#include <optional>
#include <string>

namespace medlarrack::daemon {

/// The main function of a daemon: reads the command line and the settings, reports their faults on standard error, and
/// serves unless only a check was asked for. Gives the exit code.
template<typename Settings>
[[nodiscard]] int runProgram(int argumentCount, const char **arguments, const std::string &program,
                             std::optional<Settings> (*load)(const std::string &, settings::fault_list &),
                             int (*serve)(const command_line &, const Settings &))
{
    holdSignals();
    shareHeaps();
    int exitCode = exitOk;
    const auto options = parseCommandLine(argumentCount, arguments, program, MEDLARRACK_VERSION, exitCode);
    if (!options) {
        return exitCode;
    }
    settings::fault_list faults;
    const auto loaded = load(options->settingsPath, faults);
    if (!loaded) {
        std::cerr << settings::toText(faults, options->settingsPath);
        return exitSettings;
    }
    if (options->checkOnly) {
        return exitOk;
    }
    return serve(*options, *loaded);
}

} // namespace medlarrack::daemon
