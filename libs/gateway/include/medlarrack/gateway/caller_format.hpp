#pragma once

#include <medlarrack/http1/message_head.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::gateway {

/// What a request says of itself besides method, target and body.
struct request_metadata
{
    /// Names one attempt of a caller; empty if the caller gave none.
    std::string id;
    /// Time that the caller will wait.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// Base model, and "model/adapter" if it names an adapter.
    std::string model;
    std::string adapter;
    std::uint32_t promptTokens = 0;
    /// The last event that the caller has; empty from the start.
    std::string lastEventId;
};

/// What we say of a request to the replica that it is sent to.
struct send_options
{
    std::string_view replicaId;
    std::chrono::milliseconds timeLeft{0};
    /// 0 is served first.
    std::uint32_t urgency = 0;
    /// Replaces the caller's; empty keeps it.
    std::string_view lastEventId;
};

/// A replica's load as it tells it in an answer.
struct replica_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// What the head of a replica's answer says.
struct response_metadata
{
    /// The request that it answers; empty if it doesn't say.
    std::string id;
    /// Bears the mark of a replica's own answer.
    bool isSigned = false;
    /// The replica states that it did not run the request.
    bool notRun = false;
    /// Another replica than the one meant has the address.
    bool misdirected = false;
    /// The body went through an encoding that no replica applies.
    bool isEncoded = false;
    bool isEventStream = false;
    std::optional<replica_load> load;
    /// The replica is leaving.
    bool isLeaving = false;
    /// The replica turned the request away and wants no other for this time.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// What it said instead of a time that can be read; empty if all is well.
    std::string invalidRetryAfter;
};

/// An answer of our own.
struct local_response
{
    int status = 503;
    std::string_view code;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter;
    bool closesConnection = false;
};

/// How the body of a relayed answer is framed.
enum class body_framing {
    length,
    chunked,
    none,
};

/// The heads that callers and replicas send and get.
class caller_format
{
public:
    caller_format() = default;
    caller_format(const caller_format &) = delete;
    caller_format &operator=(const caller_format &) = delete;
    virtual ~caller_format() = default;

    [[nodiscard]] virtual request_metadata readRequest(const http1::message_head &head) const = 0;
    [[nodiscard]] virtual response_metadata readResponse(const http1::message_head &head) const = 0;
    /// Appends the head and body of a request as it is sent to a replica.
    virtual void appendRequest(std::string &out, const http1::message_head &head, std::string_view body,
                               const send_options &options) const = 0;
    /// Appends the head of a replica's answer as it is passed to the caller.
    virtual void appendResponseHead(std::string &out, const http1::message_head &head, body_framing framing,
                                    std::size_t length, bool closesConnection) const = 0;
    virtual void appendLocalResponse(std::string &out, const local_response &answer,
                                     std::string_view requestId) const = 0;
    /// Request target of the readiness question.
    [[nodiscard]] virtual std::string_view readinessTarget() const = 0;
};

} // namespace medlarrack::gateway
