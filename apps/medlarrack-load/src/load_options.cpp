#include "load_options.hpp"

#include <popt.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>

namespace medlarrack::load {

namespace {

constexpr int exitUsage = 2;
constexpr int versionCode = 1000;

using setter = std::function<bool(load_options &, const std::string &)>;

/// One option of the command line.
struct option_entry
{
    const char *name;
    const char *help;
    /// Name of the argument; null for a flag.
    const char *argument;
    setter set;
};

template<class Value>
bool parseNumber(const std::string &text, Value &value, Value least, Value most)
{
    Value parsed{};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), parsed);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size() || parsed < least || parsed > most) {
        return false;
    }
    value = parsed;
    return true;
}

setter text(std::string load_options::*member)
{
    return [member](load_options &options, const std::string &value) {
        options.*member = value;
        return !value.empty();
    };
}

setter list(std::vector<std::string> load_options::*member)
{
    return [member](load_options &options, std::string value) {
        while (!value.empty() && value.back() == '/') {
            value.pop_back();
        }
        (options.*member).push_back(value);
        return !value.empty();
    };
}

setter real(double load_options::*member, double most)
{
    return [member, most](load_options &options, const std::string &value) {
        return parseNumber(value, options.*member, 0.0, most);
    };
}

setter share(double load_options::*member)
{
    return real(member, 1.0);
}

setter size(std::size_t load_options::*member, std::size_t most)
{
    return [member, most](load_options &options, const std::string &value) {
        return parseNumber<std::size_t>(value, options.*member, 1, most);
    };
}

setter duration(std::chrono::milliseconds load_options::*member, double unitMs)
{
    return [member, unitMs](load_options &options, const std::string &value) {
        constexpr double mostMs = 1e9;
        double number = 0;
        if (!parseNumber(value, number, 0.0, mostMs / unitMs)) {
            return false;
        }
        options.*member = std::chrono::milliseconds(static_cast<std::int64_t>(number * unitMs));
        return true;
    };
}

bool setSeed(load_options &options, const std::string &value)
{
    return parseNumber<std::uint64_t>(value, options.seed, 0, ~0ULL);
}

bool setMix(load_options &options, const std::string &value)
{
    std::size_t begin = 0;
    double sum = 0;
    for (std::size_t index = 0; index < options.classMix.size(); ++index) {
        const std::size_t end = std::min(value.find(',', begin), value.size());
        if (begin > value.size() || !parseNumber(value.substr(begin, end - begin), options.classMix[index], 0.0, 1e6)) {
            return false;
        }
        sum += options.classMix[index];
        begin = end + 1;
    }
    return begin > value.size() && sum > 0;
}

// "KEY" for the operator of --operator, or "operator=KEY".
bool addKey(load_options &options, const std::string &value)
{
    const std::size_t equals = value.find('=');
    if (equals == std::string::npos) {
        options.keys[""] = value;
    } else {
        options.keys[value.substr(0, equals)] = value.substr(equals + 1);
    }
    return !value.empty();
}

std::vector<option_entry> optionEntries()
{
    constexpr double maxRate = 1e6;
    constexpr double maxExponent = 10;
    constexpr std::size_t maxAdapters = 10'000'000;
    constexpr std::size_t maxTokens = 1'000'000;
    constexpr std::size_t maxThreads = 64;
    return {
        {"entry", "base URL of an entry; may be given again", "URL", list(&load_options::entries)},
        {"key", "bearer key, of --operator or of the one named; may be given again", "[OPERATOR=]KEY", &addKey},
        {"operator", "operator of generated requests", "NAME", text(&load_options::operatorName)},
        {"seed", "seed of everything random", "N", &setSeed},
        {"duration-s", "how long requests arrive", "S", duration(&load_options::duration, 1000)},
        {"rate", "requests per second", "R", real(&load_options::rate, maxRate)},
        {"adapters", "number of adapters", "N", size(&load_options::adapters, maxAdapters)},
        {"adapter-prefix", "adapters are named PREFIX0, PREFIX1 and so on (OPERATOR/a-)", "PREFIX",
         text(&load_options::adapterPrefix)},
        {"adapter-version", "ask for this version by name", "VERSION", text(&load_options::adapterVersion)},
        {"model", "one model in place of adapters, for runs straight at an engine", "NAME", text(&load_options::model)},
        {"zipf", "exponent of the adapters' popularity", "X", real(&load_options::zipf, maxExponent)},
        {"shift-s", "time after which other adapters are popular; 0 for never", "S",
         duration(&load_options::shift, 1000)},
        {"class-mix", "weights of control, interactive and bulk", "C,I,B", &setMix},
        {"max-tokens-short", "length of short answers", "N", size(&load_options::shortTokens, maxTokens)},
        {"max-tokens-long", "length of long answers", "N", size(&load_options::longTokens, maxTokens)},
        {"long", "share of long answers", "SHARE", share(&load_options::longShare)},
        {"stream", "share of streamed answers", "SHARE", share(&load_options::streamShare)},
        {"chat", "share of chat completions", "SHARE", share(&load_options::chatShare)},
        {"service", "plain service to call besides", "NAME", text(&load_options::service)},
        {"service-share", "share of service calls among all requests", "SHARE", share(&load_options::serviceShare)},
        {"non-idempotent", "share of non-idempotent ones among service calls", "SHARE",
         share(&load_options::nonIdempotentShare)},
        {"read-path", "path of idempotent calls (GET)", "PATH", text(&load_options::readPath)},
        {"write-path", "path of non-idempotent calls (POST)", "PATH", text(&load_options::writePath)},
        {"resend", "share of non-idempotent calls sent again through another entry", "SHARE",
         share(&load_options::resendShare)},
        {"resend-delay-ms", "longest time until the second sending", "MS", duration(&load_options::resendDelay, 1)},
        {"deadline-ms", "deadline of each request", "MS", duration(&load_options::deadline, 1)},
        {"threads", "worker threads", "N", size(&load_options::threads, maxThreads)},
        {"json", "write the summary to FILE", "FILE", text(&load_options::jsonPath)},
        {"trace", "replay the requests in FILE (JSON lines) in place of generated ones", "FILE",
         text(&load_options::tracePath)},
        {"check-runs", "service stand-in whose runs per key are counted; may be given again", "URL",
         list(&load_options::runCounters)},
        {"engine", "engine whose batch efficiency is measured; may be given again", "URL",
         list(&load_options::engines)},
        {"allow-cut-off", "answers that visibly break off don't fail the run", nullptr,
         [](load_options &options, const std::string &) {
             options.allowCutOff = true;
             return true;
         }},
    };
}

std::vector<poptOption> poptTable(const std::vector<option_entry> &entries)
{
    std::vector<poptOption> table;
    int code = 0;
    for (const option_entry &entry : entries) {
        const unsigned kind = entry.argument != nullptr ? POPT_ARG_STRING : POPT_ARG_NONE;
        table.push_back({entry.name, '\0', kind, nullptr, ++code, entry.help, entry.argument});
    }
    table.push_back({"version", 'V', POPT_ARG_NONE, nullptr, versionCode, "print the version and exit", nullptr});
    table.insert(table.end(), {POPT_AUTOHELP POPT_TABLEEND});
    return table;
}

struct context_deleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

using context_owner = std::unique_ptr<poptContext_s, context_deleter>;

std::optional<load_options> usageError(const std::string &message, int &exitCode)
{
    std::fprintf(stderr, "medlarrack-load: %s; see --help\n", message.c_str());
    exitCode = exitUsage;
    return std::nullopt;
}

std::string takeArgument(poptContext context)
{
    const std::unique_ptr<char, decltype(&std::free)> raw(poptGetOptArg(context), &std::free);
    return raw ? raw.get() : "";
}

std::optional<load_options> finish(load_options options, int &exitCode)
{
    if (options.entries.empty()) {
        return usageError("--entry is missing", exitCode);
    }
    if (options.adapterPrefix.empty()) {
        options.adapterPrefix = options.operatorName + "/a-";
    }
    if (const auto unnamed = options.keys.extract(""); !unnamed.empty()) {
        options.keys[options.operatorName] = unnamed.mapped();
    }
    return options;
}

} // namespace

std::optional<load_options> readOptions(int argumentCount, const char **arguments, int &exitCode)
{
    const auto entries = optionEntries();
    auto table = poptTable(entries);
    const context_owner context(poptGetContext("medlarrack-load", argumentCount, arguments, table.data(), 0));
    poptSetOtherOptionHelp(context.get(),
                           "--entry URL [options]\nExit codes: 0 no promise broken, 1 a promise broken or "
                           "nothing answered, 2 bad command line or trace");
    load_options options;
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        if (code == versionCode) {
            std::printf("medlarrack-load %s\n", MEDLARRACK_VERSION);
            exitCode = 0;
            return std::nullopt;
        }
        const option_entry &entry = entries[static_cast<std::size_t>(code) - 1];
        const std::string argument = takeArgument(context.get());
        if (!entry.set(options, argument)) {
            return usageError("--" + std::string(entry.name) + ": '" + argument + "' can't be taken", exitCode);
        }
    }
    if (code < -1) {
        const std::string name = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
        return usageError(name + ": " + poptStrerror(code), exitCode);
    }
    if (poptPeekArg(context.get()) != nullptr) {
        return usageError(std::string("unexpected argument ") + poptGetArg(context.get()), exitCode);
    }
    return finish(std::move(options), exitCode);
}

} // namespace medlarrack::load
