#include <medlarrack/agent/agent_service.hpp>
#include <medlarrack/core/system_clock.hpp>
#include <medlarrack/daemon/run_program.hpp>
#include <medlarrack/daemon/signals.hpp>
#include <medlarrack/log/log.hpp>
#include <medlarrack/platform/engine_codec.hpp>

#include <asio/io_context.hpp>

namespace {

using namespace medlarrack;

/// Bound on buffered log lines.
constexpr std::size_t maxLogBytes = 131'072;

int serve(const daemon::command_line &options, const agent::agent_settings &settings)
{
    log::startBuffered("medlarrack-agent", settings.name, log::levelFromString(settings.logLevel), maxLogBytes);
    asio::io_context context(1);
    const core::system_clock clock;
    const platform::engine_codec format;
    agent::agent_service service(context, settings, format, clock);
    core::reason why;
    if (!service.start(why)) {
        log::write(log::level::error, why.message, {{"code", why.code}});
        log::flush();
        return daemon::exitFailure;
    }
    log::write(log::level::info, "started", {{"version", MEDLARRACK_VERSION}, {"engine", settings.engine}});
    const auto terminate = [&] {
        service.stop();
        log::write(log::level::info, "stopped");
        log::flush();
        context.stop();
    };
    const daemon::signals signals(context, terminate, [&] {
        // None of the agent's settings can change at run time; reloading only validates the file.
        settings::fault_list faults;
        const bool isValid = agent::loadSettings(options.settingsPath, faults).has_value();
        log::write(isValid ? log::level::info : log::level::error,
                   isValid ? "settings reloaded" : "settings not reloaded",
                   {{"why", settings::toText(faults, options.settingsPath)}});
    });
    context.run();
    return daemon::exitOk;
}

} // namespace

int main(int argumentCount, const char **arguments)
{
    return daemon::runProgram(argumentCount, arguments, "medlarrack-agent", agent::loadSettings, serve);
}
