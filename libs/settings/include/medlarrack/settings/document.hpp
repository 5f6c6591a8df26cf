#pragma once

#include <medlarrack/settings/fault.hpp>

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::settings {

/// A parsed JSON document with comments.
class document
{
public:
    /// Parses a text; on failure a fault with line and column is added. Duplicate keys are faults.
    [[nodiscard]] static std::optional<document> parse(std::string_view text, fault_list &faults);
    /// Reads and parses a file.
    [[nodiscard]] static std::optional<document> load(const std::string &path, fault_list &faults);

    document(document &&) noexcept;
    document &operator=(document &&) noexcept;
    ~document();

    [[nodiscard]] const nlohmann::json &root() const;

private:
    explicit document(std::unique_ptr<nlohmann::json> root);

    std::unique_ptr<nlohmann::json> m_root;
};

} // namespace medlarrack::settings
