#include "field_name.hpp"

#include <medlarrack/http/message.hpp>

#include <algorithm>
#include <cstddef>

namespace medlarrack::http {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::optional<unsigned> hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    const char letter = lower(c);
    if (letter >= 'a' && letter <= 'f') {
        return static_cast<unsigned>(letter - 'a') + 10U;
    }
    return std::nullopt;
}

/// Bad escapes are kept as they stand.
std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const auto high = hexDigit(text[i + 1]);
            const auto low = hexDigit(text[i + 2]);
            if (high && low) {
                decoded += static_cast<char>(*high * 16U + *low);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

} // namespace

bool detail::sameFieldName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lower(a) == lower(b);
    });
}

std::optional<std::string_view> findHeader(const header_list &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (detail::sameFieldName(field, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::string_view request::path() const
{
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

std::optional<std::string> request::query(std::string_view name) const
{
    std::string_view rest = target;
    const auto mark = rest.find('?');
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    rest.remove_prefix(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const auto equals = pair.find('=');
        if (percentDecode(pair.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

} // namespace medlarrack::http
