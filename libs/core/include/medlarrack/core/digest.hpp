#pragma once

#include <array>
#include <string_view>

namespace medlarrack::core {

using sha256_digest = std::array<unsigned char, 32>;

[[nodiscard]] sha256_digest sha256(std::string_view text);

/// Compares secrets: the time doesn't depend on where two texts of the same size differ.
[[nodiscard]] bool equalInConstantTime(std::string_view left, std::string_view right);
[[nodiscard]] bool equalInConstantTime(const sha256_digest &left, const sha256_digest &right);

} // namespace medlarrack::core
