#include <medlarrack/http1/answer_origin.hpp>

namespace medlarrack::http1 {

answer_origin findAnswerOrigin(std::string_view requestId, std::string_view answerId, bool hasAnswered)
{
    if (!answerId.empty()) {
        return answerId == requestId ? answer_origin::own : answer_origin::other;
    }
    return hasAnswered ? answer_origin::unproven : answer_origin::own;
}

} // namespace medlarrack::http1
