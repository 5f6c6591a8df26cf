#pragma once

#include <medlarrack/core/digest.hpp>
#include <medlarrack/gateway/connection_terms.hpp>
#include <medlarrack/gateway/run_stop.hpp>
#include <medlarrack/http1/message_head.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::gateway {

/// What the headers of a caller's request say.
struct request_metadata
{
    /// Id of the caller's attempt; empty if the caller sent none.
    std::string id;
    /// Time until the caller's deadline.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// Base model.
    std::string model;
    /// "model/adapter"; empty if the request names no adapter.
    std::string adapter;
    std::uint32_t promptTokens = 0;
    /// Largest number of tokens that the answer may have.
    std::uint32_t maxOutputTokens = 0;
    /// Whether the request states its numbers of tokens.
    bool hasTokenCount = false;
    /// Hashes of the parts of the prompt that other requests may have too, in order; the last part is the request's
    /// own.
    std::vector<std::uint64_t> sharedParts;
    /// Id of the last event that the caller has received; empty if the stream is to begin at its first event.
    std::string lastEventId;
    /// Id of the attempt that brought the first event of the stream that the caller resumes; empty if it names none.
    std::string resumedAttempt;
    /// Of the tenant's key that the request carries. The key itself isn't kept.
    std::optional<core::sha256_digest> keyDigest;
    bool hasSeveralKeys = false;
};

/// What the gateway adds to a request that it sends to a replica.
struct send_options
{
    std::string_view replicaId;
    /// Time until the deadline of the request.
    std::chrono::milliseconds timeLeft{0};
    /// 0 is the highest priority.
    std::uint32_t urgency = 0;
    /// Replaces the caller's Last-Event-Id; empty keeps it.
    std::string_view lastEventId;
    /// Copy of the memory of the run before, which the replica goes on from; empty if it has none.
    std::string_view memory;
    /// Set if the published state has tenants: the caller's key and what it says of its tenant are dropped, and the
    /// replica is told this name, unless it is empty.
    std::optional<std::string_view> tenant;
};

/// Load that a replica reports in a response.
struct replica_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Current duration of work there in percent of the usual one. Empty if the replica states none, or no valid one.
    std::optional<std::uint32_t> workPercent;
};

/// What the headers of a replica's response say.
struct response_metadata
{
    /// Attempt id of the request that it responds to; empty if the header is missing.
    std::string id;
    /// It has the signature that marks a response as made by a replica itself.
    bool isSigned = false;
    /// The replica states that it did not run the request.
    bool notRun = false;
    /// 421 Misdirected Request: another replica than the intended one listens at the address.
    bool misdirected = false;
    /// It has a Content-Encoding; replicas don't apply any.
    bool isEncoded = false;
    bool isEventStream = false;
    std::optional<replica_load> load;
    /// The replica is shutting down and takes no new requests.
    bool isLeaving = false;
    /// Retry-After of a 503: the replica rejected the request and takes no other for this time.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Value of a Retry-After header that can't be parsed; empty if there is none.
    std::string invalidRetryAfter;
    /// Requests a second that the replica takes from all gateways together, as long as its answers say so.
    std::optional<double> requestLimit;
    /// Value of a limit that can't be parsed; empty if there is none.
    std::string invalidRequestLimit;
};

/// A response that the gateway makes itself.
struct local_response
{
    int status = 503;
    std::string_view code;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter;
    connection_terms connection;
    /// To a HEAD request: only the length of the body is written.
    bool omitsBody = false;
};

/// How the body of a relayed response is framed.
enum class body_framing {
    length,
    chunked,
    none,
};

/// Reads and writes the HTTP message heads that are exchanged with callers and replicas.
class caller_format
{
public:
    caller_format() = default;
    caller_format(const caller_format &) = delete;
    caller_format &operator=(const caller_format &) = delete;
    virtual ~caller_format() = default;

    [[nodiscard]] virtual request_metadata readRequest(const http1::message_head &head) const = 0;
    [[nodiscard]] virtual response_metadata readResponse(const http1::message_head &head) const = 0;
    /// Appends a caller's request as it is sent to a replica.
    virtual void appendRequest(std::string &out, const http1::message_head &head, std::string_view body,
                               const send_options &options) const = 0;
    /// Appends the head of a replica's response as it is relayed to the caller.
    virtual void appendResponseHead(std::string &out, const http1::message_head &head, body_framing framing,
                                    std::size_t length, const connection_terms &connection) const = 0;
    virtual void appendLocalResponse(std::string &out, const local_response &answer,
                                     std::string_view requestId) const = 0;
    /// Asks a replica to stop the run of a request that is to go on at the replica with the given address.
    [[nodiscard]] virtual stop_call stopCall(std::string_view requestId, std::string_view successor) const = 0;
    [[nodiscard]] virtual stop_answer readStopAnswer(int status, std::string_view body) const = 0;
    /// Target of the DELETE request that frees the memory of a stopped run.
    [[nodiscard]] virtual std::string memoryTarget(std::string_view memory) const = 0;
    /// Request target of the readiness probe.
    [[nodiscard]] virtual std::string_view readinessTarget() const = 0;
};

} // namespace medlarrack::gateway
