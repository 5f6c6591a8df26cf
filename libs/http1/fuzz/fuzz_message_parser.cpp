#include "../../core/fuzz/in_pieces.hpp"

#include <medlarrack/http1/message_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string_view>

/// libFuzzer target: parses requests, with chunked bodies among the seeds, in pieces. Checks that no more is consumed
/// than given, that a body is no longer than what was consumed, and that an unfinished body goes on consuming.

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace medlarrack;
    constexpr std::size_t maxHeadBytes = 256;
    constexpr std::size_t maxBodyBytes = 1'024;
    http1::message_parser parser(http1::message_kind::request, maxHeadBytes);
    std::size_t consumedBytes = 0;
    fuzz::inPieces(std::span(data, size), [&](std::string_view piece) {
        while (!piece.empty()) {
            const std::size_t consumed = parser.feed(piece);
            consumedBytes += consumed;
            if (consumed > piece.size() || parser.body().size() > consumedBytes) {
                std::abort();
            }
            piece.remove_prefix(consumed);
            if (parser.state() == http1::parse_state::complete) {
                parser.reset();
                consumedBytes = 0;
                continue;
            }
            if (parser.state() == http1::parse_state::malformed || parser.state() == http1::parse_state::head_too_long
                || parser.body().size() + parser.announcedBytes() > maxBodyBytes) {
                return false;
            }
            if (!piece.empty()) {
                // Only a message that has ended leaves bytes.
                std::abort();
            }
        }
        return true;
    });
    return 0;
}
