#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::http1 {

/// One header field as it was received.
struct header
{
    std::string name;
    std::string value;
};

/// Start line and header fields of a message.
struct message_head
{
    /// Requests only.
    std::string method;
    std::string target;
    /// Responses only.
    int status = 0;
    /// Minor version of HTTP/1.
    int minorVersion = 1;
    std::vector<header> headers;

    /// The value of the first field of a name, compared without case; empty without one.
    [[nodiscard]] std::string_view value(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
};

/// Compares ASCII texts without case.
[[nodiscard]] bool equalsIgnoreCase(std::string_view left, std::string_view right);

/// Whether a comma-separated header value lists a token, compared without case.
[[nodiscard]] bool listsToken(std::string_view value, std::string_view token);

/// Whether a field concerns only one connection (RFC 9110, 7.6.1) and isn't passed on. Fields named by Connection are
/// not looked at.
[[nodiscard]] bool isHopByHop(std::string_view name);

} // namespace medlarrack::http1
