#include "page_text.hpp"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>

namespace medlarrack::ctl {

namespace {

using nlohmann::json;

std::string asText(const json &value)
{
    if (!value.is_object()) {
        return value.is_string() ? value.get<std::string>() : value.dump();
    }
    std::string text;
    for (const auto &[name, part] : value.items()) {
        const std::string shown = asText(part);
        text += (text.empty() ? "" : ", ") + name + " " + (part.is_object() ? "(" + shown + ")" : shown);
    }
    return text;
}

} // namespace

void printAsText(const json &page, std::ostream &out)
{
    for (const auto &[name, value] : page.items()) {
        if (!value.is_array()) {
            out << name << ": " << asText(value) << "\n";
            continue;
        }
        out << name << ": " << value.size() << "\n";
        for (const json &one : value) {
            out << "  " << asText(one) << "\n";
        }
    }
}

} // namespace medlarrack::ctl
