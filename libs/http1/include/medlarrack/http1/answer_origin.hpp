#pragma once

#include <string_view>

namespace medlarrack::http1 {

/// Which request an answer belongs to.
enum class answer_origin {
    /// The one that waits for it.
    own,
    /// Another one: the answer is dropped, and the one after it is waited for.
    other,
    /// Unknown: it may be left over from an earlier request, and so may all that follows on its connection.
    unproven,
};

/// Tells which request an answer belongs to. A server may write more answers on a connection than it was asked for, so
/// the place of an answer proves nothing: either it names its request, or it is the first one on its connection.
/// `answerId` is empty if the answer names no request; `hasAnswered` tells whether its connection has carried an answer
/// before.
[[nodiscard]] answer_origin findAnswerOrigin(std::string_view requestId, std::string_view answerId, bool hasAnswered);

} // namespace medlarrack::http1
