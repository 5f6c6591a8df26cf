#include "commands.hpp"
#include "fault_lines.hpp"
#include "json_lines.hpp"

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/tickets/ticket.hpp>

#include <map>
#include <ostream>

namespace medlarrack::ctl {

namespace {

std::optional<tickets::ticket> readTicket(const std::string &path, const json_lines &lines, const std::string &text,
                                          std::ostream &err)
{
    std::vector<tickets::ticket_fault> faults;
    auto parsed = tickets::parseTicket(text, faults);
    for (const auto &fault : faults) {
        printFault(err, path, lines, fault.pointer, fault.message);
    }
    return parsed;
}

/// The ticket of a file, when it has no fault.
std::optional<tickets::ticket> checkTicket(const std::string &path, std::ostream &err)
{
    const auto text = readFile(path, err);
    if (!text) {
        return std::nullopt;
    }
    const json_lines lines(*text);
    if (printSyntaxFault(err, path, lines)) {
        return std::nullopt;
    }
    return readTicket(path, lines, *text, err);
}

void printSummary(const std::string &path, const tickets::ticket &checked, std::ostream &out)
{
    out << path << ": ticket " << checked.number << " is valid: " << checked.operators.size() << " operators, "
        << checked.adapters.size() << " adapters, " << checked.services.size() << " services, " << checked.groups.size()
        << " groups\n";
}

} // namespace

int checkTickets(const std::vector<std::string> &paths, std::ostream &out, std::ostream &err)
{
    std::map<std::uint64_t, std::string> pathByNumber;
    bool valid = true;
    for (const auto &path : paths) {
        const auto checked = checkTicket(path, err);
        if (!checked) {
            valid = false;
            continue;
        }
        const auto [known, isNew] = pathByNumber.emplace(checked->number, path);
        if (!isNew) {
            err << path << ": /ticket: number " << checked->number << " is also that of " << known->second << "\n";
            valid = false;
            continue;
        }
        printSummary(path, *checked, out);
    }
    return valid ? daemon::exitOk : daemon::exitSettings;
}

} // namespace medlarrack::ctl
