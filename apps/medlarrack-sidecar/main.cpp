#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/daemon/run_program.hpp>
#include <medlarrack/daemon/signals.hpp>
#include <medlarrack/daemon/worker_pool.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/sidecar/sidecar_service.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <iostream>

namespace {

using namespace medlarrack;

int serve(const daemon::command_line &options, const sidecar::sidecar_settings &settings)
{
    log::start("medlarrack-sidecar", log::levelFromString(settings.logLevel));
    const core::system_clock clock;
    asio::io_context context;
    const auto guard = asio::make_work_guard(context);
    sidecar::sidecar_service service(context, settings, clock);
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
        std::cout << "listening peers " << settings.peers.address << ':' << service.peersPort() << '\n'
                  << "listening admin " << settings.admin.address << ':' << service.adminPort() << std::endl;
    }
    daemon::worker_pool pool(context, settings.workers);
    pool.join();
    service.stop();
    return daemon::exitOk;
}

} // namespace

int main(int argumentCount, const char **arguments)
{
    return daemon::runProgram(argumentCount, arguments, "medlarrack-sidecar", sidecar::loadSettings, serve);
}
