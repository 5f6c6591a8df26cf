#include <medlarrack/link/message_codec.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// libFuzzer target: the first byte says in pieces of which size the rest is fed to the decoder. Whatever comes out
/// must survive encoding and decoding unchanged.

namespace {

using namespace medlarrack;

void checkRoundTrip(const link::message &value)
{
    const std::string bytes = link::encode(value);
    link::message_decoder decoder;
    core::reason why;
    decoder.feed(bytes);
    const auto again = decoder.next(why);
    if (!again || link::encode(*again) != bytes) {
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
    link::message_decoder decoder;
    core::reason why;
    while (!rest.empty() && !decoder.failed()) {
        const std::string_view piece = rest.substr(0, step);
        rest.remove_prefix(piece.size());
        decoder.feed(piece);
        while (const auto read = decoder.next(why)) {
            checkRoundTrip(*read);
        }
    }
    return 0;
}
