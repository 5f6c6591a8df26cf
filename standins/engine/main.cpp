#include "common/command_line.hpp"
#include "common/program.hpp"
#include "engine_program.hpp"

#include <iostream>
#include <memory>
#include <utility>

namespace {

using namespace medlarrack;
using namespace medlarrack::standins;

void addOptions(command_line &options, engine_settings &settings, engine_faults &faults)
{
    options.add("slots", settings.slots, "adapter slots");
    options.add("batch-size", settings.batchSize, "sequences in one step");
    options.add("step-ms", settings.stepMs, "time of one step");
    options.add("load-ms", settings.loadMs, "time of a load without --platform");
    options.add("max-waiting", settings.maxWaiting, "requests that wait for a place before 503");
    options.add("cache-blocks", settings.cacheBlocks, "blocks of 64 bytes in the prefix cache");
    options.add("prefill-blocks", settings.prefillBlocks, "blocks of the prompt read in one step");
    options.add("base-model", settings.baseModel, "name of the base model (default base-8b)");
    options.add("platform", settings.platform, "base URL of the platform whose store has the weights");
    options.add("fence-check", settings.fenceCheck, "refuse orders with an old fencing number");
    options.add("load-report-lag-ms", faults.loadReportLagMs, "age of /load");
    options.add("cache-event-lag-ms", faults.cacheEventLagMs, "age of the newest cache event");
    options.add("crash-text", faults.crashText, "a prompt with this text ends the process with code 70");
}

} // namespace

int main(int argc, const char **argv)
{
    command_line options;
    listen_options listen;
    engine_settings settings;
    engine_faults faults;
    control_table control;
    listen.addTo(options);
    addOptions(options, settings, faults);
    faults.addTo(control);
    options.addHelp(control.help());
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    if (settings.slots < 0 || settings.batchSize < 1 || settings.stepMs < 1 || settings.cacheBlocks < 1) {
        std::cerr << "--batch-size, --step-ms and --cache-blocks are at least 1, --slots at least 0\n";
        return exitBadUsage;
    }
    asio::io_context context;
    engine_program program(context, settings, faults);
    return runProgram(context, listen, control,
                      [&](const http::request &request, std::shared_ptr<http::responder> answer) {
                          program.handle(request, std::move(answer));
                      });
}
