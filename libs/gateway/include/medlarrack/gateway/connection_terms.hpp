#pragma once

#include <chrono>

namespace medlarrack::gateway {

/// What the head of a response states about its connection.
struct connection_terms
{
    /// It closes after the response.
    bool closes = false;
    /// Otherwise, how long its caller may leave it idle and use it again.
    std::chrono::seconds reusableFor{0};
};

} // namespace medlarrack::gateway
