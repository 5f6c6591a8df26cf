#pragma once

#include "sse_events.hpp"

#include <medlarrack/core/reason.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlarrack::engine::detail {

/// Checks an engine's answer while it passes: the model of each part, that it answers this request (its id is the
/// request's, alone or behind the prefix "cmpl-" or "chatcmpl-"), that no token is skipped or repeated where the engine
/// numbers them, and that it is whole: finished for a stated reason and, as a stream, with its end mark. Bytes are let
/// through only once they have been checked.
class answer_check
{
public:
    /// Whole answers and single events longer than the bound are refused.
    answer_check(std::string requestId, std::string model, bool stream, std::size_t maxBytes);

    /// Takes bytes and appends those checked to `passed`. False with a reason when the answer is wrong.
    [[nodiscard]] bool feed(std::string_view bytes, std::string &passed, core::reason &why);
    /// The answer has ended; appends what was held back. False with a reason when it isn't whole.
    [[nodiscard]] bool finish(std::string &passed, core::reason &why);

private:
    [[nodiscard]] bool checkEvent(std::string_view event, core::reason &why);
    [[nodiscard]] bool checkObject(std::string_view text, core::reason &why);

    [[nodiscard]] bool answersRequest(std::string_view id) const;

    std::string m_requestId;
    std::string m_model;
    bool m_stream;
    std::size_t m_maxBytes;
    sse_events m_events;
    std::string m_whole;
    std::int64_t m_nextToken = 0;
    bool m_finished = false;
    bool m_ended = false;
};

} // namespace medlarrack::engine::detail
