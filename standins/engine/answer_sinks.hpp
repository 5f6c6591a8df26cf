#pragma once

#include "generation.hpp"

#include <medlarrack/http/responder.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::standins {

/// Faults of one answer.
struct answer_faults
{
    bool cut = false;
    bool endEarly = false;
    bool duplicateToken = false;
    bool skipToken = false;
    bool crossed = false;
};

/// Sends each token as a server-sent event.
[[nodiscard]] std::shared_ptr<token_sink> makeStreamSink(std::shared_ptr<http::responder> answer,
                                                         const answer_faults &faults);

/// Collects all tokens and sends one JSON answer.
[[nodiscard]] std::shared_ptr<token_sink> makeWholeSink(std::shared_ptr<http::responder> answer,
                                                        const answer_faults &faults);

} // namespace medlarrack::standins
