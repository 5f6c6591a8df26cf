#pragma once

#include <medlarrack/settings/document.hpp>
#include <medlarrack/settings/object_reader.hpp>

#include <optional>
#include <string>

namespace medlarrack::settings {

/// Reads a program's settings from a document's root by a function that takes an object_reader and the settings to
/// fill. Unknown keys are faults. Nothing when there is any fault.
template<typename Settings>
[[nodiscard]] std::optional<Settings> readSettings(const nlohmann::json &root, fault_list &faults,
                                                   void (*read)(object_reader &, Settings &))
{
    const std::size_t before = faults.size();
    Settings value;
    object_reader reader(root, "", faults);
    read(reader, value);
    reader.finish();
    if (faults.size() != before) {
        return std::nullopt;
    }
    return value;
}

/// The same from a file of JSON with comments.
template<typename Settings>
[[nodiscard]] std::optional<Settings> loadSettings(const std::string &path, fault_list &faults,
                                                   void (*read)(object_reader &, Settings &))
{
    const auto parsed = document::load(path, faults);
    if (!parsed) {
        return std::nullopt;
    }
    return readSettings(parsed->root(), faults, read);
}

} // namespace medlarrack::settings
