#pragma once

#include "call.hpp"
#include "error_response.hpp"
#include "response_assembler.hpp"

#include <medlarrack/http/message.hpp>
#include <medlarrack/http/responder.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace medlarrack::entry {

/// Forwards a target's response to the caller: a streamed one chunk by chunk, any other buffered and complete.
class response_relay
{
public:
    /// Outcome of processing one message of the target.
    enum class result {
        accepted,
        /// The message doesn't continue the response received so far; the attempt must be treated as broken.
        inconsistent,
        /// A buffered response exceeds the size limit.
        too_large,
    };

    response_relay(const call &request, std::shared_ptr<http::responder> responder, std::size_t maxResponseBytes);

    /// Prepares for the messages of a new attempt. The part of a streamed response that was sent to the caller is kept.
    void startAttempt();
    [[nodiscard]] result onHead(const peer::run_head &head, const std::string &instanceId);
    [[nodiscard]] result onChunk(const peer::run_chunk &chunk);
    /// Completes the response.
    [[nodiscard]] result onEnd(const peer::run_end &end);
    /// Sends an error. In a streamed response it becomes the last event, and the connection is aborted after it.
    void fail(const error_response &error);
    /// Stops sending to the caller, which has disconnected.
    void detach();

    /// Bytes of the body that were sent to the caller of a streamed response; 0 for a buffered one.
    [[nodiscard]] std::uint64_t relayedBytes() const;
    /// Whether a part of the response was sent to the caller.
    [[nodiscard]] bool started() const;

private:
    [[nodiscard]] http::header_list responseHeaders(const peer::run_head &head, const std::string &instanceId) const;

    const call &m_request;
    std::shared_ptr<http::responder> m_responder;
    const std::size_t m_maxResponseBytes;
    response_assembler m_assembler;
    bool m_headReceived = false;
    /// The response is forwarded chunk by chunk.
    bool m_streaming = false;
    int m_status = 0;
    http::header_list m_headers;
    std::string m_body;
};

} // namespace medlarrack::entry
