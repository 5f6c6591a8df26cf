#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarrack::standins {

/// Seed of the answer of a model to a prompt.
[[nodiscard]] std::uint64_t answerSeed(std::string_view model, std::string_view prompt);

/// Text of one token, counted from 0.
[[nodiscard]] std::string tokenText(std::uint64_t seed, int index);

} // namespace medlarrack::standins
