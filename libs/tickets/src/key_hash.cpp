#include "key_hash.hpp"

#include <medlarrack/tickets/state.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <cstdlib>

namespace medlarrack::tickets {

std::string hashKey(std::string_view salt, std::string_view key)
{
    std::string input;
    input.reserve(salt.size() + key.size());
    input.append(salt).append(key);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    if (EVP_Digest(input.data(), input.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        // Without SHA-256 no bearer key can be verified.
        std::abort();
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * static_cast<std::size_t>(length));
    for (std::size_t index = 0; index < length; ++index) {
        text += digits[digest[index] >> 4U];
        text += digits[digest[index] & 0x0fU];
    }
    return text;
}

namespace detail {

bool matchesKey(const operator_state &value, std::string_view bearerKey)
{
    bool found = false;
    for (const auto &key : value.keys) {
        const auto hash = hashKey(key.salt, bearerKey);
        // Compares in constant time and continues after a match, so that timing reveals nothing about stored hashes.
        found |= hash.size() == key.sha256.size() && CRYPTO_memcmp(hash.data(), key.sha256.data(), hash.size()) == 0;
    }
    return found;
}

} // namespace detail

} // namespace medlarrack::tickets
