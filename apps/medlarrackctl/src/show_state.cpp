#include "commands.hpp"
#include "page_reader.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <nlohmann/json.hpp>

#include <ostream>

namespace medlarrack::ctl {

namespace {

constexpr int statusOk = 200;
constexpr int indent = 2;

} // namespace

int showState(const std::string &url, std::ostream &out, std::ostream &err)
{
    core::reason why;
    const auto page = readPage(url, "/debug/state", why);
    if (!page) {
        err << url << ": " << why.code << ": " << why.message << "\n";
        return daemon::exitFailure;
    }
    const auto state = pageJson(*page);
    if (page->status != statusOk || !state) {
        err << url << ": status " << page->status << ", " << page->body.size() << " bytes that are no state\n";
        return daemon::exitFailure;
    }
    out << state->dump(indent) << "\n";
    return daemon::exitOk;
}

} // namespace medlarrack::ctl
