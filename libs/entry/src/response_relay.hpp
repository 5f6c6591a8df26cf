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

/// Passes an answer on to its caller: streamed ones piece by piece, others whole.
class answer_relay
{
public:
    /// What became of a message.
    enum class result {
        taken,
        /// The answer doesn't fit together; the attempt is broken.
        broken,
        /// A whole answer is larger than allowed.
        too_large,
    };

    answer_relay(const call &request, std::shared_ptr<http::responder> responder, std::size_t maxAnswerBytes);

    /// A new attempt begins; what a streamed answer's caller has already is kept.
    void beginAttempt();
    [[nodiscard]] result head(const peer::run_head &head, const std::string &instanceId);
    [[nodiscard]] result piece(const peer::run_chunk &piece);
    /// Completes the answer.
    [[nodiscard]] result end(const peer::run_end &end);
    /// Gives an error, in a streamed answer as its last event before the connection is broken off.
    void fail(const error_answer &error);
    /// The caller has gone: nothing more is sent.
    void detach();

    /// Bytes of the body that a streamed answer's caller has.
    [[nodiscard]] std::uint64_t relayedBytes() const;
    /// Whether the caller has got a part of the answer.
    [[nodiscard]] bool started() const;

private:
    [[nodiscard]] http::header_list answerHeaders(const peer::run_head &head, const std::string &instanceId) const;

    const call &m_request;
    std::shared_ptr<http::responder> m_responder;
    const std::size_t m_maxAnswerBytes;
    answer_assembler m_assembler;
    bool m_headTaken = false;
    /// The answer is passed on piece by piece.
    bool m_streaming = false;
    int m_status = 0;
    http::header_list m_headers;
    std::string m_body;
};

} // namespace medlarrack::entry
