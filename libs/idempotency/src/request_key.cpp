#include <medlarrack/core/uuid.hpp>
#include <medlarrack/idempotency/request_key.hpp>

#include <algorithm>
#include <charconv>

namespace medlarrack::idempotency {

namespace {

constexpr char bindingSeparator = '~';
/// Can't occur in operator names.
constexpr char scopeSeparator = '|';

bool isPrintable(char character)
{
    return character > ' ' && character <= '~';
}

std::optional<core::instance_ref> parseBoundInstance(std::string_view text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0) {
        return std::nullopt;
    }
    core::instance_ref boundInstance;
    boundInstance.id = text.substr(0, dot);
    const std::string_view digits = text.substr(dot + 1);
    const char *end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, boundInstance.incarnation);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return boundInstance;
}

} // namespace

std::string scopedKey(std::string_view operatorName, std::string_view key)
{
    std::string scoped(operatorName);
    scoped += scopeSeparator;
    scoped += key;
    return scoped;
}

std::optional<request_key> parseKey(std::string_view scopedText)
{
    const auto scopeEnd = scopedText.find(scopeSeparator);
    const std::string_view text = scopeEnd == std::string_view::npos ? scopedText : scopedText.substr(scopeEnd + 1);
    if (text.empty() || text.size() > maxKeyBytes || !std::all_of(text.begin(), text.end(), isPrintable)) {
        return std::nullopt;
    }
    request_key key;
    key.text = scopedText;
    const auto separator = text.find(bindingSeparator);
    key.createdAt = core::uuid7Time(text.substr(0, separator));
    if (separator == std::string_view::npos || !key.createdAt) {
        key.createdAt = core::uuid7Time(text);
        return key;
    }
    key.boundInstance = parseBoundInstance(text.substr(separator + 1));
    if (!key.boundInstance) {
        return std::nullopt;
    }
    return key;
}

std::string makeBoundKey(core::wall_time createdAt, const core::instance_ref &boundInstance)
{
    return core::makeUuid7(createdAt) + bindingSeparator + boundInstance.id + '.'
        + std::to_string(boundInstance.incarnation);
}

} // namespace medlarrack::idempotency
