#include "key_hash.hpp"

#include <medlarrack/core/digest.hpp>
#include <medlarrack/tickets/state.hpp>

namespace medlarrack::tickets {

std::string hashKey(std::string_view salt, std::string_view key)
{
    std::string input;
    input.reserve(salt.size() + key.size());
    input.append(salt).append(key);
    const core::sha256_digest digest = core::sha256(input);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

namespace detail {

bool matchesKey(const operator_state &value, std::string_view bearerKey)
{
    bool found = false;
    for (const auto &key : value.keys) {
        // Compares in constant time and continues after a match, so that timing reveals nothing about stored hashes.
        found |= core::equalInConstantTime(hashKey(key.salt, bearerKey), key.sha256);
    }
    return found;
}

} // namespace detail

} // namespace medlarrack::tickets
