#include <medlarrack/settings/object_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::settings {

namespace {

std::string escaped(std::string_view key)
{
    std::string text;
    for (char character : key) {
        if (character == '~') {
            text += "~0";
        } else if (character == '/') {
            text += "~1";
        } else {
            text += character;
        }
    }
    return text;
}

std::string numberText(double value)
{
    return nlohmann::json(value).dump();
}

std::chrono::milliseconds unitOf(std::string_view key)
{
    return key.ends_with("_ms") ? std::chrono::milliseconds(1) : std::chrono::milliseconds(1'000);
}

} // namespace

object_reader::object_reader(const nlohmann::json &object, std::string pointer, fault_list &faults)
    : m_object(object)
    , m_pointer(std::move(pointer))
    , m_faults(faults)
{
    if (!m_object.is_object()) {
        m_faults.push_back({m_pointer, "expected an object, found " + std::string(m_object.type_name())});
    }
}

const nlohmann::json *object_reader::find(std::string_view key)
{
    m_known.emplace(key);
    if (!m_object.is_object()) {
        return nullptr;
    }
    const auto found = m_object.find(std::string(key));
    return found == m_object.end() ? nullptr : &*found;
}

void object_reader::wrongType(std::string_view key, const nlohmann::json &found, std::string_view expected)
{
    addFault(key, "expected " + std::string(expected) + ", found " + found.type_name());
}

void object_reader::text(std::string_view key, std::string &value)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        wrongType(key, *found, "a text");
        return;
    }
    value = found->get<std::string>();
}

void object_reader::flag(std::string_view key, bool &value)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    if (!found->is_boolean()) {
        wrongType(key, *found, "true or false");
        return;
    }
    value = found->get<bool>();
}

void object_reader::integer(std::string_view key, std::int64_t &value, std::int64_t lowest, std::int64_t highest)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    const std::string range = "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    if (!found->is_number_integer()) {
        wrongType(key, *found, range);
        return;
    }
    const bool tooLarge = found->is_number_unsigned()
        && found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::max<std::int64_t>(highest, 0));
    if (tooLarge || found->get<std::int64_t>() < lowest || found->get<std::int64_t>() > highest) {
        addFault(key, "expected " + range + ", found " + found->dump());
        return;
    }
    value = found->get<std::int64_t>();
}

void object_reader::number(std::string_view key, double &value, double lowest, double highest)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    const std::string range = "a number from " + numberText(lowest) + " to " + numberText(highest);
    if (!found->is_number()) {
        wrongType(key, *found, range);
        return;
    }
    const auto given = found->get<double>();
    if (!(given >= lowest && given <= highest)) {
        addFault(key, "expected " + range + ", found " + found->dump());
        return;
    }
    value = given;
}

void object_reader::duration(std::string_view key, std::chrono::milliseconds &value, std::chrono::milliseconds lowest,
                             std::chrono::milliseconds highest)
{
    const auto unit = unitOf(key);
    std::int64_t count = value / unit;
    const std::int64_t before = count;
    integer(key, count, lowest / unit, highest / unit);
    if (count != before) {
        value = count * unit;
    }
}

void object_reader::rootUrl(std::string_view key, std::string &value)
{
    constexpr std::string_view scheme = "http://";
    text(key, value);
    require(key);
    if (!has(key) || value.empty()) {
        return;
    }
    const bool rooted = value.starts_with(scheme) && value.size() > scheme.size();
    if (!rooted || value.find('/', scheme.size()) != std::string::npos) {
        addFault(key, "expected a URL of the form \"http://ADDRESS:PORT\" without a path");
    }
}

void object_reader::word(std::string_view key, std::string &value, const std::set<std::string> &allowed)
{
    std::string given = value;
    text(key, given);
    if (given == value) {
        return;
    }
    if (allowed.contains(given)) {
        value = given;
        return;
    }
    std::string expected;
    for (const std::string &one : allowed) {
        expected += (expected.empty() ? "\"" : ", \"") + one + "\"";
    }
    addFault(key, "expected one of " + expected + ", found \"" + given + "\"");
}

void object_reader::object(std::string_view key, const std::function<void(object_reader &)> &read)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    object_reader nested(*found, m_pointer + "/" + escaped(key), m_faults);
    read(nested);
    nested.finish();
}

void object_reader::objects(std::string_view key, const std::function<void(object_reader &)> &read)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        wrongType(key, *found, "an array of objects");
        return;
    }
    std::size_t index = 0;
    for (const auto &element : *found) {
        object_reader nested(element, m_pointer + "/" + escaped(key) + "/" + std::to_string(index++), m_faults);
        read(nested);
        nested.finish();
    }
}

void object_reader::texts(std::string_view key, std::vector<std::string> &value)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        wrongType(key, *found, "an array of texts");
        return;
    }
    std::vector<std::string> given;
    for (const auto &element : *found) {
        if (!element.is_string()) {
            wrongType(key, element, "only texts in the array");
            return;
        }
        given.push_back(element.get<std::string>());
    }
    value = std::move(given);
}

void object_reader::objectMap(std::string_view key,
                              const std::function<void(const std::string &name, object_reader *value)> &read)
{
    const auto *found = find(key);
    if (found == nullptr) {
        return;
    }
    if (!found->is_object()) {
        wrongType(key, *found, "an object");
        return;
    }
    for (const auto &[name, element] : found->items()) {
        if (element.is_null()) {
            read(name, nullptr);
            continue;
        }
        object_reader nested(element, m_pointer + "/" + escaped(key) + "/" + escaped(name), m_faults);
        read(name, &nested);
        nested.finish();
    }
}

void object_reader::require(std::string_view key)
{
    if (m_object.is_object() && find(key) == nullptr) {
        addFault(key, "is missing");
    }
}

bool object_reader::has(std::string_view key) const
{
    return m_object.is_object() && m_object.contains(std::string(key));
}

void object_reader::addFault(std::string_view key, std::string message)
{
    m_faults.push_back({m_pointer + "/" + escaped(key), std::move(message)});
}

const std::string &object_reader::pointer() const
{
    return m_pointer;
}

void object_reader::finish()
{
    if (!m_object.is_object()) {
        return;
    }
    for (const auto &[key, value] : m_object.items()) {
        if (!m_known.contains(key)) {
            addFault(key, "unknown key");
        }
    }
}

} // namespace medlarrack::settings
