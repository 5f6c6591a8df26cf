#include "arguments.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <ostream>

namespace medlarrack::ctl {

namespace {

constexpr const char *program = "medlarrackctl";

constexpr const char *usage = R"([--url URL]... [--log FILE]... [--salt TEXT] COMMAND ...

Commands:
  check-settings PROGRAM FILE         check a settings file of agent, entry, gateway or sidecar
  check-ticket FILE...                check change tickets before they are published
  state URL [--json]                  show a daemon's state; URL is the admin address of a gateway
  explain REQUEST-ID --url URL...     join what daemons know of a request into one time line
  explain REQUEST-ID --log FILE...    the same from log files, with what its processes learnt of its replicas meanwhile
  route URL TARGET [--header "NAME: VALUE"]... [--tenant NAME] [--json]
                                      show where a gateway would send a request now; URL is its admin address
  route URL --request FILE ...        the same for the head of the request in the file; "-" for standard input
  hash-key OPERATOR.SECRET            make a ticket's entry for a bearer key; "-" reads it from standard input

Exit codes: 0 done, 1 failed (a daemon can't be reached, or no daemon knows the request), 2 bad command line,
3 a checked file has faults)";

struct context_deleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

struct raw_options
{
    const char **urls = nullptr;
    const char **logs = nullptr;
    const char **headers = nullptr;
    char *salt = nullptr;
    char *request = nullptr;
    char *tenant = nullptr;
    int json = 0;
    int version = 0;
};

std::vector<std::string> takeTexts(const char **texts)
{
    std::vector<std::string> result;
    for (const char **text = texts; text != nullptr && *text != nullptr; ++text) {
        result.emplace_back(*text);
        // popt hands the texts and their array over to its caller.
        std::free(const_cast<char *>(*text));
    }
    std::free(static_cast<void *>(texts));
    return result;
}

std::string takeText(char *text)
{
    const std::unique_ptr<char, decltype(&std::free)> owner(text, &std::free);
    return text != nullptr ? text : "";
}

} // namespace

std::optional<arguments> parseArguments(int argumentCount, const char **texts, const std::string &version,
                                        std::ostream &out, std::ostream &err, int &exitCode)
{
    raw_options raw;
    const std::array<poptOption, 10> options = {
        {{"url", 'u', POPT_ARG_ARGV, static_cast<void *>(&raw.urls), 0,
          "root of a daemon's HTTP address, such as http://127.0.0.1:8080", "URL"},
         {"log", 'l', POPT_ARG_ARGV, static_cast<void *>(&raw.logs), 0,
          "log file of a daemon; \"-\" for standard input", "FILE"},
         {"salt", '\0', POPT_ARG_STRING, static_cast<void *>(&raw.salt), 0, "salt of hash-key; random without it",
          "TEXT"},
         {"header", 'H', POPT_ARG_ARGV, static_cast<void *>(&raw.headers), 0, "header of the request of route",
          "NAME: VALUE"},
         {"request", 'r', POPT_ARG_STRING, static_cast<void *>(&raw.request), 0,
          "file with the head of the request of route; \"-\" for standard input", "FILE"},
         {"tenant", 't', POPT_ARG_STRING, static_cast<void *>(&raw.tenant), 0,
          "tenant of the request of route, in place of its key", "NAME"},
         {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "print what route finds, or the state of a gateway, as JSON",
          nullptr},
         {"version", 'V', POPT_ARG_NONE, &raw.version, 0, "print the version and exit", nullptr},
         POPT_AUTOHELP POPT_TABLEEND}};
    const std::unique_ptr<poptContext_s, context_deleter> context(
        poptGetContext(program, argumentCount, texts, options.data(), 0));
    poptSetOtherOptionHelp(context.get(), usage);
    const int result = poptGetNextOpt(context.get());
    arguments parsed;
    parsed.urls = takeTexts(raw.urls);
    parsed.logs = takeTexts(raw.logs);
    parsed.salt = takeText(raw.salt);
    parsed.headers = takeTexts(raw.headers);
    parsed.request = takeText(raw.request);
    parsed.tenant = takeText(raw.tenant);
    parsed.json = raw.json != 0;
    exitCode = daemon::exitUsage;
    if (result < -1) {
        err << program << ": " << poptBadOption(context.get(), POPT_BADOPTION_NOALIAS) << ": " << poptStrerror(result)
            << "; see --help\n";
        return std::nullopt;
    }
    if (raw.version != 0) {
        out << program << " " << version << "\n";
        exitCode = daemon::exitOk;
        return std::nullopt;
    }
    while (const char *text = poptGetArg(context.get())) {
        parsed.operands.emplace_back(text);
    }
    if (parsed.operands.empty()) {
        err << program << ": a command is missing; see --help\n";
        return std::nullopt;
    }
    parsed.command = parsed.operands.front();
    parsed.operands.erase(parsed.operands.begin());
    return parsed;
}

} // namespace medlarrack::ctl
