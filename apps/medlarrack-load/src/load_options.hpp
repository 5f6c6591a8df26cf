#pragma once

#include <medlarrack/core/reason.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::load {

/// What the command line asks for.
struct load_options
{
    /// Base URLs of the entries; callers take them in turn.
    std::vector<std::string> entries;
    std::string operatorName = "operator";
    /// Bearer key of each operator.
    std::map<std::string, std::string> keys;
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration{10'000};
    /// Requests per second, all kinds together.
    double rate = 50;

    std::size_t adapters = 100;
    /// An adapter's name is the prefix followed by its number from 0.
    std::string adapterPrefix;
    /// Asked for by name when not empty; otherwise the entry resolves the current version.
    std::string adapterVersion;
    /// One model for all completions in place of adapters, for runs straight at an engine.
    std::string model;
    /// Exponent of the adapters' popularity; 0 makes them equally popular.
    double zipf = 1.0;
    /// Time after which other adapters become the popular ones; zero for never.
    std::chrono::milliseconds shift{0};
    /// Shares of control, interactive and bulk among completions.
    std::array<double, 3> classMix = {0.05, 0.70, 0.25};
    std::size_t shortTokens = 16;
    std::size_t longTokens = 128;
    /// Share of completions with longTokens.
    double longShare = 0.1;
    /// Share of completions that are streamed.
    double streamShare = 0.5;
    /// Share of completions sent as chat.
    double chatShare = 0.5;

    /// Plain service; none when empty.
    std::string service;
    /// Share of requests that call the service.
    double serviceShare = 0.2;
    /// Share of service calls that may not be repeated.
    double nonIdempotentShare = 0.5;
    std::string readPath = "/status";
    std::string writePath = "/start";
    /// Share of non-idempotent calls sent a second time through another entry.
    double resendShare = 0.2;
    /// The second sending follows after a time between 0 and this.
    std::chrono::milliseconds resendDelay{500};

    std::chrono::milliseconds deadline{10'000};
    std::size_t threads = 2;
    std::string jsonPath;
    std::string tracePath;
    /// Service stand-ins that count runs per key.
    std::vector<std::string> runCounters;
    /// Engines whose batch efficiency is measured.
    std::vector<std::string> engines;
    /// Answers that visibly break off are counted and don't fail the run.
    bool allowCutOff = false;
};

/// Reads the command line by popt. Without a value the process is to exit with the code given: 0 after --help and
/// --version, 2 after a fault, which is printed.
[[nodiscard]] std::optional<load_options> readOptions(int argumentCount, const char **arguments, int &exitCode);

} // namespace medlarrack::load
