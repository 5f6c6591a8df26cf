#include "object_checks.hpp"

#include <medlarrack/tickets/ticket.hpp>

#include <set>

namespace medlarrack::tickets {

namespace {

using nlohmann::json;
using parser = json::parser_callback_t;

/// Parses JSON. Invalid JSON and duplicate keys are faults.
std::optional<json> parseJson(std::string_view text, detail::fault_sink &sink)
{
    std::vector<std::set<std::string>> keysByDepth;
    std::set<std::string> duplicates;
    const parser detectDuplicates = [&](int depth, json::parse_event_t event, json &parsed) {
        if (event == json::parse_event_t::object_start) {
            keysByDepth.resize(static_cast<std::size_t>(depth) + 1);
            keysByDepth.back().clear();
        } else if (event == json::parse_event_t::key) {
            const auto &key = parsed.get_ref<const std::string &>();
            if (!keysByDepth[static_cast<std::size_t>(depth) - 1].insert(key).second) {
                duplicates.insert(key);
            }
        }
        return true;
    };
    try {
        json value = json::parse(text, detectDuplicates);
        for (const auto &key : duplicates) {
            sink.add("", "duplicate key \"" + key + "\" in an object");
        }
        return value;
    } catch (const json::exception &error) {
        sink.add("", error.what());
    }
    return std::nullopt;
}

/// Parses one section of the ticket; a null member removes its object.
template<typename T, typename Parse, typename Check>
void parseSection(detail::member_reader &reader, std::string_view key, object_changes<T> &changes, Parse parse,
                  Check isValidName, std::string_view expectedForm)
{
    const auto *section = reader.find(key, false);
    if (section == nullptr) {
        return;
    }
    const auto pointer = reader.pointerTo(key);
    if (!section->is_object()) {
        reader.sink().add(pointer, "expected an object, found " + detail::describeType(*section));
        return;
    }
    for (const auto &member : section->items()) {
        const auto memberPointer = detail::appendPointer(pointer, member.key());
        if (!isValidName(member.key())) {
            reader.sink().add(memberPointer, "expected a name of the form " + std::string(expectedForm));
        }
        auto value = member.value().is_null() ? nullptr : parse(member.value(), memberPointer, reader.sink());
        changes.emplace(member.key(), std::move(value));
    }
}

void readNumber(detail::member_reader &reader, std::uint64_t &number)
{
    const auto *found = reader.find("ticket", true);
    if (found == nullptr) {
        return;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0
        || found->get<std::uint64_t>() > maxTicketNumber) {
        reader.sink().add(reader.pointerTo("ticket"),
                          "expected an integer from 1 to " + std::to_string(maxTicketNumber) + ", found "
                              + detail::describeType(*found));
        return;
    }
    number = found->get<std::uint64_t>();
}

} // namespace

std::optional<ticket> parseTicket(std::string_view text, std::vector<ticket_fault> &faults)
{
    const auto faultsBefore = faults.size();
    detail::fault_sink sink(faults);
    const auto document = parseJson(text, sink);
    if (!document) {
        return std::nullopt;
    }
    ticket result;
    detail::member_reader reader(*document, "", sink);
    reader.rejectUnknownKeys({"ticket", "operators", "adapters", "services", "groups"});
    readNumber(reader, result.number);
    constexpr std::string_view nameForm = "1 to 128 characters of A-Z a-z 0-9 . _ -";
    constexpr std::string_view adapterForm = "<operator>/<name>, each 1 to 128 characters of A-Z a-z 0-9 . _ -";
    parseSection(reader, "operators", result.operators, detail::parseOperator, detail::isName, nameForm);
    parseSection(reader, "adapters", result.adapters, detail::parseAdapter, detail::isAdapterName, adapterForm);
    parseSection(reader, "services", result.services, detail::parseService, detail::isName, nameForm);
    parseSection(reader, "groups", result.groups, detail::parseGroup, detail::isName, nameForm);
    if (faults.size() != faultsBefore) {
        return std::nullopt;
    }
    result.text = std::string(text);
    return result;
}

} // namespace medlarrack::tickets
