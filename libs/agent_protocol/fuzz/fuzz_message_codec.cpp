#include "../../core/fuzz/in_pieces.hpp"

#include <medlarrack/agent_protocol/message_codec.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// libFuzzer target: feeds the decoder in pieces. Each decoded message must be unchanged by encoding and decoding it
/// again.

namespace {

using namespace medlarrack;

void checkRoundTrip(const agent_protocol::message &value)
{
    const std::string bytes = agent_protocol::encode(value);
    agent_protocol::message_decoder decoder;
    core::reason why;
    decoder.feed(bytes);
    const auto again = decoder.next(why);
    if (!again || agent_protocol::encode(*again) != bytes) {
        std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    agent_protocol::message_decoder decoder;
    core::reason why;
    fuzz::inPieces({data, size}, [&](std::string_view piece) {
        decoder.feed(piece);
        while (const auto read = decoder.next(why)) {
            checkRoundTrip(*read);
        }
        return !decoder.failed();
    });
    return 0;
}
