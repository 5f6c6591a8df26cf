#include "arrival_schedule.hpp"
#include "load_options.hpp"
#include "load_run.hpp"
#include "report.hpp"
#include "trace_reader.hpp"

#include <medlarrack/core/system_clock.hpp>

#include <cstdio>
#include <fstream>
#include <memory>

namespace {

using namespace medlarrack;

constexpr int exitKept = 0;
constexpr int exitBroken = 1;
constexpr int exitUsage = 2;

std::unique_ptr<load::request_source> makeSource(const load::load_options &options, core::reason &why)
{
    if (options.tracePath.empty()) {
        return std::make_unique<load::arrival_schedule>(options);
    }
    std::ifstream file(options.tracePath);
    if (!file) {
        why = {"bad_trace", "can't be opened"};
        return nullptr;
    }
    auto requests = load::readTrace(file, options, why);
    return requests ? std::make_unique<load::trace_source>(std::move(*requests)) : nullptr;
}

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::trunc);
    file << text;
    file.close();
    return !file.fail();
}

} // namespace

int main(int argumentCount, const char **arguments)
{
    int exitCode = exitKept;
    const auto options = load::readOptions(argumentCount, arguments, exitCode);
    if (!options) {
        return exitCode;
    }
    core::reason why;
    const auto source = makeSource(*options, why);
    if (!source) {
        std::fprintf(stderr, "medlarrack-load: %s: %s\n", options->tracePath.c_str(), why.message.c_str());
        return exitUsage;
    }
    const core::system_clock clock;
    load::load_run run(*options, clock, *source);
    const load::summary figures = run.execute();
    std::fputs(load::toTable(figures).c_str(), stdout);
    if (!options->jsonPath.empty() && !writeFile(options->jsonPath, load::toJson(figures))) {
        std::fprintf(stderr, "medlarrack-load: %s can't be written\n", options->jsonPath.c_str());
        return exitBroken;
    }
    return figures.broken().empty() && figures.answered() > 0 ? exitKept : exitBroken;
}
