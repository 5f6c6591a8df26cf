#include "commands.hpp"
#include "page_reader.hpp"
#include "page_text.hpp"

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/http1/message_parser.hpp>
#include <medlarrack/platform/caller_codec.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <fstream>
#include <istream>
#include <iterator>
#include <optional>
#include <ostream>

namespace medlarrack::ctl {

namespace {

constexpr int statusOk = 200;
constexpr int indent = 2;
constexpr std::size_t maxHeadBytes = 65'536;

/// The head of the request that the command line describes; nothing, with the reason, if it can't be read.
std::optional<http1::message_head> readRequest(const arguments &wanted, std::istream &in, std::string &why)
{
    std::string text;
    if (wanted.request.empty()) {
        text = "POST " + wanted.operands.at(1) + " HTTP/1.1\r\n";
    } else if (wanted.request == "-") {
        text.assign(std::istreambuf_iterator<char>(in), {});
    } else {
        std::ifstream file(wanted.request);
        if (!file) {
            why = wanted.request + ": can't be read";
            return std::nullopt;
        }
        text.assign(std::istreambuf_iterator<char>(file), {});
    }
    if (wanted.request.empty()) {
        text += "\r\n";
    } else if (text.find("\n\n") == std::string::npos && text.find("\n\r\n") == std::string::npos) {
        text += text.ends_with('\n') ? "\n" : "\n\n";
    }
    http1::message_parser parser(http1::message_kind::request, maxHeadBytes);
    parser.feed(text);
    if (parser.state() != http1::parse_state::body && parser.state() != http1::parse_state::complete) {
        why = "the request is not the head of an HTTP request: " + std::string(parser.fault());
        return std::nullopt;
    }
    http1::message_head head = parser.head();
    for (const std::string &field : wanted.headers) {
        const std::size_t colon = field.find(':');
        if (colon == std::string::npos) {
            why = "a header needs the form NAME: VALUE";
            return std::nullopt;
        }
        const std::size_t begin = std::min(field.find_first_not_of(" \t", colon + 1), field.size());
        head.headers.push_back({field.substr(0, colon), field.substr(begin)});
    }
    return head;
}

std::string percentEncoded(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (std::isalnum(code) != 0 || std::string_view("-._~/").find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        std::array<char, 4> escape{};
        std::snprintf(escape.data(), escape.size(), "%%%02X", static_cast<unsigned>(code));
        encoded += escape.data();
    }
    return encoded;
}

std::string pageTarget(const http1::message_head &head, const std::string &tenant)
{
    std::string target = "/route?target=" + percentEncoded(head.target);
    for (const http1::header &field : head.headers) {
        target += "&header=" + percentEncoded(field.name + ": " + field.value);
    }
    return tenant.empty() ? target : target + "&tenant=" + percentEncoded(tenant);
}

} // namespace

int showRoute(const arguments &wanted, std::istream &in, std::ostream &out, std::ostream &err)
{
    std::string fault;
    const auto head = readRequest(wanted, in, fault);
    if (!head) {
        err << "medlarrackctl: route: " << fault << "\n";
        return daemon::exitUsage;
    }
    if (platform::caller_codec().readRequest(*head).keyDigest) {
        err << "medlarrackctl: route: the request has a key, which is not sent; name the tenant by --tenant\n";
        return daemon::exitUsage;
    }
    const std::string &url = wanted.operands.front();
    core::reason why;
    const auto page = readPage(url, pageTarget(*head, wanted.tenant), why);
    if (!page) {
        err << url << ": " << why.code << ": " << why.message << "\n";
        return daemon::exitFailure;
    }
    const auto explanation = pageJson(*page);
    if (page->status != statusOk || !explanation || !explanation->is_object()) {
        err << url << ": status " << page->status << ": " << page->body << "\n";
        return daemon::exitFailure;
    }
    if (wanted.json) {
        out << explanation->dump(indent) << "\n";
    } else {
        printAsText(*explanation, out);
    }
    return daemon::exitOk;
}

} // namespace medlarrack::ctl
