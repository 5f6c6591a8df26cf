#include "commands.hpp"
#include "page_reader.hpp"
#include "page_text.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <nlohmann/json.hpp>

#include <ostream>

namespace medlarrack::ctl {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int indent = 2;

} // namespace

int showState(const std::string &url, std::ostream &out, std::ostream &err, bool asJson)
{
    core::reason why;
    auto page = readPage(url, "/debug/state", why);
    // A gateway has a page of its own, which is long: it is printed as text.
    const bool isGateway = page && page->status == statusNotFound;
    if (isGateway) {
        page = readPage(url, "/state", why);
    }
    if (!page) {
        err << url << ": " << why.code << ": " << why.message << "\n";
        return daemon::exitFailure;
    }
    const auto state = pageJson(*page);
    if (page->status != statusOk || !state) {
        err << url << ": status " << page->status << ", " << page->body.size() << " bytes that are no state\n";
        return daemon::exitFailure;
    }
    if (isGateway && !asJson && state->is_object()) {
        printAsText(*state, out);
    } else {
        out << state->dump(indent) << "\n";
    }
    return daemon::exitOk;
}

} // namespace medlarrack::ctl
