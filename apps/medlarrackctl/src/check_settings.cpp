#include "commands.hpp"
#include "fault_lines.hpp"
#include "json_lines.hpp"

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/entry/entry_settings.hpp>
#include <medlarrack/settings/document.hpp>
#include <medlarrack/sidecar/sidecar_settings.hpp>

#include <ostream>

namespace medlarrack::ctl {

namespace {

/// Whether the document is the program's; faults say why not.
bool parseAs(const std::string &program, const settings::document &document, settings::fault_list &faults)
{
    if (program == "entry") {
        return entry::parseSettings(document.root(), faults).has_value();
    }
    return sidecar::parseSettings(document.root(), faults).has_value();
}

} // namespace

int checkSettings(const std::string &program, const std::string &path, std::ostream &out, std::ostream &err)
{
    if (program != "entry" && program != "sidecar") {
        err << "medlarrackctl: check-settings: expected entry or sidecar, found \"" << program << "\"\n";
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
    const bool taken = document && parseAs(program, *document, faults) && faults.empty();
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
