#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace medlarrack::fuzz {

/// Hands an input over as a stream would: the first byte says in pieces of which size the rest comes. Ends with the
/// first piece that isn't taken.
template<typename Take>
void inPieces(std::span<const std::uint8_t> input, const Take &take)
{
    if (input.empty()) {
        return;
    }
    const std::size_t step = input.front() % 16U + 1;
    std::string_view rest(reinterpret_cast<const char *>(input.data()) + 1, input.size() - 1);
    while (!rest.empty()) {
        const std::string_view piece = rest.substr(0, step);
        rest.remove_prefix(piece.size());
        if (!take(piece)) {
            return;
        }
    }
}

} // namespace medlarrack::fuzz
