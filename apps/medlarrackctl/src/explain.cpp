#include "explain.hpp"

#include "commands.hpp"
#include "page_reader.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <ostream>

namespace medlarrack::ctl {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr std::int64_t msPerSecond = 1'000;

std::string textMember(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t numberMember(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

request_event eventFrom(const json &value, const std::string &source)
{
    request_event event;
    event.atMs = numberMember(value, "at_ms");
    event.source = source;
    event.what = textMember(value, "what");
    event.why = textMember(value, "why");
    const auto known = value.find("known");
    if (known != value.end() && known->is_object() && !known->empty()) {
        event.known = known->dump();
    }
    return event;
}

/// UTC time of day with milliseconds.
std::string timeText(std::int64_t atMs)
{
    const std::time_t seconds = atMs / msPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[64];
    std::snprintf(text, sizeof text, "%04d-%02d-%02d %02d:%02d:%02d.%03d", parts.tm_year + 1900, parts.tm_mon + 1,
                  parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, static_cast<int>(atMs % msPerSecond));
    return text;
}

/// Percent-encodes what may not stand in a path.
std::string encoded(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            result += character;
            continue;
        }
        char code[4];
        std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned>(byte));
        result += code;
    }
    return result;
}

/// Reads one daemon's page into the story; false when the daemon gave none of use.
bool askDaemon(const std::string &url, const std::string &requestId, request_story &story, std::ostream &err)
{
    core::reason why;
    const auto page = readPage(url, "/debug/requests/" + encoded(requestId), why);
    if (!page) {
        err << url << ": " << why.code << ": " << why.message << "\n";
        return false;
    }
    if (page->status == statusNotFound) {
        err << url << ": doesn't know the request\n";
        return true;
    }
    const auto content = pageJson(*page);
    if (page->status != statusOk || !content || !addPage(story, url, *content)) {
        err << url << ": status " << page->status << ", " << page->body.size() << " bytes that are no request's page\n";
        return false;
    }
    return true;
}

} // namespace

bool addPage(request_story &story, const std::string &source, const json &page)
{
    const auto events = page.is_object() ? page.find("events") : page.end();
    if (!page.is_object() || events == page.end() || !events->is_array()) {
        return false;
    }
    for (const auto &value : *events) {
        if (value.is_object()) {
            story.events.push_back(eventFrom(value, source));
        }
    }
    story.dropped += static_cast<std::uint64_t>(std::max<std::int64_t>(numberMember(page, "dropped_events"), 0));
    ++story.daemons;
    return true;
}

void printStory(request_story story, const std::string &requestId, std::ostream &out)
{
    std::stable_sort(story.events.begin(), story.events.end(),
                     [](const request_event &left, const request_event &right) {
                         return left.atMs < right.atMs;
                     });
    out << "request " << requestId << ": " << story.events.size() << " events from " << story.daemons << " daemons";
    if (story.dropped > 0) {
        out << ", " << story.dropped << " dropped";
    }
    out << "\n";
    for (const auto &event : story.events) {
        out << timeText(event.atMs) << "  +" << event.atMs - story.events.front().atMs << " ms  " << event.source
            << "  " << event.what;
        out << (event.why.empty() ? "" : ": ") << event.why << (event.known.empty() ? "" : "  ") << event.known << "\n";
    }
}

int explain(const std::string &requestId, const std::vector<std::string> &urls, std::ostream &out, std::ostream &err)
{
    request_story story;
    bool allAnswered = true;
    for (const auto &url : urls) {
        allAnswered &= askDaemon(url, requestId, story, err);
    }
    if (story.daemons == 0) {
        err << "no daemon knows request " << requestId << "\n";
        return daemon::exitFailure;
    }
    printStory(std::move(story), requestId, out);
    return allAnswered ? daemon::exitOk : daemon::exitFailure;
}

} // namespace medlarrack::ctl
