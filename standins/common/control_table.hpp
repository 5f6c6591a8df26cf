#pragma once

#include <medlarrack/core/reason.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace medlarrack::standins {

/// The faults that POST /control sets. All values stay until set again; counts run down as they are used up.
class control_table
{
public:
    void add(std::string key, int &value, std::string help);
    void add(std::string key, double &value, std::string help);
    void add(std::string key, bool &value, std::string help);
    void add(std::string key, std::string &value, std::string help);

    /// Called after each change.
    void onApplied(std::function<void()> callback);
    /// Sets all keys of the object, or none when one is unknown or of the wrong type.
    [[nodiscard]] bool apply(const nlohmann::json &object, core::reason &why);
    /// The values now in force.
    [[nodiscard]] nlohmann::json values() const;
    /// One line for each key.
    [[nodiscard]] std::string help() const;

private:
    struct entry
    {
        std::string key;
        std::string help;
        std::function<bool(const nlohmann::json &)> accepts;
        std::function<void(const nlohmann::json &)> set;
        std::function<nlohmann::json()> value;
    };

    [[nodiscard]] const entry *find(const std::string &key) const;

    std::vector<entry> m_entries;
    std::function<void()> m_applied;
};

} // namespace medlarrack::standins
