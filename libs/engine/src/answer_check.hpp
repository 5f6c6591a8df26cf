#pragma once

#include "sse_events.hpp"

#include <medlarrack/core/reason.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace medlarrack::engine::detail {

/// Checks an engine's answer while it passes: the model of each part, that all parts belong to one answer, and that it
/// is whole. Bytes are let through only once they have been checked.
class answer_check
{
public:
    /// Whole answers and single events longer than the bound are refused.
    answer_check(std::string model, bool stream, std::size_t maxBytes);

    /// Takes bytes and appends those checked to `passed`. False with a reason when the answer is wrong.
    [[nodiscard]] bool feed(std::string_view bytes, std::string &passed, core::reason &why);
    /// The answer has ended; appends what was held back. False with a reason when it isn't whole.
    [[nodiscard]] bool finish(std::string &passed, core::reason &why);

private:
    [[nodiscard]] bool checkEvent(std::string_view event, core::reason &why);
    [[nodiscard]] bool checkObject(std::string_view text, core::reason &why);

    std::string m_model;
    bool m_stream;
    std::size_t m_maxBytes;
    sse_events m_events;
    std::string m_whole;
    /// The answer's id, from its first part.
    std::string m_id;
    bool m_ended = false;
};

} // namespace medlarrack::engine::detail
