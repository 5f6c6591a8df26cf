#include "hello_header.hpp"

#include <medlarrack/peer/codec.hpp>

#include <charconv>

namespace medlarrack::peer::detail {

namespace {

constexpr std::size_t maxHeaderDigits = 8192;
constexpr std::string_view digits = "0123456789abcdef";

std::optional<std::string> fromHex(std::string_view text)
{
    if (text.size() % 2 != 0 || text.size() > maxHeaderDigits) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t position = 0; position < text.size(); position += 2) {
        const char *begin = text.data() + position;
        unsigned value = 0;
        const auto parsed = std::from_chars(begin, begin + 2, value, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != begin + 2) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

} // namespace

std::string toHeader(const hello &value)
{
    const std::string bytes = encode(value);
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return text;
}

std::optional<hello> fromHeader(std::string_view text, core::reason &why)
{
    const auto bytes = fromHex(text);
    if (!bytes) {
        why = {"bad_hello", "the hello is not an even number of hexadecimal digits within the limit"};
        return std::nullopt;
    }
    decoder decoder;
    if (!decoder.feed(*bytes, why)) {
        return std::nullopt;
    }
    auto value = decoder.next(why);
    if (!value || !std::holds_alternative<hello>(*value) || decoder.midMessage()) {
        why = {"bad_hello", "the hello header holds no hello message"};
        return std::nullopt;
    }
    return std::get<hello>(std::move(*value));
}

bool versionsOverlap(const hello &left, const hello &right)
{
    return left.lowestVersion <= right.highestVersion && right.lowestVersion <= left.highestVersion;
}

} // namespace medlarrack::peer::detail
