#include <medlarrack/core/hash.hpp>

#include <xxhash.h>

namespace medlarrack::core {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash64(std::initializer_list<std::string_view> parts)
{
    std::uint64_t value = parts.size();
    for (std::string_view part : parts) {
        value = hash64(part, value);
    }
    return value;
}

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t nodeHash)
{
    return XXH3_64bits_withSeed(&keyHash, sizeof keyHash, nodeHash);
}

} // namespace medlarrack::core
