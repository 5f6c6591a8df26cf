#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <istream>
#include <ostream>

namespace medlarrack::ctl {

namespace {

/// Whether a command has as many operands as it needs.
bool hasOperands(const arguments &wanted, std::size_t least, std::size_t most, std::ostream &err)
{
    const auto count = wanted.operands.size();
    if (count >= least && count <= most) {
        return true;
    }
    err << "medlarrackctl: " << wanted.command << ": too " << (count < least ? "few" : "many")
        << " operands; see --help\n";
    return false;
}

std::string readLine(std::istream &in)
{
    std::string line;
    std::getline(in, line);
    return line;
}

int runExplain(const arguments &wanted, std::istream &in, std::ostream &out, std::ostream &err)
{
    if (!wanted.logs.empty()) {
        return explainFromLogs(wanted.operands.front(), wanted.logs, in, out, err);
    }
    if (wanted.urls.empty()) {
        err << "medlarrackctl: explain: --url or --log is missing; see --help\n";
        return daemon::exitUsage;
    }
    return explain(wanted.operands.front(), wanted.urls, out, err);
}

} // namespace

int runCommand(const arguments &wanted, std::istream &in, std::ostream &out, std::ostream &err)
{
    constexpr std::size_t anyNumber = 100'000;
    const auto &operands = wanted.operands;
    if (wanted.command == "check-settings") {
        return hasOperands(wanted, 2, 2, err) ? checkSettings(operands[0], operands[1], out, err) : daemon::exitUsage;
    }
    if (wanted.command == "check-ticket") {
        return hasOperands(wanted, 1, anyNumber, err) ? checkTickets(operands, out, err) : daemon::exitUsage;
    }
    if (wanted.command == "state") {
        return hasOperands(wanted, 1, 1, err) ? showState(operands[0], out, err, wanted.json) : daemon::exitUsage;
    }
    if (wanted.command == "explain") {
        return hasOperands(wanted, 1, 1, err) ? runExplain(wanted, in, out, err) : daemon::exitUsage;
    }
    if (wanted.command == "route") {
        const std::size_t operandCount = wanted.request.empty() ? 2 : 1;
        return hasOperands(wanted, operandCount, operandCount, err) ? showRoute(wanted, in, out, err)
                                                                    : daemon::exitUsage;
    }
    if (wanted.command == "hash-key") {
        if (!hasOperands(wanted, 1, 1, err)) {
            return daemon::exitUsage;
        }
        return hashKey(operands[0] == "-" ? readLine(in) : operands[0], wanted.salt, out, err);
    }
    err << "medlarrackctl: unknown command \"" << wanted.command << "\"; see --help\n";
    return daemon::exitUsage;
}

} // namespace medlarrack::ctl
