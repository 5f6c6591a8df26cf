#include "entry_process.hpp"

#include <medlarrack/daemon/run_program.hpp>
#include <medlarrack/daemon/signals.hpp>
#include <medlarrack/daemon/worker_pool.hpp>
#include <medlarrack/log/log.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <iostream>

namespace {

using namespace medlarrack;

void printPorts(const entry::entry_settings &settings, const entry::entry_service &service)
{
    std::cout << "listening callers " << settings.callers.address << ':' << service.callersPort() << '\n';
    if (service.adminPort()) {
        std::cout << "listening admin " << settings.admin->address << ':' << *service.adminPort() << '\n';
    }
    std::cout << std::flush;
}

int serve(const daemon::command_line &options, const entry::entry_settings &settings)
{
    log::start("medlarrack-entry", log::levelFromString(settings.logLevel));
    asio::io_context context;
    const auto guard = asio::make_work_guard(context);
    entry::entry_process process(context, settings);
    core::reason why;
    if (!process.start(why)) {
        log::write(log::level::error, why.message, {{"code", why.code}});
        return daemon::exitFailure;
    }
    const daemon::signals signals(context, [&] {
        process.drain([&context] {
            context.stop();
        });
    });
    if (options.printPort) {
        printPorts(settings, process.service());
    }
    daemon::worker_pool pool(context, settings.workers);
    pool.join();
    process.stop();
    return daemon::exitOk;
}

} // namespace

int main(int argumentCount, const char **arguments)
{
    return daemon::runProgram(argumentCount, arguments, "medlarrack-entry", entry::loadSettings, serve);
}
