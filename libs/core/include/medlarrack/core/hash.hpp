#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace medlarrack::core {

/// 64-bit XXH3 of a text. The same on every machine, so it may decide placement.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Hash of several texts; ("ab","c") and ("a","bc") differ.
[[nodiscard]] std::uint64_t hash64(std::initializer_list<std::string_view> parts);

/// Rendezvous weight of a node for a key; the node with the highest weight is the key's first choice.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::uint64_t nodeHash);

} // namespace medlarrack::core
