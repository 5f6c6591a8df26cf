#include "value_checks.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarrack::tickets::detail {

namespace {

constexpr std::size_t maxNameLength = 128;

const nlohmann::json &emptyObject()
{
    static const nlohmann::json value = nlohmann::json::object();
    return value;
}

std::string numberText(double value)
{
    return nlohmann::json(value).dump();
}

std::string rangeText(double low, double high)
{
    return "from " + numberText(low) + " to " + numberText(high);
}

} // namespace

std::string appendPointer(const std::string &pointer, std::string_view key)
{
    std::string result = pointer + "/";
    for (const char character : key) {
        if (character == '~') {
            result += "~0";
        } else if (character == '/') {
            result += "~1";
        } else {
            result += character;
        }
    }
    return result;
}

std::string appendPointer(const std::string &pointer, std::size_t index)
{
    return pointer + "/" + std::to_string(index);
}

bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameLength || text == "." || text == "..") {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char character) {
        const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const bool digit = character >= '0' && character <= '9';
        return letter || digit || character == '.' || character == '_' || character == '-';
    });
}

std::string describeType(const nlohmann::json &value)
{
    switch (value.type()) {
    case nlohmann::json::value_t::null:
        return "null";
    case nlohmann::json::value_t::object:
        return "an object";
    case nlohmann::json::value_t::array:
        return "an array";
    case nlohmann::json::value_t::string:
        return "a string";
    case nlohmann::json::value_t::boolean:
        return "a boolean";
    default:
        return "the number " + value.dump();
    }
}

member_reader::member_reader(const nlohmann::json &value, std::string pointer, fault_sink &sink)
    : m_value(value.is_object() ? value : emptyObject())
    , m_pointer(std::move(pointer))
    , m_sink(sink)
{
    if (!value.is_object()) {
        sink.add(m_pointer, "expected an object, found " + describeType(value));
    }
}

void member_reader::rejectUnknownKeys(std::initializer_list<std::string_view> keys)
{
    std::string expected;
    for (const std::string_view key : keys) {
        expected += (expected.empty() ? "" : ", ") + std::string(key);
    }
    for (const auto &member : m_value.items()) {
        if (std::find(keys.begin(), keys.end(), member.key()) == keys.end()) {
            m_sink.add(pointerTo(member.key()), "unknown key; expected one of " + expected);
        }
    }
}

const nlohmann::json *member_reader::find(std::string_view key, bool required)
{
    const auto found = m_value.find(key);
    if (found != m_value.end()) {
        return &*found;
    }
    if (required) {
        m_sink.add(m_pointer, "key \"" + std::string(key) + "\" is missing");
    }
    return nullptr;
}

void member_reader::readName(std::string_view key, std::string &value)
{
    const auto *found = find(key, true);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string() || !isName(found->get_ref<const std::string &>())) {
        m_sink.add(pointerTo(key), "expected a name of 1 to 128 characters of A-Z a-z 0-9 . _ -");
        return;
    }
    value = found->get<std::string>();
}

void member_reader::readText(std::string_view key, std::size_t maxLength, std::string &value)
{
    const auto *found = find(key, true);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        m_sink.add(pointerTo(key), "expected a string, found " + describeType(*found));
        return;
    }
    const auto &text = found->get_ref<const std::string &>();
    if (text.empty() || text.size() > maxLength) {
        m_sink.add(pointerTo(key),
                   "expected 1 to " + std::to_string(maxLength) + " bytes, found " + std::to_string(text.size()));
        return;
    }
    value = text;
}

void member_reader::readBool(std::string_view key, bool &value)
{
    const auto *found = find(key, true);
    if (found == nullptr) {
        return;
    }
    if (!found->is_boolean()) {
        m_sink.add(pointerTo(key), "expected true or false, found " + describeType(*found));
        return;
    }
    value = found->get<bool>();
}

void member_reader::readInteger(std::string_view key, std::uint32_t low, std::uint32_t high, std::uint32_t &value)
{
    const auto *found = find(key, false);
    if (found == nullptr) {
        return;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < low || found->get<std::uint64_t>() > high) {
        m_sink.add(pointerTo(key),
                   "expected an integer from " + std::to_string(low) + " to " + std::to_string(high) + ", found "
                       + describeType(*found));
        return;
    }
    value = found->get<std::uint32_t>();
}

void member_reader::readNumber(std::string_view key, double low, double high, double &value)
{
    const auto *found = find(key, false);
    if (found == nullptr) {
        return;
    }
    if (!found->is_number() || !std::isfinite(found->get<double>()) || found->get<double>() < low
        || found->get<double>() > high) {
        m_sink.add(pointerTo(key), "expected a number " + rangeText(low, high) + ", found " + describeType(*found));
        return;
    }
    value = found->get<double>();
}

} // namespace medlarrack::tickets::detail
