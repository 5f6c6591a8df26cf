#include "../../core/fuzz/in_pieces.hpp"

#include <medlarrack/peer/codec.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// libFuzzer target: the decoder is fed in pieces. Whatever comes out must survive encoding and decoding unchanged.

namespace {

using namespace medlarrack;

void checkRoundTrip(const peer::message &value)
{
    const auto bytes = peer::encode(value);
    peer::decoder decoder;
    core::reason why;
    if (!decoder.feed(bytes, why)) {
        std::abort();
    }
    const auto again = decoder.next(why);
    if (!again || peer::encode(*again) != bytes) {
        std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    peer::decoder decoder;
    core::reason why;
    fuzz::inPieces({data, size}, [&](std::string_view piece) {
        const bool taken = decoder.feed(piece, why);
        while (const auto value = decoder.next(why)) {
            checkRoundTrip(*value);
        }
        // A broken stream stays broken and says why.
        if (!taken && (why.code.empty() || decoder.feed("x", why))) {
            std::abort();
        }
        return taken;
    });
    return 0;
}
