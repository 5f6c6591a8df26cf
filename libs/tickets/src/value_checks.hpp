#pragma once

#include <medlarrack/tickets/ticket.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

/// Checks of JSON values that name every fault by its JSON pointer.
namespace medlarrack::tickets::detail {

/// Faults found so far in a ticket.
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

/// Appends one step to a JSON pointer, escaping "~" and "/".
[[nodiscard]] std::string child(const std::string &pointer, std::string_view key);
[[nodiscard]] std::string child(const std::string &pointer, std::size_t index);

/// One to 128 characters of A-Z a-z 0-9 . _ - and neither "." nor "..".
[[nodiscard]] bool isName(std::string_view text);

/// Reads the members of one JSON object; faults go to the sink and the caller's default stays. A value that is no
/// object counts as a fault and as empty.
class member_reader
{
public:
    member_reader(const nlohmann::json &value, std::string pointer, fault_sink &sink);

    /// Reports every member that isn't named here.
    void allowOnly(std::initializer_list<std::string_view> keys);

    /// The member, or null when it is missing; a missing required one is a fault.
    [[nodiscard]] const nlohmann::json *find(std::string_view key, bool required);

    void readName(std::string_view key, std::string &value);
    /// A string of 1 to maxLength bytes.
    void readText(std::string_view key, std::size_t maxLength, std::string &value);
    void readBool(std::string_view key, bool &value);
    /// Optional integer within [low, high].
    void readInteger(std::string_view key, std::uint32_t low, std::uint32_t high, std::uint32_t &value);
    /// Optional number within [low, high].
    void readNumber(std::string_view key, double low, double high, double &value);

    [[nodiscard]] std::string pointerTo(std::string_view key) const
    {
        return child(m_pointer, key);
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

/// "a string", "an object" and so on, for messages.
[[nodiscard]] std::string typeOf(const nlohmann::json &value);

} // namespace medlarrack::tickets::detail
