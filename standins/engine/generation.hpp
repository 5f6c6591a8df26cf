#pragma once

#include "token_text.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::standins {

struct generation;

/// Receives what a generation produces.
class token_sink
{
public:
    token_sink() = default;
    token_sink(const token_sink &) = delete;
    token_sink &operator=(const token_sink &) = delete;
    virtual ~token_sink() = default;

    virtual void token(const generation &from, int index, std::string_view text) = 0;
    /// All tokens have been produced.
    virtual void finished(const generation &from) = 0;
    /// Nothing follows although tokens are missing.
    virtual void broken() = 0;
};

/// A sink and the first token that it wants.
struct subscriber
{
    std::shared_ptr<token_sink> sink;
    int from = 0;
};

/// One request in progress or kept after its end.
struct generation
{
    std::string id;
    std::string model;
    std::string prompt;
    bool chat = false;
    int maxTokens = 0;
    /// Smaller runs earlier.
    int priority = 0;
    /// Goes on when its caller's connection closes.
    bool resumable = false;
    /// Steps until the prompt is read.
    int prefillSteps = 0;
    int produced = 0;
    bool started = false;
    std::uint64_t arrival = 0;
    std::uint64_t seed = 0;
    std::vector<subscriber> subscribers;

    [[nodiscard]] bool done() const
    {
        return produced >= maxTokens;
    }
};

} // namespace medlarrack::standins
