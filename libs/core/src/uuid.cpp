#include <medlarrack/core/uuid.hpp>

#include <array>
#include <cstdint>
#include <cstdio>
#include <random>

namespace medlarrack::core {

namespace {

constexpr std::size_t textLength = 36;

std::uint64_t randomBits()
{
    thread_local std::mt19937_64 generator = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return generator();
}

bool isDash(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<unsigned> hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return static_cast<unsigned>(character - '0');
    }
    if (character >= 'a' && character <= 'f') {
        return static_cast<unsigned>(character - 'a' + 10);
    }
    if (character >= 'A' && character <= 'F') {
        return static_cast<unsigned>(character - 'A' + 10);
    }
    return std::nullopt;
}

} // namespace

std::string makeUuid7(wall_time birth)
{
    const auto milliseconds = static_cast<std::uint64_t>(birth.time_since_epoch().count()) & 0xffffffffffffU;
    const std::uint64_t high = (milliseconds << 16U) | 0x7000U | (randomBits() & 0x0fffU);
    const std::uint64_t low = (randomBits() >> 2U) | (1ULL << 63U);
    std::array<char, textLength + 1> text{};
    std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx", static_cast<unsigned>(high >> 32U),
                  static_cast<unsigned>((high >> 16U) & 0xffffU), static_cast<unsigned>(high & 0xffffU),
                  static_cast<unsigned>(low >> 48U), static_cast<unsigned long long>(low & 0xffffffffffffU));
    return text.data();
}

std::optional<wall_time> uuid7Time(std::string_view text)
{
    constexpr std::size_t versionPosition = 14;
    constexpr std::size_t timeDigits = 12;
    if (text.size() != textLength || text[versionPosition] != '7') {
        return std::nullopt;
    }
    std::uint64_t milliseconds = 0;
    std::size_t digits = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (isDash(position)) {
            if (text[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto digit = hexDigit(text[position]);
        if (!digit) {
            return std::nullopt;
        }
        if (digits++ < timeDigits) {
            milliseconds = (milliseconds << 4U) | *digit;
        }
    }
    return wall_time(std::chrono::milliseconds(milliseconds));
}

} // namespace medlarrack::core
