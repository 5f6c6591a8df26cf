#include "service_answers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::config_sync::detail {

namespace {

using nlohmann::json;

constexpr std::size_t maxReplyBytes = 1U << 20U;
constexpr std::uint64_t maxPort = 65535;

std::optional<json> parseObject(std::string_view body, core::reason &why)
{
    auto value = json::parse(body, nullptr, false);
    if (!value.is_object()) {
        why = {"bad_answer", "the service's answer is no JSON object"};
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> unsignedMember(const json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<std::string> textMember(const json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

/// Parses and applies one ticket. Returns its number, or nullopt when the ticket is malformed.
std::optional<std::uint64_t> applyText(tickets::state &state, const std::string &text, changes_outcome &outcome)
{
    std::vector<tickets::ticket_fault> faults;
    const auto parsed = tickets::parseTicket(text, faults);
    if (!parsed) {
        outcome.malformed.push_back({text, std::move(faults)});
        return std::nullopt;
    }
    if (state.apply(*parsed)) {
        ++outcome.applied;
    }
    return parsed->number;
}

/// Applies one ticket of the service. Returns its number. A malformed ticket is marked as seen; without a valid number
/// greater than the last one it counts as the next.
std::uint64_t applyPublished(tickets::state &state, const json &published, std::uint64_t last, changes_outcome &outcome)
{
    const auto applied = applyText(state, published.dump(-1, ' ', false, json::error_handler_t::replace), outcome);
    if (applied) {
        return *applied;
    }
    const auto declared = published.is_object() ? unsignedMember(published, "ticket") : std::nullopt;
    const auto number = declared && *declared > last ? *declared : last + 1;
    state.markSeen(number - 1, number);
    return number;
}

std::optional<instances::instance> parseInstance(const json &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    const auto id = textMember(value, "id");
    const auto kind = instances::instanceKindFromString(textMember(value, "kind").value_or(""));
    const auto target = instances::targetKindFromString(textMember(value, "target").value_or(""));
    const auto address = textMember(value, "address");
    const auto port = unsignedMember(value, "port").value_or(0);
    const auto state = textMember(value, "state").value_or("live");
    const bool known = state == "live" || state == "leaving";
    if (!id || id->empty() || !kind || !target || !address || port == 0 || port > maxPort || !known) {
        return std::nullopt;
    }
    instances::instance result;
    result.id = *id;
    result.kind = *kind;
    result.target = *target;
    result.group = textMember(value, "group").value_or("");
    result.dataCentre = textMember(value, "data_centre").value_or("");
    result.address = *address;
    result.port = static_cast<std::uint16_t>(port);
    result.leaving = state == "leaving";
    return result;
}

} // namespace

std::optional<changes_outcome> applyChanges(tickets::state &state, std::uint64_t after, std::string_view body,
                                            core::reason &why)
{
    const auto answer = parseObject(body, why);
    if (!answer) {
        return std::nullopt;
    }
    const auto published = answer->find("tickets");
    const auto newest = unsignedMember(*answer, "newest");
    if (!newest || published == answer->end() || !published->is_array()) {
        why = {"bad_answer", "the service's answer has no number \"newest\" or no array \"tickets\""};
        return std::nullopt;
    }
    changes_outcome outcome;
    auto last = after;
    for (const auto &ticket : *published) {
        last = applyPublished(state, ticket, last, outcome);
    }
    outcome.more = !published->empty() && answer->value("more", json(false)) == json(true);
    return outcome;
}

changes_outcome applyReply(tickets::state &state, std::uint64_t after, const peer::tickets_reply &reply)
{
    changes_outcome outcome;
    auto last = after;
    for (const auto &text : reply.tickets) {
        last = std::max(last, applyText(state, text, outcome).value_or(last));
    }
    outcome.more = !reply.complete;
    const auto through = reply.complete ? reply.newestTicket : std::min(last, reply.newestTicket);
    if (through > after) {
        state.markSeen(after, through);
    }
    return outcome;
}

peer::tickets_reply makeReply(const tickets::state &state, bool ready, const peer::tickets_request &request)
{
    peer::tickets_reply reply;
    reply.complete = false;
    if (!ready) {
        return reply;
    }
    auto page = state.textsAfter(request.after, maxReplyBytes);
    reply.newestTicket = page.contiguous;
    reply.tickets = std::move(page.texts);
    reply.complete = page.complete;
    return reply;
}

std::optional<instances::instance_list> parseInstances(std::string_view body, std::size_t &skippedCount,
                                                       core::reason &why)
{
    const auto answer = parseObject(body, why);
    if (!answer) {
        return std::nullopt;
    }
    const auto listed = answer->find("instances");
    const auto asOf = answer->find("as_of_ms");
    if (listed == answer->end() || !listed->is_array() || asOf == answer->end() || !asOf->is_number_integer()) {
        why = {"bad_answer", "the service's answer has no integer \"as_of_ms\" or no array \"instances\""};
        return std::nullopt;
    }
    instances::instance_list list;
    list.asOf = core::wall_time(std::chrono::milliseconds(asOf->get<std::int64_t>()));
    list.instances.reserve(listed->size());
    for (const auto &value : *listed) {
        if (auto parsed = parseInstance(value)) {
            list.instances.push_back(std::move(*parsed));
        } else {
            ++skippedCount;
        }
    }
    return list;
}

} // namespace medlarrack::config_sync::detail
