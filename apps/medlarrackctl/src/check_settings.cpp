#include "commands.hpp"
#include "fault_lines.hpp"
#include "json_lines.hpp"

#include <medlarrack/agent/agent_settings.hpp>
#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/entry/entry_settings.hpp>
#include <medlarrack/gateway/gateway_settings.hpp>
#include <medlarrack/settings/document.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <algorithm>
#include <array>
#include <ostream>

namespace medlarrack::ctl {

namespace {

/// A program and whether a document holds its settings; faults say why not.
struct checked_program
{
    std::string_view name;
    bool (*holdsSettings)(const nlohmann::json &root, settings::fault_list &faults);
};

template<auto parse>
bool holdsSettings(const nlohmann::json &root, settings::fault_list &faults)
{
    return parse(root, faults).has_value();
}

constexpr std::array<checked_program, 4> programs{{
    {"agent", &holdsSettings<&agent::parseSettings>},
    {"entry", &holdsSettings<&entry::parseSettings>},
    {"gateway", &holdsSettings<&gateway::parseSettings>},
    {"sidecar", &holdsSettings<&sidecar::parseSettings>},
}};

} // namespace

int checkSettings(const std::string &program, const std::string &path, std::ostream &out, std::ostream &err)
{
    const auto *const found = std::ranges::find(programs, program, &checked_program::name);
    if (found == programs.end()) {
        err << "medlarrackctl: check-settings: expected agent, entry, gateway or sidecar, found \"" << program
            << "\"\n";
        return daemon::exitUsage;
    }
    const auto text = readFile(path, err);
    if (!text) {
        return daemon::exitSettings;
    }
    const json_lines lines(*text);
    if (printSyntaxFault(err, path, lines)) {
        return daemon::exitSettings;
    }
    settings::fault_list faults;
    const auto document = settings::document::parse(*text, faults);
    const bool taken = document && found->holdsSettings(document->root(), faults) && faults.empty();
    for (const auto &fault : faults) {
        printFault(err, path, lines, fault.pointer, fault.message);
    }
    if (!taken) {
        return daemon::exitSettings;
    }
    out << path << ": settings of " << program << " are valid\n";
    return daemon::exitOk;
}

} // namespace medlarrack::ctl
