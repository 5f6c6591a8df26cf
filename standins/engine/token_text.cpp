#include "token_text.hpp"

#include <medlarrack/core/hash.hpp>

#include <cstdio>

namespace medlarrack::standins {

std::uint64_t answerSeed(std::string_view model, std::string_view prompt)
{
    return core::hash64({model, prompt});
}

std::string tokenText(std::uint64_t seed, int index)
{
    const auto value = static_cast<std::uint32_t>(core::hash64(std::to_string(index), seed));
    char text[10];
    std::snprintf(text, sizeof text, " %08x", value);
    return text;
}

} // namespace medlarrack::standins
