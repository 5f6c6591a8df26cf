#pragma once

#include <medlarrack/core/outcome.hpp>
#include <medlarrack/core/request_class.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarrack::load {

/// What a request asks for.
enum class request_kind {
    completion,
    chat,
    service_call,
};

/// One request of the load: when it is sent and what it holds.
struct planned_request
{
    /// Time since the start of the run.
    std::chrono::microseconds at{0};
    request_kind kind = request_kind::completion;
    std::string operatorName;
    core::request_class priority = core::request_class::interactive;
    /// "adapter" or "adapter@version".
    std::string model;
    std::string prompt;
    std::size_t maxTokens = 0;
    bool stream = false;
    std::string service;
    std::string method;
    std::string path;
    std::string body;
    /// Names the idempotency key: requests with one label share a key made when the first of them is sent. Empty for
    /// none.
    std::string keyLabel;
    std::chrono::milliseconds deadline{10'000};
    /// Which of the entries takes it, modulo their number.
    std::uint64_t entry = 0;
    /// Outcomes that the trace states as right; any when empty.
    std::vector<core::outcome> expected;
};

/// Source of requests in order of time.
class request_source
{
public:
    request_source() = default;
    request_source(const request_source &) = delete;
    request_source &operator=(const request_source &) = delete;
    virtual ~request_source() = default;

    /// The next request; nothing at the end.
    [[nodiscard]] virtual std::optional<planned_request> next() = 0;
};

} // namespace medlarrack::load
