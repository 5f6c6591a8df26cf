#pragma once

#include <string>
#include <utility>
#include <vector>

namespace medlarrack::idempotency {

/// The answer of a run, recorded so that it can be replayed for the same key.
struct recorded_answer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// False if the body was too large to be recorded.
    bool bodyKept = true;
};

} // namespace medlarrack::idempotency
