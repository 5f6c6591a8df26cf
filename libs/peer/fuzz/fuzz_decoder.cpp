#include <medlarrack/peer/codec.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// libFuzzer target: the first byte says in pieces of which size the rest is fed to the decoder. Whatever comes out
/// must survive encoding and decoding unchanged.

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
    if (size == 0) {
        return 0;
    }
    const std::size_t step = data[0] % 16U + 1;
    std::string_view rest(reinterpret_cast<const char *>(data + 1), size - 1);
    peer::decoder decoder;
    core::reason why;
    while (!rest.empty()) {
        const auto piece = rest.substr(0, step);
        rest.remove_prefix(piece.size());
        const bool taken = decoder.feed(piece, why);
        while (const auto value = decoder.next(why)) {
            checkRoundTrip(*value);
        }
        if (!taken) {
            // A broken stream stays broken and says why.
            if (why.code.empty() || decoder.feed("x", why)) {
                std::abort();
            }
            return 0;
        }
    }
    return 0;
}
