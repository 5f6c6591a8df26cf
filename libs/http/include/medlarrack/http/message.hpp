#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarrack::http {

/// Header fields in order of arrival; names are compared without regard to case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Value of the first field with that name.
[[nodiscard]] std::optional<std::string_view> findHeader(const header_list &headers, std::string_view name);

/// A request as received by the server, with its body complete.
struct request
{
    std::string method;
    /// Path and query as sent, for example "/v1/models?limit=3".
    std::string target;
    header_list headers;
    std::string body;

    /// The target up to the first '?'.
    [[nodiscard]] std::string_view path() const;
    /// Percent-decoded value of a query parameter.
    [[nodiscard]] std::optional<std::string> query(std::string_view name) const;
};

} // namespace medlarrack::http
