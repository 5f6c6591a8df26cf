#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <istream>
#include <ostream>
#include <set>

namespace medlarrack::ctl {

namespace {

/// Lines of replicas and of the store this long before a request are shown: what was believed then was learnt then.
constexpr std::int64_t beforeMs = 5'000;
constexpr std::int64_t afterMs = 500;

struct log_line
{
    std::string time;
    std::int64_t atMs = 0;
    nlohmann::json fields;
};

/// Milliseconds of a time "2026-12-04T01:02:03.456Z", comparable within a month.
std::int64_t toMilliseconds(const std::string &time)
{
    int day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millisecond = 0;
    if (std::sscanf(time.c_str(), "%*d-%*d-%dT%d:%d:%d.%d", &day, &hour, &minute, &second, &millisecond) != 5) {
        return 0;
    }
    return (((day * 24LL + hour) * 60 + minute) * 60 + second) * 1'000 + millisecond;
}

std::string text(const nlohmann::json &fields, const char *key)
{
    const auto found = fields.find(key);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
}

bool isEmptyText(const nlohmann::json &value)
{
    return value.is_string() && value.get_ref<const std::string &>().empty();
}

/// Reads the JSON lines of a log; what stands before the first brace of a line, such as a host's name, is skipped.
void readLog(std::istream &in, std::vector<log_line> &lines)
{
    std::string raw;
    while (std::getline(in, raw)) {
        const std::size_t brace = raw.find('{');
        if (brace == std::string::npos) {
            continue;
        }
        nlohmann::json fields = nlohmann::json::parse(raw.substr(brace), nullptr, false);
        if (fields.is_object() && fields.contains("message")) {
            const std::string time = text(fields, "time");
            lines.push_back({time, toMilliseconds(time), std::move(fields)});
        }
    }
}

void print(const log_line &line, std::ostream &out)
{
    const std::string instance = text(line.fields, "instance");
    out << line.time << ' ' << (instance.empty() ? text(line.fields, "program") : instance) << ": "
        << text(line.fields, "message");
    for (const auto &[key, value] : line.fields.items()) {
        if (key != "time" && key != "program" && key != "instance" && key != "message" && key != "level"
            && key != "request_id" && !isEmptyText(value)) {
            out << ' ' << key << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    out << '\n';
}

/// What a request's own lines say: its replicas, its adapter, and its time.
struct request_scope
{
    /// Processes that answered it.
    std::set<std::string> instances;
    std::set<std::string> replicas;
    std::string adapter;
    std::int64_t firstMs = 0;
    std::int64_t lastMs = 0;
};

request_scope scopeOf(const std::vector<log_line> &own)
{
    request_scope scope;
    scope.firstMs = own.front().atMs;
    scope.lastMs = own.front().atMs;
    for (const log_line &line : own) {
        scope.instances.insert(text(line.fields, "instance"));
        scope.replicas.insert(text(line.fields, "replica"));
        if (const std::string adapter = text(line.fields, "adapter"); !adapter.empty()) {
            scope.adapter = adapter;
        }
        const std::int64_t took = line.fields.value("ms", std::int64_t{0});
        scope.firstMs = std::min(scope.firstMs, line.atMs - took);
        scope.lastMs = std::max(scope.lastMs, line.atMs);
    }
    scope.replicas.erase("");
    return scope;
}

bool concerns(const log_line &line, const request_scope &scope)
{
    if (line.atMs < scope.firstMs - beforeMs || line.atMs > scope.lastMs + afterMs
        || line.fields.contains("request_id")) {
        return false;
    }
    const std::string message = text(line.fields, "message");
    // What another gateway learnt says nothing of this request; agents tell of their engine and its adapters.
    const bool ofGateway = text(line.fields, "program") == "medlarrack-gateway";
    if (ofGateway && !scope.instances.contains(text(line.fields, "instance"))) {
        return false;
    }
    const std::string adapter = text(line.fields, "adapter");
    return scope.replicas.contains(text(line.fields, "replica")) || (!adapter.empty() && adapter == scope.adapter)
        || message.starts_with("store ") || message == "published state taken" || message == "log lines dropped";
}

} // namespace

int explainFromLogs(const std::string &requestId, const std::vector<std::string> &paths, std::istream &in,
                    std::ostream &out, std::ostream &err)
{
    std::vector<log_line> lines;
    for (const std::string &path : paths) {
        if (path == "-") {
            readLog(in, lines);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            err << "medlarrackctl: explain: " << path << " can't be opened\n";
            return daemon::exitFailure;
        }
        readLog(file, lines);
    }
    std::vector<log_line> own;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(own), [&](const log_line &line) {
        return text(line.fields, "request_id") == requestId;
    });
    if (own.empty()) {
        err << "medlarrackctl: explain: no line of the " << lines.size() << " read names request " << requestId << '\n';
        return daemon::exitFailure;
    }
    const request_scope scope = scopeOf(own);
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(own), [&](const log_line &line) {
        return concerns(line, scope);
    });
    std::stable_sort(own.begin(), own.end(), [](const log_line &left, const log_line &right) {
        return left.time < right.time;
    });
    for (const log_line &line : own) {
        out << (line.fields.contains("request_id") ? "* " : "  ");
        print(line, out);
    }
    return daemon::exitOk;
}

} // namespace medlarrack::ctl
