#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/daemon/heap.hpp>
#include <medlarrack/daemon/run_program.hpp>
#include <medlarrack/daemon/signals.hpp>
#include <medlarrack/gateway/gateway_service.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/platform/caller_codec.hpp>
#include <medlarrack/platform/store_codec.hpp>

#include <asio/io_context.hpp>

#include <iostream>
#include <optional>
#include <utility>

namespace {

using namespace medlarrack;

/// Bound on buffered log lines; about 0.5 s of log output at full load.
constexpr std::size_t maxLogBytes = 262'144;

void reload(const std::string &path, gateway::gateway_service &service)
{
    settings::fault_list faults;
    if (const auto loaded = gateway::loadSettings(path, faults)) {
        service.reload(*loaded);
        log::write(log::level::info, "settings reloaded");
    } else {
        log::write(log::level::error, "settings not reloaded", {{"why", settings::toText(faults, path)}});
    }
}

int serve(const daemon::command_line &options, const gateway::gateway_settings &settings)
{
    daemon::returnLargeBlocks();
    log::startBuffered("medlarrack-gateway", settings.name, log::levelFromString(settings.logLevel), maxLogBytes);
    asio::io_context context(1);
    const core::system_clock clock;
    const platform::caller_codec callers;
    const platform::store_codec store;
    std::optional<gateway::gateway_service> service(std::in_place, context, settings, callers, store, clock);
    core::reason why;
    if (!service->start(why)) {
        log::write(log::level::error, why.message, {{"code", why.code}});
        log::flush();
        return daemon::exitFailure;
    }
    log::write(log::level::info, "started", {{"version", MEDLARRACK_VERSION}});
    if (options.printPort) {
        std::cout << "listening callers " << service->callersPort() << "\nlistening admin " << service->adminPort()
                  << std::endl;
    }
    const auto terminate = [&] {
        service->drain([&context] {
            context.stop();
        });
    };
    const daemon::signals signals(context, terminate, [&] {
        reload(options.settingsPath, *service);
    });
    context.run();
    // Its end may still answer requests, and logs that.
    service.reset();
    log::flush();
    return daemon::exitOk;
}

} // namespace

int main(int argumentCount, const char **arguments)
{
    return daemon::runProgram(argumentCount, arguments, "medlarrack-gateway", gateway::loadSettings, serve);
}
