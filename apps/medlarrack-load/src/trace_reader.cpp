#include "trace_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace medlarrack::load {

namespace {

using nlohmann::json;

const std::set<std::string> knownFields = {"at_ms",  "id",         "resend_of", "operator",    "class",   "model",
                                           "prompt", "max_tokens", "stream",    "chat",        "service", "method",
                                           "path",   "body",       "key",       "deadline_ms", "entry",   "expect"};

/// Reads the fields of one line and keeps the first fault.
class line_reader
{
public:
    explicit line_reader(const json &line)
        : m_line(line)
    {
    }

    void text(const char *name, std::string &value)
    {
        if (const json *found = find(name); found != nullptr) {
            if (found->is_string()) {
                value = found->get<std::string>();
            } else {
                fault(name, "a text");
            }
        }
    }

    void flag(const char *name, bool &value)
    {
        if (const json *found = find(name); found != nullptr) {
            if (found->is_boolean()) {
                value = found->get<bool>();
            } else {
                fault(name, "true or false");
            }
        }
    }

    void number(const char *name, std::uint64_t &value)
    {
        constexpr std::uint64_t most = 1'000'000'000;
        if (const json *found = find(name); found != nullptr) {
            if (found->is_number_unsigned() && found->get<std::uint64_t>() <= most) {
                value = found->get<std::uint64_t>();
            } else {
                fault(name, "a whole number from 0 to 1000000000");
            }
        }
    }

    void outcomes(const char *name, std::vector<core::outcome> &values)
    {
        const json *found = find(name);
        if (found == nullptr) {
            return;
        }
        values.clear();
        if (!found->is_array()) {
            fault(name, "a list");
            return;
        }
        for (const json &entry : *found) {
            const auto outcome = core::outcomeFromString(entry.is_string() ? entry.get<std::string>() : "");
            if (!outcome) {
                fault(name, "a list of \"ran\", \"not_run\" and \"unknown\"");
                return;
            }
            values.push_back(*outcome);
        }
    }

    void fault(const std::string &name, const std::string &expected)
    {
        if (m_fault.empty()) {
            m_fault = "field '" + name + "': expected " + expected;
        }
    }

    [[nodiscard]] const std::string &faultFound() const
    {
        return m_fault;
    }

private:
    [[nodiscard]] const json *find(const char *name) const
    {
        const auto found = m_line.find(name);
        return found == m_line.end() ? nullptr : &*found;
    }

    const json &m_line;
    std::string m_fault;
};

void readClass(line_reader &reader, core::request_class &value)
{
    std::string name(core::toString(value));
    reader.text("class", name);
    if (const auto parsed = core::requestClassFromString(name)) {
        value = *parsed;
    } else {
        reader.fault("class", "\"control\", \"interactive\" or \"bulk\"");
    }
}

void readCompletion(line_reader &reader, planned_request &request)
{
    bool chat = request.kind == request_kind::chat;
    reader.flag("chat", chat);
    request.kind = chat ? request_kind::chat : request_kind::completion;
    std::uint64_t tokens = request.maxTokens;
    reader.number("max_tokens", tokens);
    request.maxTokens = tokens;
    reader.text("prompt", request.prompt);
    reader.flag("stream", request.stream);
}

void readCall(line_reader &reader, planned_request &request)
{
    request.kind = request_kind::service_call;
    reader.text("method", request.method);
    reader.text("path", request.path);
    reader.text("body", request.body);
    if (!request.path.starts_with('/')) {
        reader.fault("path", "a text that begins with /");
    }
}

void readFields(line_reader &reader, planned_request &request)
{
    std::uint64_t at = 0;
    std::uint64_t deadline = static_cast<std::uint64_t>(request.deadline.count());
    reader.number("at_ms", at);
    reader.number("deadline_ms", deadline);
    reader.number("entry", request.entry);
    request.at = std::chrono::milliseconds(at);
    request.deadline = std::chrono::milliseconds(deadline);
    reader.text("operator", request.operatorName);
    reader.text("key", request.keyLabel);
    reader.outcomes("expect", request.expected);
    readClass(reader, request.priority);
    reader.text("model", request.model);
    reader.text("service", request.service);
    if (request.model.empty() == request.service.empty()) {
        reader.fault("model", "either a model or a service");
    } else if (request.service.empty()) {
        readCompletion(reader, request);
    } else {
        readCall(reader, request);
    }
}

planned_request defaultsOf(const load_options &options, std::uint64_t lineNumber)
{
    planned_request request;
    request.operatorName = options.operatorName;
    request.deadline = options.deadline;
    request.maxTokens = options.shortTokens;
    request.prompt = "trace line " + std::to_string(lineNumber);
    request.method = "POST";
    request.entry = lineNumber;
    return request;
}

} // namespace

trace_source::trace_source(std::vector<planned_request> requests)
    : m_requests(std::move(requests))
{
}

std::optional<planned_request> trace_source::next()
{
    if (m_next == m_requests.size()) {
        return std::nullopt;
    }
    return m_requests[m_next++];
}

std::optional<std::vector<planned_request>> readTrace(std::istream &input, const load_options &options,
                                                      core::reason &why)
{
    std::vector<planned_request> requests;
    std::map<std::string, planned_request> byId;
    std::string text;
    for (std::uint64_t lineNumber = 1; std::getline(input, text); ++lineNumber) {
        if (text.find_first_not_of(" \t\r") == std::string::npos || text.starts_with('#')) {
            continue;
        }
        const json line = json::parse(text, nullptr, false);
        if (!line.is_object()) {
            why = {"bad_trace", "line " + std::to_string(lineNumber) + ": expected a JSON object"};
            return std::nullopt;
        }
        line_reader reader(line);
        for (const auto &[name, value] : line.items()) {
            if (!knownFields.contains(name)) {
                reader.fault(name, "no such field");
            }
        }
        std::string id;
        std::string resendOf;
        reader.text("id", id);
        reader.text("resend_of", resendOf);
        planned_request request = defaultsOf(options, lineNumber);
        if (const auto first = byId.find(resendOf); first != byId.end()) {
            request = first->second;
            ++request.entry;
        } else if (!resendOf.empty()) {
            reader.fault("resend_of", "the id of an earlier line");
        }
        readFields(reader, request);
        if (!reader.faultFound().empty()) {
            why = {"bad_trace", "line " + std::to_string(lineNumber) + ", " + reader.faultFound()};
            return std::nullopt;
        }
        if (!id.empty()) {
            byId[id] = request;
        }
        requests.push_back(std::move(request));
    }
    std::stable_sort(requests.begin(), requests.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    });
    return requests;
}

} // namespace medlarrack::load
