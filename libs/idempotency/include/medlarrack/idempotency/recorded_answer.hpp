#pragma once

#include <string>
#include <utility>
#include <vector>

namespace medlarrack::idempotency {

/// The answer of a run, kept to be given again for the same key.
struct recorded_answer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// False when the body was too large to keep.
    bool bodyKept = true;
};

} // namespace medlarrack::idempotency
