#pragma once

#include "request_result.hpp"

#include <medlarrack/http/client.hpp>

#include <string>

namespace medlarrack::load {

/// What the transport tells of one exchange.
struct exchange
{
    http::client_result end;
    http::header_list headers;
    std::string body;
    std::chrono::microseconds latency{0};
    std::optional<std::chrono::microseconds> firstPiece;
};

/// Judges one exchange: the answer's content, or the error and its outcome.
[[nodiscard]] request_result readResult(const planned_request &request, const std::string &key, const exchange &answer);

} // namespace medlarrack::load
