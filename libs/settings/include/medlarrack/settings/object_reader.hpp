#pragma once

#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::settings {

/// Reads the members of one JSON object with checks. All faults are collected, none stops the reading; on a fault the
/// value given is left as it was, so defaults are set before. finish() reports the keys that nobody asked for.
class object_reader
{
public:
    /// The object must outlive the reader. A value that isn't an object is a fault.
    object_reader(const nlohmann::json &object, std::string pointer, fault_list &faults);
    object_reader(const object_reader &) = delete;
    object_reader &operator=(const object_reader &) = delete;

    /// Optional members: the value stays as it is when the key is absent.
    void text(std::string_view key, std::string &value);
    void flag(std::string_view key, bool &value);
    void integer(std::string_view key, std::int64_t &value, std::int64_t lowest, std::int64_t highest);
    /// The same for another integer type, which must hold the whole range.
    template<std::integral Integer>
    void integer(std::string_view key, Integer &value, std::int64_t lowest, std::int64_t highest)
    {
        auto whole = static_cast<std::int64_t>(value);
        integer(key, whole, lowest, highest);
        value = static_cast<Integer>(whole);
    }
    void number(std::string_view key, double &value, double lowest, double highest);
    /// A duration written as a number in the unit of the key's suffix "_ms" or "_s".
    void duration(std::string_view key, std::chrono::milliseconds &value, std::chrono::milliseconds lowest,
                  std::chrono::milliseconds highest);
    /// The root of an HTTP server, "http://ADDRESS:PORT" without a path. Its absence is a fault.
    void rootUrl(std::string_view key, std::string &value);
    /// One of the given words.
    void word(std::string_view key, std::string &value, const std::set<std::string> &allowed);
    /// A nested object, read by the callback; absent is no fault.
    void object(std::string_view key, const std::function<void(object_reader &)> &read);
    /// An array of objects.
    void objects(std::string_view key, const std::function<void(object_reader &)> &read);
    /// An array of texts.
    void texts(std::string_view key, std::vector<std::string> &value);
    /// An object of objects with free names: the callback gets each name and a reader; null values give no reader.
    void objectMap(std::string_view key,
                   const std::function<void(const std::string &name, object_reader *value)> &read);

    /// Makes the absence of a key a fault.
    void require(std::string_view key);
    [[nodiscard]] bool has(std::string_view key) const;
    /// Adds a fault at a key of this object (a contradiction, say).
    void addFault(std::string_view key, std::string message);
    /// The pointer of this object.
    [[nodiscard]] const std::string &pointer() const;
    /// Adds a fault for each key not asked for.
    void finish();

private:
    [[nodiscard]] const nlohmann::json *find(std::string_view key);
    void wrongType(std::string_view key, const nlohmann::json &found, std::string_view expected);

    const nlohmann::json &m_object;
    std::string m_pointer;
    fault_list &m_faults;
    std::set<std::string, std::less<>> m_known;
};

} // namespace medlarrack::settings
