#include <medlarrack/daemon/command_line.hpp>

#include <popt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace medlarrack::daemon {

namespace {

struct raw_options
{
    char *settingsPath = nullptr;
    int checkOnly = 0;
    int printPort = 0;
    int version = 0;
};

struct context_deleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

using context_owner = std::unique_ptr<poptContext_s, context_deleter>;

std::optional<command_line> usageError(const std::string &program, const std::string &message, int &exitCode)
{
    std::fprintf(stderr, "%s: %s; see --help\n", program.c_str(), message.c_str());
    exitCode = exitUsage;
    return std::nullopt;
}

} // namespace

std::optional<command_line> parseCommandLine(int argumentCount, const char **arguments, const std::string &program,
                                             const std::string &version, int &exitCode)
{
    raw_options raw;
    const std::array<poptOption, 6> options = {
        {{"settings", 's', POPT_ARG_STRING, static_cast<void *>(&raw.settingsPath), 0,
          "settings file (JSON with comments)", "FILE"},
         {"check", 'c', POPT_ARG_NONE, &raw.checkOnly, 0, "check the settings and exit", nullptr},
         {"print-port", '\0', POPT_ARG_NONE, &raw.printPort, 0, "write the addresses listened on to standard output",
          nullptr},
         {"version", 'V', POPT_ARG_NONE, &raw.version, 0, "print the version and exit", nullptr},
         POPT_AUTOHELP POPT_TABLEEND}};
    const context_owner context(poptGetContext(program.c_str(), argumentCount, arguments, options.data(), 0));
    poptSetOtherOptionHelp(
        context.get(), "--settings FILE [--check]\nExit codes: 0 done, 1 failed, 2 bad command line, 3 bad settings");
    const int result = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> settingsPath(raw.settingsPath, &std::free);
    if (result < -1) {
        const std::string option = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
        return usageError(program, option + ": " + poptStrerror(result), exitCode);
    }
    if (poptPeekArg(context.get()) != nullptr) {
        return usageError(program, std::string("unexpected argument ") + poptGetArg(context.get()), exitCode);
    }
    if (raw.version != 0) {
        std::printf("%s %s\n", program.c_str(), version.c_str());
        exitCode = exitOk;
        return std::nullopt;
    }
    if (raw.settingsPath == nullptr) {
        return usageError(program, "--settings is missing", exitCode);
    }
    return command_line{raw.settingsPath, raw.checkOnly != 0, raw.printPort != 0};
}

} // namespace medlarrack::daemon
