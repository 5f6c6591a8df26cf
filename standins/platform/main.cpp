#include "common/command_line.hpp"
#include "common/program.hpp"
#include "platform_faults.hpp"
#include "platform_program.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace medlarrack;
using namespace medlarrack::standins;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

void addOptions(command_line &options, platform_faults &faults)
{
    options.add("calls-per-s", faults.callsPerS, "call rate over all readers, 0 for none");
    options.add("instances-lag-ms", faults.instancesLagMs, "age of the list of instances");
    options.add("store-loads-per-s", faults.store.loadsPerS, "rate of the weight store, 0 for none");
    options.add("store-loads-at-once", faults.store.loadsAtOnce, "loads at full speed");
    options.add("store-transit", faults.store.transit, "loads in transit before all become slower");
    options.add("store-load-ms", faults.store.loadMs, "time of one load at full speed");
}

bool readAll(platform_program &program, const std::vector<std::string> &tickets, const std::string &instances)
{
    for (const auto &path : tickets) {
        const auto text = readFile(path);
        if (!text || !program.publishAll(*text)) {
            std::cerr << path << ": no ticket or array of tickets\n";
            return false;
        }
    }
    if (instances.empty()) {
        return true;
    }
    const auto text = readFile(instances);
    if (!text || !program.replaceInstances(*text)) {
        std::cerr << instances << ": no list of instances\n";
        return false;
    }
    return true;
}

} // namespace

int main(int argc, const char **argv)
{
    command_line options;
    listen_options listen;
    platform_faults faults;
    control_table control;
    std::vector<std::string> tickets;
    std::string instances;
    listen.addTo(options);
    options.add("tickets", tickets, "file with a ticket or an array of them; may be given several times");
    options.add("instances", instances, "file with {\"instances\": [..]}");
    addOptions(options, faults);
    faults.addTo(control);
    options.addHelp(control.help());
    if (const auto code = options.parse(argc, argv)) {
        return *code;
    }
    asio::io_context context;
    platform_program program(context, faults);
    control.onApplied([&] {
        program.wakeWaiters();
    });
    if (!readAll(program, tickets, instances)) {
        return exitBadUsage;
    }
    return runProgram(context, listen, control,
                      [&](const http::request &request, std::shared_ptr<http::responder> answer) {
                          program.handle(request, std::move(answer));
                      });
}
