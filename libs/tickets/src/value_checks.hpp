#pragma once

#include <medlarrack/tickets/ticket.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

/// Validation of JSON values; each fault is reported with its JSON pointer.
namespace medlarrack::tickets::detail {

/// Collects the faults of a ticket.
class fault_sink
{
public:
    explicit fault_sink(std::vector<ticket_fault> &faults)
        : m_faults(faults)
    {
    }

    void add(const std::string &pointer, std::string message)
    {
        m_faults.push_back({pointer, std::move(message)});
    }

private:
    std::vector<ticket_fault> &m_faults;
};

/// Returns the JSON pointer with one reference token appended, with "~" and "/" escaped.
[[nodiscard]] std::string appendPointer(const std::string &pointer, std::string_view key);
[[nodiscard]] std::string appendPointer(const std::string &pointer, std::size_t index);

/// Whether a text has 1 to 128 characters of A-Z a-z 0-9 . _ - and is neither "." nor "..".
[[nodiscard]] bool isName(std::string_view text);

/// Reads the members of a JSON object. On a fault, which is added to the sink, the caller's default value is kept. A
/// value that isn't an object is a fault and is treated as an empty object.
class member_reader
{
public:
    member_reader(const nlohmann::json &value, std::string pointer, fault_sink &sink);

    /// Reports every member whose key is not in the list.
    void rejectUnknownKeys(std::initializer_list<std::string_view> keys);

    /// Returns the member, or nullptr when it is missing; a missing required member is a fault.
    [[nodiscard]] const nlohmann::json *find(std::string_view key, bool required);

    void readName(std::string_view key, std::string &value);
    /// Reads a required string of 1 to maxLength bytes.
    void readText(std::string_view key, std::size_t maxLength, std::string &value);
    void readBool(std::string_view key, bool &value);
    /// Reads an optional integer within [low, high].
    void readInteger(std::string_view key, std::uint32_t low, std::uint32_t high, std::uint32_t &value);
    /// Reads an optional number within [low, high].
    void readNumber(std::string_view key, double low, double high, double &value);

    [[nodiscard]] std::string pointerTo(std::string_view key) const
    {
        return appendPointer(m_pointer, key);
    }
    [[nodiscard]] fault_sink &sink() const
    {
        return m_sink;
    }

private:
    const nlohmann::json &m_value;
    std::string m_pointer;
    fault_sink &m_sink;
};

/// Describes the type of a value for messages, such as "a string" or "an object".
[[nodiscard]] std::string describeType(const nlohmann::json &value);

} // namespace medlarrack::tickets::detail
