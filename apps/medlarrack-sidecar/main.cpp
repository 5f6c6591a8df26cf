#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/daemon/heap.hpp>
#include <medlarrack/daemon/signals.hpp>
#include <medlarrack/daemon/worker_pool.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/settings/fault.hpp>
#include <medlarrack/sidecar/sidecar_service.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <iostream>
#include <utility>

namespace {

using namespace medlarrack;

int serve(const daemon::command_line &options, sidecar::sidecar_settings settings)
{
    log::start("medlarrack-sidecar", log::levelFromString(settings.logLevel));
    const std::size_t workers = settings.workers;
    const std::string peersAddress = settings.peers.address;
    const std::string adminAddress = settings.admin.address;
    const core::system_clock clock;
    asio::io_context context;
    const auto guard = asio::make_work_guard(context);
    sidecar::sidecar_service service(context, std::move(settings), clock);
    core::reason why;
    if (!service.start(why)) {
        log::write(log::level::error, why.message, {{"code", why.code}});
        return daemon::exitFailure;
    }
    const daemon::signals signals(context, [&] {
        service.drain([&context] {
            context.stop();
        });
    });
    if (options.printPort) {
        std::cout << "listening peers " << peersAddress << ':' << service.peersPort() << '\n'
                  << "listening admin " << adminAddress << ':' << service.adminPort() << std::endl;
    }
    daemon::worker_pool pool(context, workers);
    pool.join();
    service.stop();
    return daemon::exitOk;
}

} // namespace

int main(int argumentCount, const char **arguments)
{
    daemon::shareHeaps();
    int exitCode = daemon::exitOk;
    const auto options =
        daemon::parseCommandLine(argumentCount, arguments, "medlarrack-sidecar", MEDLARRACK_VERSION, exitCode);
    if (!options) {
        return exitCode;
    }
    settings::fault_list faults;
    auto settings = sidecar::loadSettings(options->settingsPath, faults);
    if (!settings) {
        std::cerr << settings::toText(faults, options->settingsPath);
        return daemon::exitSettings;
    }
    if (options->checkOnly) {
        return daemon::exitOk;
    }
    return serve(*options, std::move(*settings));
}
