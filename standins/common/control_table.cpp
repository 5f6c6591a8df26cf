#include "control_table.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace medlarrack::standins {

namespace {

template<typename Value>
std::function<void(const nlohmann::json &)> setterOf(Value &value)
{
    return [&value](const nlohmann::json &given) {
        value = given.get<Value>();
    };
}

template<typename Value>
std::function<nlohmann::json()> readerOf(Value &value)
{
    return [&value] {
        return nlohmann::json(value);
    };
}

} // namespace

void control_table::add(std::string key, int &value, std::string help)
{
    m_entries.push_back(
        {std::move(key), std::move(help), &nlohmann::json::is_number_integer, setterOf(value), readerOf(value)});
}

void control_table::add(std::string key, double &value, std::string help)
{
    m_entries.push_back(
        {std::move(key), std::move(help), &nlohmann::json::is_number, setterOf(value), readerOf(value)});
}

void control_table::add(std::string key, bool &value, std::string help)
{
    m_entries.push_back(
        {std::move(key), std::move(help), &nlohmann::json::is_boolean, setterOf(value), readerOf(value)});
}

void control_table::add(std::string key, std::string &value, std::string help)
{
    m_entries.push_back(
        {std::move(key), std::move(help), &nlohmann::json::is_string, setterOf(value), readerOf(value)});
}

void control_table::onApplied(std::function<void()> callback)
{
    m_applied = std::move(callback);
}

bool control_table::apply(const nlohmann::json &object, core::reason &why)
{
    for (const auto &[key, value] : object.items()) {
        const entry *known = find(key);
        if (known == nullptr || !known->accepts(value)) {
            why = {known == nullptr ? "unknown_key" : "wrong_type", "/control: key '" + key + "'"};
            return false;
        }
    }
    for (const auto &[key, value] : object.items()) {
        find(key)->set(value);
    }
    if (m_applied) {
        m_applied();
    }
    return true;
}

nlohmann::json control_table::values() const
{
    auto object = nlohmann::json::object();
    for (const auto &known : m_entries) {
        object[known.key] = known.value();
    }
    return object;
}

std::string control_table::help() const
{
    std::string text = "\nKeys of POST /control:\n";
    for (const auto &known : m_entries) {
        text += "  " + known.key + ": " + known.help + "\n";
    }
    return text;
}

const control_table::entry *control_table::find(const std::string &key) const
{
    for (const auto &known : m_entries) {
        if (known.key == key) {
            return &known;
        }
    }
    return nullptr;
}

} // namespace medlarrack::standins
